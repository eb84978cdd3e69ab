//! The planned stop.
//!
//! `SIGTERM` and `SIGINT` request a stop from the core. The daemon keeps running until the core
//! reports that nothing is in progress and every response has been written. `volo-http`'s server
//! handles the same signals (and `SIGHUP`) and closes its connections about 30 s later, but awaits
//! its shutdown hook first; the hook waits for the end of the planned stop.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use boottime::timer::sleep;
use node::event::Event;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

use crate::driver::inbox::Inbox;

/// Interval of the checks for unwritten responses at the end.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Signals the end of the planned stop and counts the responses that are being written.
#[derive(Debug, Clone)]
pub struct Stop {
    finished: watch::Sender<bool>,
    responses: Arc<AtomicUsize>,
}

/// Counts a response as being written until dropped.
#[derive(Debug)]
pub struct PendingResponse {
    responses: Arc<AtomicUsize>,
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        self.responses.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Stop {
    /// A stop that has not been requested.
    pub fn new() -> Self {
        Self {
            finished: watch::Sender::new(false),
            responses: Arc::default(),
        }
    }

    /// Marks the stop as finished: it was requested and nothing is in progress.
    pub fn finish(&self) {
        self.finished.send_replace(true);
    }

    /// Counts a response as being written until the returned guard is dropped.
    pub fn begin_response(&self) -> PendingResponse {
        self.responses.fetch_add(1, Ordering::Relaxed);
        PendingResponse {
            responses: Arc::clone(&self.responses),
        }
    }

    /// Waits until the stop has ended and every response has been written.
    pub async fn wait_until_ended(&self) {
        let mut finished = self.finished.subscribe();
        // The sender is held by `self`, so waiting cannot fail.
        let _ = finished.wait_for(|finished| *finished).await;
        while self.responses.load(Ordering::Relaxed) > 0 {
            sleep(POLL_INTERVAL).await;
        }
    }
}

impl Default for Stop {
    fn default() -> Self {
        Self::new()
    }
}

/// Forwards the first `SIGTERM` or `SIGINT` to the core.
///
/// # Errors
/// The signal handlers cannot be installed.
pub fn listen(inbox: Inbox) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!(step = "stop"; "planned stop requested");
        inbox.event(Event::Stop).await;
    });
    Ok(())
}
