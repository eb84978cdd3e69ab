//! How fast a replica works: the time that it takes for a token.
//!
//! Each daemon measures the replicas that serve its requests, and announces what it measured, since
//! it sees a given replica of a large fleet too rarely to choose by its own measurements alone.

pub mod log_filter;
pub mod meter;
pub mod publisher;
pub mod report;
pub mod standstill;

use std::time::Duration;

use ident::Time;

/// How long a measured pace is used; a replica that is avoided for its slowness is tried again after
/// it.
pub const PACE_TTL: Duration = Duration::from_mins(1);
/// Minimum length of a prompt whose prefill is measured, in tokens; the time for a shorter one
/// depends on the network.
pub const MIN_PROMPT_TOKENS: u64 = 500;
/// Minimum generation time that is measured; single steps of an engine differ.
pub const MIN_GENERATION: Duration = Duration::from_millis(500);
/// Weight of the newest measurement in the pace of a decode replica, and of a slower one in that of
/// a prefill replica.
const NEWEST_WEIGHT: f64 = 0.5;

/// Time per token of a replica at its stage: of a prompt without its queue at a prefill replica, of
/// an answer at a decode replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Seconds per token.
    pub seconds: f64,
    /// Until when it is used. Unlike the time of its measurement, this does not lie before the
    /// origin of the clock where another daemon measured it.
    expires_at: Time,
}

impl Pace {
    /// The pace of `seconds` per token, measured at `at`.
    pub fn new(at: Time, seconds: f64) -> Self {
        Self {
            seconds,
            expires_at: at + PACE_TTL,
        }
    }

    /// The pace of `seconds` per token, measured `age` before `now`; `None` if that is too old.
    pub fn with_age(now: Time, age: Duration, seconds: f64) -> Option<Self> {
        let left = PACE_TTL.checked_sub(age)?;
        (!left.is_zero()).then(|| Self {
            seconds,
            expires_at: now + left,
        })
    }

    /// Time since the measurement.
    pub const fn age(&self, now: Time) -> Duration {
        PACE_TTL.saturating_sub(self.expires_at.since(now))
    }

    /// Whether it was measured after `other`.
    pub fn is_newer(&self, other: &Self) -> bool {
        self.expires_at > other.expires_at
    }

    /// Seconds per token, unless the measurement is too old.
    pub fn current(&self, now: Time) -> Option<f64> {
        (now < self.expires_at).then_some(self.seconds)
    }
}

/// Seconds per prompt token by a prefill that took `measured`, where `known` was known before. A
/// busy host makes a single prefill too slow and never too fast, so a faster measurement counts
/// fully.
pub fn combine_prefill(known: Option<f64>, measured: f64) -> f64 {
    measured.min(combine_decode(known, measured))
}

/// Seconds per answer token by a generation at `measured`, where `known` was known before.
pub fn combine_decode(known: Option<f64>, measured: f64) -> f64 {
    known.map_or(measured, |known| {
        NEWEST_WEIGHT.mul_add(measured - known, known)
    })
}
