//! Settings of a cell.

use std::time::Duration;

/// Starting points of learned figures, and limits.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// How long before a prefill replica falls idle it is given its next prefill: it covers the
    /// way of a verdict through the owner to the replica.
    pub prefill_lead: Duration,
    /// Time after a change of keeper in which nothing is granted while owners report their holds.
    pub grace: Duration,
    /// Time for which an engine keeps a finished prefill.
    pub prefill_retention: Duration,
    /// Prefill tokens a second, until learned.
    pub prefill_rate: f64,
    /// Prefill tokens a second that every replica exceeds.
    pub min_prefill_rate: f64,
    /// Transfer time for one token, until learned.
    pub transfer_per_token: Duration,
    /// Retries that a row is granted in any ten seconds, so that a quiet row can retry at all.
    pub min_retries: f64,
    /// The least time to come back that a refusal names.
    pub min_retry_after: Duration,
    /// The longest time to come back that a refusal names.
    pub max_retry_after: Duration,
}

impl Settings {
    /// The defaults.
    pub const fn new() -> Self {
        Self {
            prefill_lead: Duration::from_millis(20),
            grace: Duration::from_secs(2),
            prefill_retention: Duration::from_millis(800),
            prefill_rate: 10_000.0,
            min_prefill_rate: 2_000.0,
            transfer_per_token: Duration::from_micros(10),
            min_retries: 12.0,
            min_retry_after: Duration::from_millis(100),
            max_retry_after: Duration::from_secs(30),
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self::new()
    }
}
