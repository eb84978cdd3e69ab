//! Refusals of requests.

use serde::Deserialize;

/// The typed outcome of a request that was not answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Status code.
    pub status: u16,
    /// `not_run`, `unknown` or `failed`; empty if the response is not from a daemon.
    pub outcome: String,
    /// Reason.
    pub reason: String,
    /// Time after which to retry.
    pub retry_after_ms: Option<u64>,
    /// Addresses at which to retry.
    pub addresses: Vec<String>,
}

#[derive(Debug, Default, Deserialize)]
struct RefusalBody {
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    reason: String,
    retry_after_ms: Option<u64>,
    #[serde(default)]
    addresses: Vec<String>,
}

impl Refusal {
    /// Parses the body of a refusal.
    pub(crate) fn with_body(status: u16, text: &str) -> Self {
        let body: RefusalBody = serde_json::from_str(text).unwrap_or_default();
        Self {
            status,
            outcome: body.outcome,
            reason: body.reason,
            retry_after_ms: body.retry_after_ms,
            addresses: body.addresses,
        }
    }
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {} ({})", self.status, self.outcome, self.reason)
    }
}
