//! The daemon's clocks.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use ident::Time;

/// A monotonic clock with its origin at the start of the daemon.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock whose origin is now.
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The present point.
    pub fn now(&self) -> Time {
        Time(self.origin.elapsed().as_micros() as u64)
    }

    /// How long it is until `point`; zero if it has passed.
    pub fn until(&self, point: Time) -> Duration {
        point.since(self.now())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Time since the start of the Unix clock; zero if the system's clock is set before it.
pub fn unix() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
