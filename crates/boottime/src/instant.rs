//! Moments.

use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A moment on the clock that counts since the machine was started, its suspensions included. Never goes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant(Duration);

impl Instant {
    /// The present moment.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        Self(Duration::new(time.tv_sec as u64, time.tv_nsec as u32))
    }

    /// Time since this moment; zero if it is to come.
    pub fn elapsed(self) -> Duration {
        Self::now().saturating_duration_since(self)
    }

    /// Time from `earlier` to this moment; zero if `earlier` is later.
    pub const fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    /// The moment `time` later; the latest there is if that is beyond it.
    fn add(self, time: Duration) -> Self {
        Self(self.0.saturating_add(time))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    /// The moment `time` earlier, but none before the start of the machine.
    fn sub(self, time: Duration) -> Self {
        Self(self.0.saturating_sub(time))
    }
}
