//! How fast a replica works: the time that it takes for a token.

use std::time::Duration;

use ident::Time;

/// How long a measured pace is used; a replica that is avoided for its slowness is tried again after
/// it.
pub const PACE_TTL: Duration = Duration::from_mins(1);

/// Time per token of a replica at its stage: of a prompt without its queue at a prefill replica, of
/// an answer at a decode replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Seconds per token.
    pub seconds: f64,
    /// When it was measured.
    pub at: Time,
}

impl Pace {
    /// The pace of `seconds` per token, measured at `at`.
    pub const fn new(at: Time, seconds: f64) -> Self {
        Self { seconds, at }
    }

    /// Seconds per token, unless the measurement is too old.
    pub fn current(&self, now: Time) -> Option<f64> {
        (now.since(self.at) < PACE_TTL).then_some(self.seconds)
    }
}
