//! An engine: reads prompts one after the other, makes tokens in a batch, and reserves memory.

/// Time of a decode step with an empty batch, in milliseconds.
const STEP_MS: f64 = 6.55;
/// Time that each request in the batch adds to a step.
const STEP_SLOT_MS: f64 = 0.165;
/// Prompt tokens that are read in a millisecond.
const PREFILL_TOKENS_MS: f64 = 55.556;
/// Time before the first token of a prompt that is read.
const FIRST_TOKEN_MS: f64 = 120.0;
/// Requests in a batch at most.
const MAX_BATCH: u32 = 64;

/// One engine.
#[derive(Debug, Clone)]
pub struct Engine {
    memory: u64,
    used: u64,
    batch: u32,
    waiting: u32,
    free_at: f64,
    slowness: f64,
}

impl Engine {
    /// An idle engine with room for `memory` tokens whose steps take `slowness` times the usual.
    pub const fn new(memory: u64, slowness: f64) -> Self {
        Self {
            memory,
            used: 0,
            batch: 0,
            waiting: 0,
            free_at: 0.0,
            slowness,
        }
    }

    /// Takes a prompt of `tokens` at `now`; gives when it is read.
    pub fn enqueue_prefill(&mut self, now: f64, tokens: u64) -> f64 {
        let work = tokens as f64 / PREFILL_TOKENS_MS * self.slowness;
        self.free_at = self.free_at.max(now) + work;
        self.waiting += 1;
        self.free_at + FIRST_TOKEN_MS
    }

    /// Notes that a prompt was read.
    pub const fn end_prefill(&mut self) {
        self.waiting -= 1;
    }

    /// Sets a place with room for `tokens` aside, if there is one.
    pub const fn reserve(&mut self, tokens: u64) -> bool {
        let fits = self.used + tokens <= self.memory && self.batch < MAX_BATCH;
        if fits {
            self.used += tokens;
            self.batch += 1;
        }
        fits
    }

    /// Gives the place back.
    pub const fn release(&mut self, tokens: u64) {
        self.used -= tokens;
        self.batch -= 1;
    }

    /// Time of a step with the present batch, in milliseconds.
    pub fn step(&self) -> f64 {
        (STEP_MS + STEP_SLOT_MS * f64::from(self.batch)) * self.slowness
    }

    /// Requests at work here.
    pub const fn running(&self) -> u32 {
        self.batch + self.waiting
    }
}
