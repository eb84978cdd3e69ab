//! Metrics of customers' quotas, by rank.

use customer::keeper::Decision;
use customer::rank::Standing;
use prometheus::Error;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

use crate::metrics::registration::full_name;
use crate::metrics::registration::register;

/// Metrics of customers' quotas.
#[derive(Debug)]
pub struct QuotaMetrics {
    decisions: IntCounterVec,
    returns: IntCounterVec,
}

impl QuotaMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// If a name is already registered.
    pub fn new(registry: &Registry) -> Result<Self, Error> {
        let decisions = Opts::new(
            full_name("quota_decisions_total"),
            "Decisions on customers' quotas by rank and whether the request returned too late",
        );
        let returns = Opts::new(
            full_name("returns_total"),
            "Requests that returned too late for their objective, by rank and outcome",
        );
        let decisions = IntCounterVec::new(decisions, &["rank", "returned", "decision"])?;
        let returns = IntCounterVec::new(returns, &["rank", "outcome"])?;
        Ok(Self {
            decisions: register(registry, decisions)?,
            returns: register(registry, returns)?,
        })
    }

    /// Counts a decision on a customer's quota.
    pub fn decision(&self, standing: Standing, decision: Decision) {
        let rank = standing.rank.value().to_string();
        let returned = if standing.returned { "yes" } else { "no" };
        let decision = match decision {
            Decision::Granted { .. } => "granted",
            Decision::Refused { .. } => "refused",
            _ => "undecided",
        };
        let labels = [rank.as_str(), returned, decision];
        self.decisions.with_label_values(&labels).inc();
    }

    /// Counts the end of a request that returned too late for its objective, if it was served or
    /// refused again.
    pub fn returned(&self, standing: Standing, status: u16) {
        let outcome = match status {
            200..300 => "served",
            429 | 503 => "refused",
            _ => return,
        };
        let rank = standing.rank.value().to_string();
        let labels = [rank.as_str(), outcome];
        self.returns.with_label_values(&labels).inc();
    }
}
