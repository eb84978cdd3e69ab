//! Setups to measure: replicas, callers and policy.

use std::time::Duration;

/// How replicas are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// By `relay::score`, like the gateway.
    Score,
    /// At random.
    Chance,
}

/// Replicas, callers and policy of one run.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// Daemons that take requests.
    pub daemons: usize,
    /// Prefill replicas.
    pub prefill: usize,
    /// Decode replicas.
    pub decode: usize,
    /// Memory of a replica in tokens.
    pub memory: u64,
    /// Generations per second outside of bursts.
    pub rate: f64,
    /// Factor on the rate in a burst, which lasts 5 s of every 11 s.
    pub burst: f64,
    /// Time during which requests arrive.
    pub length: Duration,
    /// How replicas are chosen.
    pub choice: Choice,
    /// Factor on the times of the first prefill and the first decode replica.
    pub slowness: f64,
    /// Fraction of the replicas of each stage with another software version than the rest.
    pub released: f64,
}

impl Setup {
    /// 140 replicas, `prefill` of them for prefill, with `daemons` daemons.
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
            released: 0.0,
        }
    }

    /// 60 replicas, `prefill` of them for prefill, with `daemons` daemons.
    pub const fn qureshi(daemons: usize, prefill: usize) -> Self {
        Self {
            decode: 60 - prefill,
            rate: 63.3,
            ..Self::krmiva(daemons, prefill)
        }
    }

    /// Replaces the choice of replicas.
    #[must_use]
    pub const fn with_choice(self, choice: Choice) -> Self {
        Self { choice, ..self }
    }

    /// Gives a fraction of the replicas of each stage another software version.
    #[must_use]
    pub const fn with_released(self, released: f64) -> Self {
        Self { released, ..self }
    }

    /// Makes one replica of each stage slow.
    #[must_use]
    pub const fn with_slowness(self, slowness: f64) -> Self {
        Self { slowness, ..self }
    }
}
