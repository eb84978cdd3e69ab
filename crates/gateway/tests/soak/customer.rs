//! The customers of a run and their quotas.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::common::http::Message;

/// `Token-Counts` header of each request.
pub const TOKEN_COUNTS: &str = "100,20";
/// Tokens of each request that count against a quota.
const TOKENS_PER_REQUEST: f64 = 120.0;
/// Quota of the limited customer: tokens per second, and its burst in tokens.
const RATE: f64 = 600.0;
/// Window in which the quota is checked.
const WINDOW: Duration = Duration::from_secs(8);
/// Fraction of the quota that is tolerated in excess of it.
const EXCESS: f64 = 0.1;
/// Tokens that are tolerated in addition to `EXCESS`.
const SLACK: f64 = 2_400.0;

/// The customer of a request. Its name begins the request id, so that replicas can check the customer they are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Customer {
    /// A customer with a quota.
    Limited,
    /// A customer without a quota.
    Unlimited,
    /// A caller whose key belongs to no customer.
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

    /// Whether `text` looks like the id of a customer's request.
    pub fn is_request_id(text: &str) -> bool {
        let customers = [Self::Limited, Self::Unlimited, Self::Unknown];
        let mut names = customers.iter().map(|customer| customer.name());
        names.any(|name| {
            text.strip_prefix(name)
                .is_some_and(|rest| rest.starts_with('-'))
        })
    }

    /// API key that its requests carry.
    pub const fn key(self) -> &'static str {
        match self {
            Self::Limited => "r6w2kq9vt3xz8n5hjd4m",
            Self::Unlimited => "b7f3yc8pg5sa2u9ek6lw",
            Self::Unknown => "x1x1x1x1x1x1x1x1x1x1",
        }
    }

    /// Name in the configuration and in request ids.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Limited => "limited",
            Self::Unlimited => "free",
            Self::Unknown => "stranger",
        }
    }

    /// Request id that consists of the customer's name and `text`.
    pub fn id(self, text: &str) -> String {
        format!("{}-{text}", self.name())
    }
}

/// Customers in the configuration.
pub fn config() -> Value {
    let (limited, unlimited) = (Customer::Limited, Customer::Unlimited);
    json!([
        {"name": limited.name(), "api-keys": [limited.key()], "unit": "token_count",
            "plain-tokens": TOKENS_PER_REQUEST as u64, "rate-per-s": RATE, "burst": RATE},
        {"name": unlimited.name(), "api-keys": [unlimited.key()]},
    ])
}

/// The `quota` line of the daemons' settings.
pub fn settings() -> String {
    let window = WINDOW.as_secs();
    format!("quota: {{window_s: {window}, excess: {EXCESS}, slack: {SLACK}}}\n")
}

/// Returns what is wrong with the customer headers of a `request` that a replica received: the key must be removed,
/// and the customer must be the one in the request id.
pub fn header_fault(request: &Message) -> Option<String> {
    let id = request.header("request-id").unwrap_or_default();
    let named = request.header("tenant").unwrap_or_default();
    let owner = id.split('-').next().unwrap_or_default();
    match request.header("x-api-key") {
        Some(_) => Some(format!("{id} was forwarded with its API key")),
        None if named != owner => Some(format!("{id} was forwarded as a request of `{named}`")),
        None => None,
    }
}

/// Returns a message if the limited customer used more tokens than tolerated in any window. `runs` holds the start
/// times of its requests.
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
    (worst > allowed).then(|| format!("QUOTA: {worst} tokens in a window that allows {allowed}"))
}
