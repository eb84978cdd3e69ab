//! Settings of the engine.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Role of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Computes KV caches.
    Prefill,
    /// Generates tokens from imported KV caches.
    Decode,
}

/// A string that is not a role.
#[derive(Debug)]
pub struct ParseError(String);

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is neither prefill nor decode", self.0)
    }
}

impl std::error::Error for ParseError {}

impl FromStr for Role {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "prefill" => Ok(Self::Prefill),
            "decode" => Ok(Self::Decode),
            _ => Err(ParseError(text.to_owned())),
        }
    }
}

/// Settings of the engine.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name in the state report.
    pub name: String,
    /// Initial role.
    pub role: Role,
    /// Number of requests whose KV caches fit in memory.
    pub slots: usize,
    /// Maximum number of queued prefills.
    pub queue: usize,
    /// Whether lower fencing numbers are refused.
    pub fences: bool,
    /// Seed of the random generator.
    pub seed: u64,
    /// Speed factor of prefill, decode and link.
    pub speed: f64,
    /// Fixed time of a prefill.
    pub prefill_fixed: Duration,
    /// Tokens that a prefill computes per second.
    pub prefill_rate: f64,
    /// Time between tokens with an empty batch.
    pub decode_base: Duration,
    /// Time that each request of the batch adds between tokens.
    pub decode_each: Duration,
    /// Bytes of KV cache per token.
    pub kv_bytes: f64,
    /// Outgoing bytes per second of the link.
    pub link_rate: f64,
    /// Time for which a finished prefill is kept.
    pub result: Duration,
    /// Lag of the load report.
    pub load_lag: Duration,
    /// Lag of cache events.
    pub event_lag: Duration,
    /// Probability that a cache event is lost.
    pub event_gap: f64,
    /// Capacity of the prefix cache in blocks.
    pub blocks: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "engine".to_owned(),
            role: Role::Prefill,
            slots: 20,
            queue: 32,
            fences: true,
            seed: 1,
            speed: 1.0,
            prefill_fixed: Duration::from_millis(40),
            prefill_rate: 8_000.0,
            decode_base: Duration::from_millis(12),
            decode_each: Duration::from_micros(600),
            kv_bytes: 130_000.0,
            link_rate: 3e9,
            result: Duration::from_millis(800),
            load_lag: Duration::from_millis(300),
            event_lag: Duration::from_millis(500),
            event_gap: 0.02,
            blocks: 4_096,
        }
    }
}

impl Settings {
    /// Returns the time to prefill `tokens`.
    pub(super) fn prefill_time(&self, tokens: usize) -> Duration {
        let computing = Duration::from_secs_f64(tokens as f64 / self.prefill_rate);
        (self.prefill_fixed + computing).div_f64(self.speed)
    }

    /// Returns the time between tokens with `running` requests in the batch.
    pub(super) fn token_time(&self, running: usize) -> Duration {
        let batch = self.decode_each * running as u32;
        (self.decode_base + batch).div_f64(self.speed)
    }

    /// Returns the time to transfer the KV cache of `tokens` over an idle link.
    pub(super) fn transfer_time(&self, tokens: usize) -> Duration {
        let bytes = tokens as f64 * self.kv_bytes;
        Duration::from_secs_f64(bytes / (self.link_rate * self.speed))
    }
}
