//! The steady clock of the daemon; the time of day decides nothing.

use ident::Time;
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
