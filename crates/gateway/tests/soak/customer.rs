//! The customers of a run, and what they may use.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::common::http::Message;

/// Tokens of each request, as its head tells, and as counted against a quota.
pub const TOKEN_COUNTS: &str = "100,20";
const TOKENS_PER_REQUEST: f64 = 120.0;
/// Tokens that the customer with a quota may use a second, and at once.
const RATE: f64 = 600.0;
/// Time over which a quota is judged.
const WINDOW: Duration = Duration::from_secs(8);
/// What is tolerated beyond it: part, and tokens.
const EXCESS: f64 = 0.1;
const SLACK: f64 = 2_400.0;

/// Whose a request is; part of its id, so that replicas know whom it has to name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Customer {
    /// Has a quota.
    Limited,
    /// Has none.
    Unlimited,
    /// Is none: its key was never given out.
    Unknown,
}

impl Customer {
    /// The customer of the request with this number.
    pub const fn for_request(number: usize) -> Self {
        match number % 16 {
            15 => Self::Unknown,
            odd if odd % 2 == 1 => Self::Limited,
            _ => Self::Unlimited,
        }
    }

    /// Its key.
    pub const fn key(self) -> &'static str {
        match self {
            Self::Limited => "r6w2kq9vt3xz8n5hjd4m",
            Self::Unlimited => "b7f3yc8pg5sa2u9ek6lw",
            Self::Unknown => "x1x1x1x1x1x1x1x1x1x1",
        }
    }

    /// Its name.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Limited => "limited",
            Self::Unlimited => "free",
            Self::Unknown => "stranger",
        }
    }

    /// The id of its request `text`.
    pub fn id(self, text: &str) -> String {
        format!("{}-{text}", self.name())
    }
}

/// What the configuration says of customers.
pub fn config() -> Value {
    let (limited, unlimited) = (Customer::Limited, Customer::Unlimited);
    json!([
        {"name": limited.name(), "api-keys": [limited.key()], "unit": "token_count",
            "plain-tokens": TOKENS_PER_REQUEST as u64, "rate-per-s": RATE, "burst": RATE},
        {"name": unlimited.name(), "api-keys": [unlimited.key()]},
    ])
}

/// What the daemons' settings say of them.
pub fn settings() -> String {
    let window = WINDOW.as_secs();
    format!("quota: {{window_s: {window}, excess: {EXCESS}, slack: {SLACK}}}\n")
}

/// What is wrong with whom `request` names, as a replica sees it.
pub fn header_fault(request: &Message) -> Option<String> {
    let id = request.header("request-id").unwrap_or_default();
    let named = request.header("tenant").unwrap_or_default();
    let owner = id.split('-').next().unwrap_or_default();
    match request.header("x-api-key") {
        Some(_) => Some(format!("{id} brings its key")),
        None if named != owner => Some(format!("{id} is sent as `{named}`'s")),
        None => None,
    }
}

/// Whether the runs of the customer with a quota, by when they began, are more than is tolerated in any window.
pub fn excess(runs: &[Instant]) -> Option<String> {
    let quota = RATE * WINDOW.as_secs_f64() + RATE;
    let allowed = quota * (1.0 + EXCESS) + SLACK;
    let in_window = |first: &Instant| {
        let inside = runs
            .iter()
            .filter(|run| *run >= first && **run < *first + WINDOW);
        inside.count() as f64 * TOKENS_PER_REQUEST
    };
    let worst = runs.iter().map(in_window).fold(0.0, f64::max);
    (worst > allowed).then(|| format!("QUOTA: {worst} tokens in a window of {allowed}"))
}
