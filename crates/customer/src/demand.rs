//! Recent demand for a quota by standing, and what a request has to leave to those ahead of it.

use std::time::Duration;

use ident::Time;

use crate::quota::Limit;
use crate::rank::RANKS;
use crate::rank::Standing;

/// Number of standings: each rank, in time and returned.
pub const STANDINGS: usize = 2 * RANKS;

/// Time in which the weight of a request falls to 37 %.
const MEMORY: Duration = Duration::from_secs(1);
/// Weight of all requests of a standing below which it counts as unused.
const FORGOTTEN: f64 = 0.01;
/// Time for which the demand of those ahead is reserved.
const HORIZON: Duration = Duration::from_millis(500);
/// Maximum reserve as a fraction of the burst; the rest may be used by anyone.
const MAX_RESERVE: f64 = 0.5;

/// Demand of all standings, which fades exponentially.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    of: [Recent; STANDINGS],
    /// Least time that one of the recent requests can wait, and when it was asked for.
    least_patience: (Duration, Time),
    at: Time,
}

/// Requests of one standing, each weighted by its age.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Recent {
    requests: f64,
    units: f64,
}

impl Demand {
    /// No demand until `at`.
    pub const fn new(at: Time) -> Self {
        Self {
            of: [Recent {
                requests: 0.0,
                units: 0.0,
            }; STANDINGS],
            least_patience: (Duration::MAX, Time::ZERO),
            at,
        }
    }

    /// Records a request, whether it is granted or not.
    pub fn record(&mut self, now: Time, standing: Standing, units: f64, patience: Duration) {
        self.fade(now);
        let recent = &mut self.of[standing.index()];
        recent.requests += 1.0;
        recent.units += units;
        let (least, at) = self.least_patience;
        if patience <= least || now.since(at) > MEMORY {
            self.least_patience = (patience, now);
        }
    }

    /// Lets the demand fade until `now`.
    pub fn fade(&mut self, now: Time) {
        let age = now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64();
        self.at = self.at.max(now);
        let weight = (-age).exp();
        for recent in &mut self.of {
            recent.requests *= weight;
            recent.units *= weight;
            if recent.requests < FORGOTTEN {
                *recent = Recent::default();
            }
        }
    }

    /// Whether requests of several standings were asked for recently.
    pub fn is_mixed(&self) -> bool {
        self.standings() > 1
    }

    /// Number of standings with recent requests.
    pub fn standings(&self) -> usize {
        let used = self.of.iter().filter(|recent| recent.requests > 0.0);
        used.count()
    }

    /// Time that a request with this `patience` may wait for a refill: where standings compete, no
    /// longer than the least patient one, which would find nothing left otherwise.
    pub fn allowed_wait(&self, patience: Duration) -> Duration {
        if self.is_mixed() {
            patience.min(self.least_patience.0)
        } else {
            patience
        }
    }

    /// Units per second that standings ahead of `standing` ask for.
    pub fn rate_ahead(&self, standing: Standing) -> f64 {
        self.ahead(standing).units / MEMORY.as_secs_f64()
    }

    /// Units that a request of `units` has to leave to those ahead of it. A small request delays
    /// them less, so it leaves less.
    pub fn reserve(&self, standing: Standing, units: f64, limit: Limit) -> f64 {
        let ahead = self.ahead(standing);
        if ahead.units <= 0.0 {
            return 0.0;
        }
        let mean_units = ahead.units / ahead.requests;
        let expected = self.rate_ahead(standing) * HORIZON.as_secs_f64();
        let reserve = expected.min(limit.burst * MAX_RESERVE) * (units / mean_units).min(1.0);
        // A full bucket grants anything, or what it cannot hold would be lost.
        reserve.min(limit.burst - units.min(limit.burst))
    }

    fn ahead(&self, standing: Standing) -> Recent {
        let ahead = self.of[..standing.index()].iter();
        ahead.fold(Recent::default(), |sum, recent| Recent {
            requests: sum.requests + recent.requests,
            units: sum.units + recent.units,
        })
    }
}
