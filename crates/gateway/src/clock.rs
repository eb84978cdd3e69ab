//! The steady clock of the daemon. The time of day decides nothing within an hour.

use std::time::SystemTime;

use ident::Time;
use relay::quarantine::UnixMs;
use tokio::time::Instant;

/// Gives times since its start.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        Time(self.start.elapsed().as_micros() as u64)
    }

    /// When `time` is reached.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + time.since(Time::ZERO)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// The time of day; it may jump and differ between instances by seconds.
pub fn unix() -> UnixMs {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    UnixMs(since.map_or(0, |since| since.as_millis() as u64))
}
