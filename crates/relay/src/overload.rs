//! Detects overloaded instances by the delay of their timers.
//!
//! Callers normally get only the large instances of a data centre; when one of the data centre is
//! overloaded, they get all of them for a while.

use std::time::Duration;

use ident::Time;

/// Weight of the newest sample in the mean delay.
const NEWEST_WEIGHT: f64 = 0.2;
/// Maximum delay of one sample: a process that was suspended once is not overloaded.
const MAX_DELAY: Duration = Duration::from_millis(100);
/// Mean timer delay from which an instance is overloaded. An instance that uses a fifth of its
/// processor is late by a millisecond or two.
const OVERLOAD_DELAY: Duration = Duration::from_millis(30);
/// How long callers get all instances. Several times as long as callers take to react, so that the
/// load does not oscillate.
const HOLD: Duration = Duration::from_secs(30);
/// How long an instance forwards a report that it received from the overloaded instance itself.
const REPORT_AGE: Duration = Duration::from_secs(1);

/// Overload in the data centre of this instance.
#[derive(Debug, Default)]
pub struct Overload {
    mean_delay: Duration,
    last_report: Option<Time>,
    overloaded_until: Option<Time>,
}

impl Overload {
    /// Creates a record without overload.
    pub const fn new() -> Self {
        Self {
            mean_delay: Duration::ZERO,
            last_report: None,
            overloaded_until: None,
        }
    }

    /// Records that a timer of this instance fired `late`.
    pub fn record_delay(&mut self, now: Time, late: Duration) {
        self.mean_delay = self.mean_delay.mul_f64(1.0 - NEWEST_WEIGHT)
            + late.min(MAX_DELAY).mul_f64(NEWEST_WEIGHT);
        if self.is_local() {
            self.record_report(now);
        }
    }

    /// Whether this instance itself is overloaded.
    pub fn is_local(&self) -> bool {
        self.mean_delay >= OVERLOAD_DELAY
    }

    /// Records that an instance of the data centre reported its own overload.
    pub fn record_report(&mut self, now: Time) {
        self.last_report = Some(now);
        self.record_relayed_report(now);
    }

    /// Records that an instance reported the overload of another one.
    pub fn record_relayed_report(&mut self, now: Time) {
        self.overloaded_until = Some(now + HOLD);
    }

    /// Whether to report to others that an instance of the data centre is overloaded.
    pub fn is_reported(&self, now: Time) -> bool {
        self.last_report
            .is_some_and(|at| now.since(at) < REPORT_AGE)
    }

    /// Whether callers get the addresses of all instances.
    pub fn lists_all_instances(&self, now: Time) -> bool {
        self.overloaded_until
            .is_some_and(|overloaded_until| now < overloaded_until)
    }
}
