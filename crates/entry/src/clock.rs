//! The daemon's clocks.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use boottime::timer::SuspendDetector;
use boottime::timer::sleep;

pub use boottime::Clock;

/// Time between two looks whether the machine was suspended.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time since the start of the Unix clock; zero if the system's clock is set before it.
pub fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Has all timers count the time for which the machine was suspended, forever.
pub async fn log_suspensions() {
    let mut detector = SuspendDetector::new();
    loop {
        sleep(CHECK_INTERVAL).await;
        if let Some(time) = detector.check() {
            log::warn!(step = "clock"; "the machine was suspended for {time:?}");
        }
    }
}
