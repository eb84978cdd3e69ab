//! Setups to measure: replicas, callers, load and policy.

/// Memory and speed of the decode replicas of one model.
#[derive(Debug, Clone, Copy)]
pub struct Engine {
    /// Memory of a replica in tokens.
    pub memory: u64,
    /// Fixed time of a decode step, in milliseconds.
    pub step_ms: f64,
    /// Time that each request of the batch adds to a decode step, in milliseconds.
    pub step_slot_ms: f64,
    /// Tokens that a prefill replica prefills per millisecond; a decode replica prefills half as many.
    pub prefill_tokens_ms: f64,
    /// Tokens in one event.
    pub event_tokens: u64,
}

/// Log-normal distribution of a size, with an upper bound.
#[derive(Debug, Clone, Copy)]
pub struct Distribution {
    /// Mean.
    pub mean: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Upper bound.
    pub max: f64,
}

/// A time span with more or longer generations.
#[derive(Debug, Clone, Copy)]
pub struct Burst {
    /// Start in milliseconds.
    pub from: f64,
    /// End in milliseconds.
    pub to: f64,
    /// Factor on the rate of requests.
    pub rate: f64,
    /// Factor on the length of answers, which the callers' estimates do not include.
    pub length: f64,
}

/// A load pattern.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Name in the table.
    pub name: &'static str,
    /// Bursts; the factors of overlapping ones multiply.
    pub bursts: &'static [Burst],
}

/// How generations are placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Policy {
    /// Prompt and estimated answer are reserved.
    Reserve,
    /// The forecast peak of the memory has to fit with so many standard deviations.
    Forecast {
        /// Standard deviations.
        spreads: f64,
        /// Whether runs are migrated before the memory of their replica is full.
        moves: bool,
    },
}

/// Setup of one run.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// Daemons that take requests.
    pub daemons: usize,
    /// Decode replicas.
    pub replicas: usize,
    /// Memory and speed of each replica.
    pub engine: Engine,
    /// Generations per second outside of bursts.
    pub rate: f64,
    /// Prompt tokens.
    pub prompt: Distribution,
    /// Generated tokens.
    pub answer: Distribution,
    /// Standard deviation of the logarithm of the callers' estimates around the true lengths.
    pub estimate_sigma: f64,
    /// Objective for the first event, in milliseconds.
    pub objective_ms: f64,
    /// Longest pause between two events of a stream that is on time, in milliseconds.
    pub pause_ms: f64,
    /// Time during which requests arrive, in milliseconds.
    pub length_ms: f64,
    /// Delay of claims between daemons, in milliseconds.
    pub claim_ms: f64,
    /// Load pattern.
    pub load: Load,
    /// How generations are placed.
    pub policy: Policy,
}

/// Two bursts.
pub const CROWD: Load = Load {
    name: "crowd",
    bursts: &[
        Burst {
            from: 6_000.0,
            to: 11_000.0,
            rate: 1.8,
            length: 1.0,
        },
        Burst {
            from: 17_000.0,
            to: 21_000.0,
            rate: 2.1,
            length: 1.0,
        },
    ],
};
/// A burst, and another one that doubles the rate once more from 0.5 s on.
pub const RUSH: Load = Load {
    name: "rush",
    bursts: &[
        Burst {
            from: 17_000.0,
            to: 21_000.0,
            rate: 2.0,
            length: 1.0,
        },
        Burst {
            from: 17_500.0,
            to: 22_500.0,
            rate: 2.0,
            length: 1.0,
        },
    ],
};
/// A burst whose answers are longer than callers estimate.
pub const LONG: Load = Load {
    name: "long answers",
    bursts: &[Burst {
        from: 10_000.0,
        to: 20_000.0,
        rate: 1.4,
        length: 1.5,
    }],
};
/// All load patterns.
pub const LOADS: [Load; 3] = [CROWD, RUSH, LONG];

impl Setup {
    /// Six replicas with large memory, where the answer nearly doubles the memory of a run; eight daemons.
    pub const fn doubling(load: Load, policy: Policy) -> Self {
        Self {
            daemons: 8,
            replicas: 6,
            engine: Engine {
                memory: 102_942,
                step_ms: 0.579,
                step_slot_ms: 0.0191,
                prefill_tokens_ms: 55.556,
                event_tokens: 64,
            },
            rate: 10.2,
            prompt: Distribution {
                mean: 5_200.0,
                sigma: 0.5,
                max: 11_000.0,
            },
            answer: Distribution {
                mean: 4_416.0,
                sigma: 0.5,
                max: 8_320.0,
            },
            estimate_sigma: 0.5,
            objective_ms: 900.0,
            pause_ms: 300.0,
            length_ms: 30_000.0,
            claim_ms: 2.0,
            load,
            policy,
        }
    }

    /// Six replicas where the answer adds little to the memory of a run.
    pub const fn steady(load: Load, policy: Policy) -> Self {
        let doubling = Self::doubling(load, policy);
        Self {
            engine: Engine {
                memory: 64_655,
                step_ms: 6.55,
                step_slot_ms: 0.165,
                event_tokens: 6,
                ..doubling.engine
            },
            answer: Distribution {
                mean: 420.0,
                sigma: 0.5,
                max: 1_020.0,
            },
            ..doubling
        }
    }

    /// Requests per second at `now`, and the factor on the length of answers.
    pub fn at(&self, now: f64) -> (f64, f64) {
        let bursts = self.load.bursts.iter();
        let present = bursts.filter(|burst| (burst.from..burst.to).contains(&now));
        present.fold((self.rate, 1.0), |(rate, length), burst| {
            (rate * burst.rate, length * burst.length)
        })
    }
}
