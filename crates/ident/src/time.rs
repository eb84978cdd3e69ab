//! Monotonic time, passed in by drivers.

use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A time on the driver's monotonic clock, in microseconds since an origin of its choice.
///
/// Never sent to another process, whose origin differs: frames carry ages instead.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);
    /// Later than any time that is reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// The time `ms` milliseconds after the origin, at most [`Self::NEVER`].
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// Whole milliseconds since the origin.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Time since `earlier`; zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    /// The time `span` later, at most [`Time::NEVER`].
    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(micros(span)))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    /// The time `span` earlier, at least [`Time::ZERO`].
    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(micros(span)))
    }
}

/// The microseconds of `span`, at most the largest number of them.
fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
