//! Whether instances have more work than they can do, as their lateness tells.
//!
//! Callers are told of the large instances of a data centre only; once one of the data centre is
//! overloaded, they are told of all for a while.

use std::time::Duration;

use ident::Time;

/// Weight of the newest look in the mean lateness.
const STEP: f64 = 0.2;
/// Lateness of one look that counts at most: a process that stood still once is not overloaded.
const LATE_MOST: Duration = Duration::from_millis(100);
/// Mean lateness of a timer from which on an instance is overloaded. An instance that uses a fifth of its
/// processor is late by a millisecond or two.
const LATE: Duration = Duration::from_millis(30);
/// How long callers are told of all instances; several times as long as they take to follow, so that
/// the load does not swing to and fro.
const HOLD: Duration = Duration::from_secs(30);
/// How long an instance passes on what it heard from an overloaded one itself.
const RELAY_AGE: Duration = Duration::from_secs(1);

/// What an instance knows of the overload in its data centre.
#[derive(Debug, Default)]
pub struct Overload {
    late: Duration,
    heard: Option<Time>,
    until: Option<Time>,
}

impl Overload {
    /// Nothing known.
    pub const fn new() -> Self {
        Self {
            late: Duration::ZERO,
            heard: None,
            until: None,
        }
    }

    /// Notes that a timer of this instance came `late`.
    pub fn record_delay(&mut self, now: Time, late: Duration) {
        self.late = self.late.mul_f64(1.0 - STEP) + late.min(LATE_MOST).mul_f64(STEP);
        if self.is_local() {
            self.record_report(now);
        }
    }

    /// Whether this instance is overloaded.
    pub fn is_local(&self) -> bool {
        self.late >= LATE
    }

    /// Notes that an instance of the data centre told that it is overloaded.
    pub fn record_report(&mut self, now: Time) {
        self.heard = Some(now);
        self.record_relayed_report(now);
    }

    /// Notes that an instance heard of one that is overloaded.
    pub fn record_relayed_report(&mut self, now: Time) {
        self.until = Some(now + HOLD);
    }

    /// Whether others are to be told that an instance of the data centre is overloaded.
    pub fn is_reported(&self, now: Time) -> bool {
        self.heard.is_some_and(|at| now.since(at) < RELAY_AGE)
    }

    /// Whether callers are to be told of all instances.
    pub fn lists_all_instances(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
