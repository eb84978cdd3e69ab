//! Load patterns: what the customer sends, and the fault of the daemons meanwhile.

use std::time::Duration;

use customer::quota::Limit;
use customer::quota::Tolerance;
use ident::Time;

/// Length of a run.
pub const LENGTH: Duration = Duration::from_secs(34);
/// Time after which daemons detect which others are reachable.
pub const DETECTION: Duration = Duration::from_millis(1_500);

/// A load pattern and its quota.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Name in the table.
    pub name: &'static str,
    /// Daemons.
    pub daemons: usize,
    /// The quota.
    pub limit: Limit,
    /// What is tolerated beyond the quota.
    pub tolerance: Tolerance,
    /// Rate of the requests as a multiple of the quota's rate.
    pub demand: f64,
    /// Injected fault.
    pub fault: Fault,
}

/// A fault of the daemons, or a change of the quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// No fault.
    None,
    /// This fraction of the daemons is cut off from the others and from each other during [`FAULT_SPAN`].
    Cut(f64),
    /// This fraction is killed, and restarts without state after [`DOWNTIME`].
    Kill(f64),
    /// The quota falls to this fraction.
    Lower(f64),
}

/// When the fault begins and ends.
pub const FAULT_SPAN: (Time, Time) = (Time::from_millis(10_000), Time::from_millis(18_000));
/// Time for which killed daemons are down.
pub const DOWNTIME: Duration = Duration::from_secs(1);

impl Load {
    /// A quota of `rate` units per second over `daemons`, with the tolerance of the users' deployment.
    pub const fn new(name: &'static str, daemons: usize, rate: f64, demand: f64) -> Self {
        Self {
            name,
            daemons,
            limit: Limit { rate, burst: rate },
            tolerance: Tolerance {
                window: Duration::from_secs(8),
                excess: 0.1,
                slack: 190_000.0,
            },
            demand,
            fault: Fault::None,
        }
    }

    /// The same with a fault.
    #[must_use]
    pub const fn with_fault(self, fault: Fault) -> Self {
        Self { fault, ..self }
    }

    /// The quota at `now`.
    pub fn limit_at(&self, now: Time) -> Limit {
        match self.fault {
            Fault::Lower(fraction) if now >= FAULT_SPAN.0 => Limit {
                rate: self.limit.rate * fraction,
                burst: self.limit.burst * fraction,
            },
            _ => self.limit,
        }
    }

    /// Units sent per second.
    pub fn demand_rate(&self) -> f64 {
        self.limit.rate * self.demand
    }

    /// Whether `daemon` is cut off at `now`.
    pub fn is_cut(&self, now: Time, daemon: usize) -> bool {
        let Fault::Cut(fraction) = self.fault else {
            return false;
        };
        FAULT_SPAN.0 <= now && now < FAULT_SPAN.1 && self.is_hit(daemon, fraction)
    }

    /// Whether `daemon` is down at `now`.
    pub fn is_down(&self, now: Time, daemon: usize) -> bool {
        let Fault::Kill(fraction) = self.fault else {
            return false;
        };
        FAULT_SPAN.0 <= now && now < FAULT_SPAN.0 + DOWNTIME && self.is_hit(daemon, fraction)
    }

    fn is_hit(&self, daemon: usize, fraction: f64) -> bool {
        (daemon as f64) < self.daemons as f64 * fraction
    }
}
