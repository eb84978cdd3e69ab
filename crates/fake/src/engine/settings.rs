//! Knobs of the engine.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// What an engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Computes KV caches.
    Prefill,
    /// Generates tokens from imported KV caches.
    Decode,
}

/// A text that is not a role.
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

/// Knobs of the engine.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name, shown in its state.
    pub name: String,
    /// What it does at first.
    pub role: Role,
    /// Requests whose KV cache its memory holds at once.
    pub slots: usize,
    /// Prefills that may wait.
    pub queue: usize,
    /// Whether it refuses lower fencing numbers.
    pub fences: bool,
    /// Seed of its random choices.
    pub seed: u64,
    /// Factor on the speed of prefill, decode and link.
    pub speed: f64,
    /// Part of a prefill's time that does not depend on its length.
    pub prefill_fixed: Duration,
    /// Tokens that a prefill computes a second.
    pub prefill_rate: f64,
    /// Time between tokens with an empty batch.
    pub decode_base: Duration,
    /// What each request of the batch adds to the time between tokens.
    pub decode_each: Duration,
    /// Bytes of KV cache a token.
    pub kv_bytes: f64,
    /// Bytes a second that leave the engine by its link.
    pub link_rate: f64,
    /// How long a finished prefill is kept.
    pub result: Duration,
    /// How late its load report is.
    pub load_lag: Duration,
    /// How late its cache events are.
    pub event_lag: Duration,
    /// Probability that a cache event is never published.
    pub event_gap: f64,
    /// Blocks that its prefix cache holds.
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
    /// The time to compute `tokens` in a prefill.
    pub(super) fn prefill_time(&self, tokens: usize) -> Duration {
        let computing = Duration::from_secs_f64(tokens as f64 / self.prefill_rate);
        (self.prefill_fixed + computing).div_f64(self.speed)
    }

    /// The time between tokens with `running` requests in the batch.
    pub(super) fn token_time(&self, running: usize) -> Duration {
        let batch = self.decode_each * running as u32;
        (self.decode_base + batch).div_f64(self.speed)
    }

    /// The time that the KV cache of `tokens` takes on an idle link.
    pub(super) fn transfer_time(&self, tokens: usize) -> Duration {
        let bytes = tokens as f64 * self.kv_bytes;
        Duration::from_secs_f64(bytes / (self.link_rate * self.speed))
    }
}
