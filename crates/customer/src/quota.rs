//! Rate limits, and the tolerance beyond them for daemons that cannot coordinate.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Fraction of the tolerance in a new bucket of unknown history: its keeper took over or started.
const INITIAL_LEVEL_FRACTION: f64 = 0.06;
/// Fraction that the deputies of an unreachable keeper admit together in one window.
const DEPUTY_FRACTION: f64 = 0.12;
/// Fraction that all daemons together admit in one window without asking.
const LOCAL_BUDGET_FRACTION: f64 = 0.12;

/// A rate limit for a subject, across all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Units per second.
    pub rate: f64,
    /// Maximum number of units that may be used at once.
    pub burst: f64,
}

/// Usage tolerated beyond a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Length of the window; the tolerance applies to every window of this length.
    pub window: Duration,
    /// Excess as a fraction of what the quota allows in a window.
    pub excess: f64,
    /// Additional units in a window.
    pub slack: f64,
}

impl Tolerance {
    /// Units tolerated beyond `limit` in a window.
    pub fn tolerated_units(&self, limit: Limit) -> f64 {
        let allowed = limit.rate * self.window.as_secs_f64() + limit.burst;
        self.excess * allowed + self.slack
    }

    /// Units in a new bucket of unknown history.
    pub fn initial_level(&self, limit: Limit) -> f64 {
        (self.tolerated_units(limit) * INITIAL_LEVEL_FRACTION).min(limit.burst)
    }

    /// The limit of a deputy while the keeper is unreachable: half of its share at once, half over
    /// the window.
    pub fn deputy_limit(&self, limit: Limit) -> Limit {
        let half = self.tolerated_units(limit) * DEPUTY_FRACTION / 2.0;
        let rate = half / self.window.as_secs_f64().max(f64::MIN_POSITIVE);
        Limit {
            rate: rate.min(limit.rate),
            burst: half.min(limit.burst),
        }
    }

    /// Units that each of `daemons` may admit in a window without asking.
    pub fn local_budget(&self, limit: Limit, daemons: usize) -> f64 {
        self.tolerated_units(limit) * LOCAL_BUDGET_FRACTION / daemons.max(1) as f64
    }
}
