//! What a customer may use, and what may be admitted beyond it where daemons do not know of each other.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Part of the tolerance that a bucket starts with whose past is not known: its keeper has just taken it over or started.
const START_PART: f64 = 0.06;
/// Part that the deputies of a silent keeper admit together in one window.
const DEPUTY_PART: f64 = 0.12;
/// Part that all daemons together admit in one window without having asked.
const POCKET_PART: f64 = 0.12;

/// A rate limit for a subject, across all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Units a second.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
}

/// What is tolerated beyond a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Span over which the quota is judged; any span of this length.
    pub window: Duration,
    /// Part of what the quota allows in a window.
    pub excess: f64,
    /// Units in a window besides.
    pub slack: f64,
}

impl Tolerance {
    /// Units beyond `limit` in a window.
    pub fn tolerated_units(&self, limit: Limit) -> f64 {
        let allowed = limit.rate * self.window.as_secs_f64() + limit.burst;
        self.excess * allowed + self.slack
    }

    /// Units in a bucket whose past is not known.
    pub fn initial_level(&self, limit: Limit) -> f64 {
        (self.tolerated_units(limit) * START_PART).min(limit.burst)
    }

    /// The limit of a deputy, which admits while the keeper is silent: half of its part at once, half over the window.
    pub fn deputy_limit(&self, limit: Limit) -> Limit {
        let half = self.tolerated_units(limit) * DEPUTY_PART / 2.0;
        let rate = half / self.window.as_secs_f64().max(f64::MIN_POSITIVE);
        Limit {
            rate: rate.min(limit.rate),
            burst: half.min(limit.burst),
        }
    }

    /// Units that one of so many daemons may admit in a window without having asked.
    pub fn local_budget(&self, limit: Limit, daemons: usize) -> f64 {
        self.tolerated_units(limit) * POCKET_PART / daemons.max(1) as f64
    }
}
