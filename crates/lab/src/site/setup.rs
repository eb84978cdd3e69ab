//! What is measured.

use std::time::Duration;

/// How replicas are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// As the gateway does, by `relay::score`.
    Score,
    /// By chance.
    Chance,
}

/// One fleet, its callers and its policy.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// Daemons that take requests.
    pub daemons: usize,
    /// Replicas that read prompts.
    pub prefill: usize,
    /// Replicas that make tokens.
    pub decode: usize,
    /// Tokens that a replica holds.
    pub memory: u64,
    /// Generations a second outside of bursts.
    pub rate: f64,
    /// Times as many in a burst; 5 s of every 11 s.
    pub burst: f64,
    /// How long requests arrive.
    pub length: Duration,
    /// How replicas are chosen.
    pub choice: Choice,
    /// Time a step of the first prefill and decode replica takes against the others.
    pub slowness: f64,
}

impl Setup {
    /// The fleet of 140 replicas with `daemons` daemons and `prefill` replicas that read prompts.
    pub const fn krmiva(daemons: usize, prefill: usize) -> Self {
        Self {
            daemons,
            prefill,
            decode: 140 - prefill,
            memory: 36_990,
            rate: 147.7,
            burst: 1.8,
            length: Duration::from_secs(66),
            choice: Choice::Score,
            slowness: 1.0,
        }
    }

    /// The fleet of 60 replicas.
    pub const fn qureshi(daemons: usize, prefill: usize) -> Self {
        Self {
            decode: 60 - prefill,
            rate: 63.3,
            ..Self::krmiva(daemons, prefill)
        }
    }

    /// The same with replicas chosen otherwise.
    #[must_use]
    pub const fn with_choice(self, choice: Choice) -> Self {
        Self { choice, ..self }
    }

    /// The same with one slow replica of each stage.
    #[must_use]
    pub const fn with_slowness(self, slowness: f64) -> Self {
        Self { slowness, ..self }
    }
}
