//! Signals, and a graceful stop.

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

use crate::reload;
use crate::shared::STOP_MARGIN;
use crate::shared::Shared;
use crate::watch::instances;

/// Time for which a stopping daemon stays for callers that keep an old address answer: three times
/// the time that answers are to be kept, and some to spare.
const LINGER: Duration = Duration::from_millis(3_300);
/// Pause between two looks whether requests are in progress.
const CHECK_PAUSE: Duration = Duration::from_millis(50);
/// Time for taking the own row out of the store.
const UNLIST_TIMEOUT: Duration = Duration::from_secs(1);

/// The signals that the daemon takes.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Takes signals from now on; before that each of them ends the process.
    ///
    /// # Errors
    /// If signals cannot be received.
    pub fn new() -> Result<Self, Error> {
        Ok(Self {
            terminate: subscribe(SignalKind::terminate())?,
            interrupt: subscribe(SignalKind::interrupt())?,
            hangup: subscribe(SignalKind::hangup())?,
        })
    }
}

/// Waits for a signal that ends the daemon, and until it has ended gracefully.
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
    let name = shared.settings().instance.clone();
    let started = Instant::now();
    let unlisted = timeout(UNLIST_TIMEOUT, shared.store.remove(instances::TABLE, &name)).await;
    if let Ok(Err(error)) = unlisted {
        log::warn!(kind = "store", step = "leaving", cause = error.to_string(); "the own row could not be removed");
    }
    let deadline = started + shared.settings().grace().saturating_sub(STOP_MARGIN);
    sleep_until((started + LINGER).min(deadline)).await;
    while shared.open_requests() > 0 && Instant::now() < deadline {
        sleep(CHECK_PAUSE).await;
    }
    log::info!(kind = "stop", open = shared.open_requests() as u64; "stopped");
}

fn subscribe(kind: SignalKind) -> Result<Signal, Error> {
    signal(kind).map_err(|error| Error::Start {
        step: "signals",
        cause: error.to_string(),
    })
}
