//! Detects pauses of the process.

use boottime::Instant;
use std::time::Duration;

use boottime::timer::sleep;
use tokio::sync::watch;

const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A gap this long counts as a pause.
const MIN_PAUSE: Duration = Duration::from_secs(1);

/// Starts the watchdog; the returned value changes after each pause.
pub(super) fn start() -> watch::Receiver<u64> {
    let (sender, receiver) = watch::channel(0);
    tokio::spawn(async move {
        let mut last = Instant::now();
        loop {
            sleep(CHECK_INTERVAL).await;
            if last.elapsed() > MIN_PAUSE {
                log::warn!(step = "watchdog"; "the process was paused for {:?}", last.elapsed());
                sender.send_modify(|count| *count += 1);
            }
            last = Instant::now();
        }
    });
    receiver
}
