//! What is measured: replicas, callers, load and policy.

/// Decode replicas of one model, as their operator describes them.
#[derive(Debug, Clone, Copy)]
pub struct Engine {
    /// Tokens that a replica holds.
    pub memory: u64,
    /// Time of a step with an empty batch, in milliseconds.
    pub step_ms: f64,
    /// Time that each request of the batch adds to a step, in milliseconds.
    pub step_slot_ms: f64,
    /// Prompt tokens that a prefill replica reads in a millisecond; a decode replica reads half as many.
    pub prefill_tokens_ms: f64,
    /// Tokens in one event.
    pub event_tokens: u64,
}

/// A size that is drawn: mean, sigma of its logarithm, and the most that it may be.
#[derive(Debug, Clone, Copy)]
pub struct Distribution {
    /// Mean.
    pub mean: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// The most.
    pub max: f64,
}

/// More or other requests for a while.
#[derive(Debug, Clone, Copy)]
pub struct Burst {
    /// When it begins and ends, in milliseconds.
    pub from: f64,
    /// When it ends.
    pub to: f64,
    /// Times as many requests.
    pub rate: f64,
    /// Times as many tokens an answer, which the estimates do not tell.
    pub length: f64,
}

/// A load pattern.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Its name.
    pub name: &'static str,
    /// Bursts; they may overlap.
    pub bursts: &'static [Burst],
}

/// How generations are placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Policy {
    /// Prompt and estimate are reserved.
    Reserve,
    /// The peak of the forecast has to fit with so many standard deviations.
    Forecast {
        /// Standard deviations.
        spreads: f64,
        /// Whether runs are moved before the memory of their replica ends.
        moves: bool,
    },
}

/// One experiment.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// Daemons that take requests.
    pub daemons: usize,
    /// Decode replicas.
    pub replicas: usize,
    /// The replicas' figures.
    pub engine: Engine,
    /// Generations a second outside of bursts.
    pub rate: f64,
    /// Tokens of a prompt.
    pub prompt: Distribution,
    /// Tokens of an answer.
    pub answer: Distribution,
    /// Distribution of the logarithm of the callers' estimates round the true lengths.
    pub estimate_sigma: f64,
    /// Time for the first event, in milliseconds.
    pub objective_ms: f64,
    /// Longest pause between two events with which a stream is on time, in milliseconds.
    pub pause_ms: f64,
    /// How long requests arrive, in milliseconds.
    pub length_ms: f64,
    /// Time that a claim takes to the other daemons, in milliseconds.
    pub claim_ms: f64,
    /// When more and other requests come.
    pub load: Load,
    /// How generations are placed.
    pub policy: Policy,
}

/// All come at once, twice.
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
/// A crowd, and in its midst twice as many of the generations.
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
/// Answers become longer than callers estimate while more come.
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
    /// Six replicas of a large memory, whose answers nearly double what a run holds; eight daemons.
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

    /// Six replicas whose answers add little to what a run holds.
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

    /// Requests a second at `now`, and times as many tokens an answer.
    pub fn at(&self, now: f64) -> (f64, f64) {
        let bursts = self.load.bursts.iter();
        let present = bursts.filter(|burst| (burst.from..burst.to).contains(&now));
        present.fold((self.rate, 1.0), |(rate, length), burst| {
            (rate * burst.rate, length * burst.length)
        })
    }
}
