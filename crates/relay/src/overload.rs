//! Whether instances have more work than they can do, as their lateness tells.
//!
//! Callers are told of the large instances of a data centre only; once one of the data centre is
//! overloaded, they are told of all for a while.

use std::time::Duration;

use ident::Time;

/// Weight of the newest look in the mean lateness.
const NEWEST_WEIGHT: f64 = 0.2;
/// Lateness of one look that counts at most: a process that stood still once is not overloaded.
const MAX_DELAY: Duration = Duration::from_millis(100);
/// Mean lateness of a timer from which on an instance is overloaded. An instance that uses a fifth of its
/// processor is late by a millisecond or two.
const OVERLOAD_DELAY: Duration = Duration::from_millis(30);
/// How long callers are told of all instances; several times as long as they take to follow, so that
/// the load does not swing to and fro.
const HOLD: Duration = Duration::from_secs(30);
/// How long an instance passes on what it heard from an overloaded one itself.
const REPORT_AGE: Duration = Duration::from_secs(1);

/// What an instance knows of the overload in its data centre.
#[derive(Debug, Default)]
pub struct Overload {
    late: Duration,
    last_report: Option<Time>,
    overloaded_until: Option<Time>,
}

impl Overload {
    /// Nothing known.
    pub const fn new() -> Self {
        Self {
            late: Duration::ZERO,
            last_report: None,
            overloaded_until: None,
        }
    }

    /// Notes that a timer of this instance came `late`.
    pub fn record_delay(&mut self, now: Time, late: Duration) {
        self.late =
            self.late.mul_f64(1.0 - NEWEST_WEIGHT) + late.min(MAX_DELAY).mul_f64(NEWEST_WEIGHT);
        if self.is_local() {
            self.record_report(now);
        }
    }

    /// Whether this instance is overloaded.
    pub fn is_local(&self) -> bool {
        self.late >= OVERLOAD_DELAY
    }

    /// Notes that an instance of the data centre told that it is overloaded.
    pub fn record_report(&mut self, now: Time) {
        self.last_report = Some(now);
        self.record_relayed_report(now);
    }

    /// Notes that an instance heard of one that is overloaded.
    pub fn record_relayed_report(&mut self, now: Time) {
        self.overloaded_until = Some(now + HOLD);
    }

    /// Whether others are to be told that an instance of the data centre is overloaded.
    pub fn is_reported(&self, now: Time) -> bool {
        self.last_report
            .is_some_and(|at| now.since(at) < REPORT_AGE)
    }

    /// Whether callers are to be told of all instances.
    pub fn lists_all_instances(&self, now: Time) -> bool {
        self.overloaded_until
            .is_some_and(|overloaded_until| now < overloaded_until)
    }
}
