//! The clocks of the daemon.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use boottime::timer::SuspendDetector;
use boottime::timer::sleep;

pub use boottime::Clock;

/// Time between two checks for a suspension of the machine.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time since the Unix epoch; zero if the system clock is set to an earlier time.
pub fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Makes all timers include the time of suspensions of the machine, and logs each one; never
/// returns.
pub async fn log_suspensions() {
    let mut detector = SuspendDetector::new();
    loop {
        sleep(CHECK_INTERVAL).await;
        if let Some(time) = detector.check() {
            log::warn!(step = "clock"; "the machine was suspended for {time:?}");
        }
    }
}
