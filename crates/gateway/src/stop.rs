//! Signal handling and graceful stop.

use std::path::Path;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::sleep;
use boottime::timer::sleep_until;
use boottime::timer::timeout;
use launch::error::Error;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::begins;
use crate::reload;
use crate::shared::Shared;
use crate::watch::registration;

/// Minimum time that a stopping daemon stays up for callers with a cached address answer: three
/// times the time that answers may be cached, plus a reserve.
const LINGER: Duration = Duration::from_millis(3_300);
/// Pause between checks whether requests are in progress.
const CHECK_PAUSE: Duration = Duration::from_millis(50);
/// Timeout for removing the own row from the store.
const UNLIST_TIMEOUT: Duration = Duration::from_secs(1);

/// Signals that the daemon handles.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the signal handlers; before that, each signal ends the process.
    ///
    /// # Errors
    /// If a handler cannot be installed.
    pub fn new() -> Result<Self, Error> {
        Ok(Self {
            terminate: listen_for(SignalKind::terminate())?,
            interrupt: listen_for(SignalKind::interrupt())?,
            hangup: listen_for(SignalKind::hangup())?,
        })
    }
}

/// Waits for a terminating signal, then stops the daemon gracefully. Reloads the settings on
/// SIGHUP.
pub async fn wait(shared: &Shared, path: &Path, mut signals: Signals) {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => reload::reload(shared, path),
        }
    }
    log::info!(kind = "stop", open = shared.open_requests() as u64; "stopping");
    shared.begin_stop();
    shared.members.borrow_mut().leave(shared.clock.now());
    begins::hand_over(shared).await;
    let name = shared.settings().instance.clone();
    let started = Instant::now();
    let unlisted = timeout(
        UNLIST_TIMEOUT,
        shared.store.remove(registration::TABLE, &name),
    )
    .await;
    if let Ok(Err(error)) = unlisted {
        log::warn!(kind = "store", step = "leaving", cause = error.to_string(); "failed to remove the own row");
    }
    let deadline = started + shared.stop_time();
    sleep_until((started + LINGER).min(deadline)).await;
    while shared.open_requests() > 0 && Instant::now() < deadline {
        sleep(CHECK_PAUSE).await;
    }
    log::info!(kind = "stop", open = shared.open_requests() as u64; "stopped");
}

fn listen_for(kind: SignalKind) -> Result<Signal, Error> {
    signal(kind).map_err(|error| Error::Start {
        step: "signals",
        cause: error.to_string(),
    })
}
