//! Token bucket with which the keeper of a customer's quota counts usage.

use std::time::Duration;

use ident::Time;

use crate::demand::Demand;
use crate::demand::STANDINGS;
use crate::quota::Limit;
use crate::rank::RANKS;
use crate::rank::Rank;
use crate::rank::Standing;

/// Maximum retry time given to a caller. By then the quota has long refilled, and other refused
/// callers may never retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Fraction of the rate that is kept for standings that others are ahead of, so that none starves;
/// the same fraction of the burst may be saved.
const MIN_SHARE: f64 = 0.1;

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

/// A token bucket that serves standings in their order.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    /// Units left; negative if granted requests wait for refill or requests ran without asking.
    level: f64,
    /// Recent demand.
    demand: Demand,
    /// Units kept for each standing, which it may use although others are ahead of it.
    kept: [f64; STANDINGS],
    /// Units expected to be taken by refused callers that were told when to retry, by rank.
    promised: [f64; RANKS],
    at: Time,
}

impl Bucket {
    /// A bucket that had `level` units at `at`.
    pub const fn new(at: Time, level: f64) -> Self {
        Self {
            level,
            demand: Demand::new(at),
            kept: [0.0; STANDINGS],
            promised: [0.0; RANKS],
            at,
        }
    }

    /// Units left at `now`.
    pub fn level(&mut self, now: Time, limit: Limit) -> f64 {
        let seconds = now.since(self.at).as_secs_f64();
        self.demand.fade(now);
        self.level = (self.level + limit.rate * seconds).min(limit.burst);
        self.refill_kept(seconds, limit);
        self.settle_promises(seconds, limit);
        self.at = self.at.max(now);
        self.level
    }

    /// Takes the level to have been at most `level` at `since`, unless the bucket was used later.
    pub fn cap(&mut self, since: Time, limit: Limit, level: f64) {
        if self.at < since {
            self.level = self.level(since, limit).min(level);
        }
    }

    /// Units that a request of `units` has to leave to those ahead of it.
    pub fn reserve(&self, limit: Limit, units: f64, standing: Standing) -> f64 {
        self.demand.reserve(standing, units, limit)
    }

    /// Takes `units` for a request that can wait for up to `patience`, if the bucket also holds what
    /// it has to leave to those ahead, or units kept for its standing.
    ///
    /// A request larger than the bucket may run when the bucket is full.
    pub fn take(
        &mut self,
        now: Time,
        limit: Limit,
        units: f64,
        patience: Duration,
        standing: Standing,
    ) -> Verdict {
        let missing = units.min(limit.burst) - self.level(now, limit);
        self.demand.record(now, standing, units, patience);
        let allowed_wait = self.demand.allowed_wait(patience);
        let reserve = self.reserve(limit, units, standing);
        let after = refill_time(missing, limit);
        if refill_time(missing + reserve, limit) <= allowed_wait {
            self.level -= units;
            return Verdict::Granted { after };
        }
        let kept = &mut self.kept[standing.index()];
        if after <= allowed_wait && *kept >= units.min(limit.burst * MIN_SHARE) {
            *kept -= units;
            self.level -= units;
            return Verdict::Granted { after };
        }
        let come_back = self.come_back(limit, units, missing, standing);
        self.promised[rank_index(standing)] += units.min(limit.burst);
        Verdict::Refused { come_back }
    }

    /// Time until a request of `standing` that lacks `missing` units can be granted as one that
    /// returns.
    fn come_back(&self, limit: Limit, units: f64, missing: f64, standing: Standing) -> Duration {
        let promised: f64 = self.promised[..=rank_index(standing)].iter().sum();
        let back = standing.with_returned(true);
        let reserve = self.reserve(limit, units, back);
        let reserve = reserve.max(self.reserve(limit, units, standing));
        let reserve = if self.demand.is_mixed() { reserve } else { 0.0 };
        let rate = self.rate_left(limit, back);
        let time = refill_time(missing + reserve + promised, Limit { rate, ..limit });
        time.min(MAX_RETRY_AFTER)
    }

    /// Units per second that those ahead leave to `standing`. Without competition, returning
    /// callers are taken to be the only ones.
    fn rate_left(&self, limit: Limit, standing: Standing) -> f64 {
        if !self.demand.is_mixed() {
            return limit.rate;
        }
        let left = limit.rate - self.demand.rate_ahead(standing);
        left.max(limit.rate * MIN_SHARE)
    }

    fn refill_kept(&mut self, seconds: f64, limit: Limit) {
        let standings = self.demand.standings().max(1) as f64;
        let refilled = limit.rate * MIN_SHARE * seconds / standings;
        for kept in &mut self.kept {
            *kept = (*kept + refilled).min(limit.burst * MIN_SHARE);
        }
    }

    /// Reduces what was promised by what was refilled for each rank after those ahead.
    fn settle_promises(&mut self, seconds: f64, limit: Limit) {
        let mut settled = 0.0;
        for rank in 0..RANKS {
            let back = Standing::new(Rank::new(rank as u8)).with_returned(true);
            let refilled = self.rate_left(limit, back) * seconds;
            let unsettled = (limit.rate * seconds - settled).max(0.0);
            let part = self.promised[rank].min(refilled).min(unsettled);
            self.promised[rank] -= part;
            settled += part;
        }
    }

    /// Takes `units` for a request that already ran; returns whether enough were left, also for those
    /// ahead of all others.
    pub fn debit(&mut self, now: Time, limit: Limit, units: f64) -> bool {
        let level = self.level(now, limit);
        self.level -= units;
        let last = Standing::new(Rank::new(u8::MAX)).with_returned(true);
        let reserve = if self.demand.is_mixed() {
            self.reserve(limit, units, last)
        } else {
            0.0
        };
        level >= units.min(limit.burst) + reserve
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

/// Index of the rank of `standing`.
const fn rank_index(standing: Standing) -> usize {
    standing.rank.value() as usize
}

/// Time in which `units` are refilled.
fn refill_time(units: f64, limit: Limit) -> Duration {
    if units <= 0.0 {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(units / limit.rate).unwrap_or(Duration::MAX)
}
