//! Settings of a scheduler.

use std::time::Duration;

/// Initial estimates and limits.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// How long before a prefill replica becomes idle it gets its next prefill. This covers the
    /// path of a verdict through the owner to the replica.
    pub prefill_lead: Duration,
    /// Time after a change of keeper in which nothing is granted, while owners report their holds.
    pub grace: Duration,
    /// Time for which an engine keeps a finished prefill.
    pub prefill_retention: Duration,
    /// Initial prefill rate, in tokens per second.
    pub prefill_rate: f64,
    /// Prefill rate that every replica exceeds, in tokens per second.
    pub min_prefill_rate: f64,
    /// Initial transfer time per token.
    pub transfer_per_token: Duration,
    /// Retries that a row may use in any ten seconds, so that a row with few requests can retry at
    /// all.
    pub min_retries: f64,
    /// Shortest `retry_after` of a refusal.
    pub min_retry_after: Duration,
    /// Longest `retry_after` of a refusal.
    pub max_retry_after: Duration,
}

impl Settings {
    /// The default settings.
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
