//! Token bucket with which the keeper of a customer's quota counts usage.

use std::time::Duration;

use ident::Time;

use crate::quota::Limit;

/// Maximum retry time given to a caller. By then the quota has long refilled, and other refused
/// callers may never retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may run after this time.
    Granted {
        /// Zero unless it needs units that are refilled only by then.
        after: Duration,
    },
    /// It exceeds the quota.
    Refused {
        /// Time until there are enough units for it, behind the callers refused before it.
        come_back: Duration,
    },
}

/// A token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    /// Units left; negative if granted requests wait for refill or requests ran without asking.
    level: f64,
    /// Units expected to be taken by refused callers that were told when to retry.
    promised: f64,
    at: Time,
}

impl Bucket {
    /// A bucket that had `level` units at `at`.
    pub const fn new(at: Time, level: f64) -> Self {
        Self {
            level,
            promised: 0.0,
            at,
        }
    }

    /// Units left at `now`.
    pub fn level(&mut self, now: Time, limit: Limit) -> f64 {
        let refilled = limit.rate * now.since(self.at).as_secs_f64();
        self.level = (self.level + refilled).min(limit.burst);
        self.promised = (self.promised - refilled).max(0.0);
        self.at = self.at.max(now);
        self.level
    }

    /// Takes `units` for a request that can wait for up to `patience`.
    ///
    /// A request larger than the bucket may run when the bucket is full.
    pub fn take(&mut self, now: Time, limit: Limit, units: f64, patience: Duration) -> Verdict {
        let level = self.level(now, limit);
        let missing = units.min(limit.burst) - level;
        let after = refill_time(missing, limit);
        if after <= patience {
            self.level -= units;
            return Verdict::Granted { after };
        }
        let come_back = refill_time(missing + self.promised, limit);
        self.promised += units.min(limit.burst);
        Verdict::Refused {
            come_back: come_back.min(MAX_RETRY_AFTER),
        }
    }

    /// Takes `units` for a request that already ran; returns whether enough were left.
    pub fn debit(&mut self, now: Time, limit: Limit, units: f64) -> bool {
        let level = self.level(now, limit);
        self.level -= units;
        level >= units.min(limit.burst)
    }

    /// Time until the level is no longer negative.
    pub fn time_until_available(&mut self, now: Time, limit: Limit) -> Duration {
        refill_time(-self.level(now, limit), limit)
    }

    /// Returns `units` that were taken for a request that did not run.
    pub fn refund(&mut self, now: Time, limit: Limit, units: f64) {
        self.level(now, limit);
        self.level = (self.level + units).min(limit.burst);
    }
}

/// Time in which `units` are refilled.
fn refill_time(units: f64, limit: Limit) -> Duration {
    if units <= 0.0 {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(units / limit.rate).unwrap_or(Duration::MAX)
}
