//! The clock of a process.

use std::time::Duration;

use ident::Time;

use crate::Instant;

/// Measures times since its creation.
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

    /// The current time.
    pub fn now(&self) -> Time {
        Time(self.start.elapsed().as_micros() as u64)
    }

    /// The instant at which `time` is reached.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + time.since(Time::ZERO)
    }

    /// Duration until `time`; zero if it has passed.
    pub fn until(&self, time: Time) -> Duration {
        time.since(self.now())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
