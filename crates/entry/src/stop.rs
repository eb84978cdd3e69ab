//! The planned stop.
//!
//! `SIGTERM` and `SIGINT` ask the core to stop; everything goes on until the core says that
//! nothing is in progress and every response has been written. `volo-http`'s server reacts to the
//! same signals (and to `SIGHUP`) and ends its connections about 30 s later, but awaits its
//! shutdown hook first; the hook waits for that point.

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

/// How often unwritten responses are looked for at the end.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Tells when the planned stop has ended, and counts responses that are being written.
#[derive(Debug, Clone)]
pub struct Stop {
    finished: watch::Sender<bool>,
    responses: Arc<AtomicUsize>,
}

/// A response that is being written.
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
    /// A stop that nobody has asked for.
    pub fn new() -> Self {
        Self {
            finished: watch::Sender::new(false),
            responses: Arc::default(),
        }
    }

    /// Nothing is in progress and a stop was asked for.
    pub fn finish(&self) {
        self.finished.send_replace(true);
    }

    /// Counts a response as being written until the value is dropped.
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

/// Passes the first `SIGTERM` or `SIGINT` on to the core.
///
/// # Errors
/// The signals cannot be listened for.
pub fn listen(inbox: Inbox) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!(step = "stop"; "planned stop asked for");
        inbox.event(Event::Stop).await;
    });
    Ok(())
}
