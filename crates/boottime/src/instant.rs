//! Instants on the boot-time clock.

use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// An instant on the monotonic clock that counts from the start of the machine and includes
/// suspension (`CLOCK_BOOTTIME`).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant(Duration);

impl Instant {
    /// The current instant.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        Self(Duration::new(time.tv_sec as u64, time.tv_nsec as u32))
    }

    /// Time since this instant; zero if it is in the future.
    pub fn elapsed(self) -> Duration {
        Self::now().saturating_duration_since(self)
    }

    /// Time from `earlier` to this instant; zero if `earlier` is later.
    pub const fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    /// The instant `time` later, saturating at the maximum.
    fn add(self, time: Duration) -> Self {
        Self(self.0.saturating_add(time))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    /// The instant `time` earlier, saturating at the start of the machine.
    fn sub(self, time: Duration) -> Self {
        Self(self.0.saturating_sub(time))
    }
}
