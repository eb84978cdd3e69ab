//! Models an engine that prefills one prompt at a time, decodes in a batch and reserves memory.

/// Fixed time of a decode step, in milliseconds.
const STEP_MS: f64 = 6.55;
/// Time that each request of the batch adds to a decode step, in milliseconds.
const STEP_SLOT_MS: f64 = 0.165;
/// Prompt tokens prefilled per millisecond.
const PREFILL_TOKENS_MS: f64 = 55.556;
/// Latency added to each prefill, in milliseconds; it does not occupy the engine.
const FIRST_TOKEN_MS: f64 = 120.0;
/// Most requests in a batch.
const MAX_BATCH: u32 = 64;

/// An engine with its memory, batch and prefill queue.
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
    /// An idle engine with a memory of `memory` tokens; its steps take `slowness` times as long as usual.
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

    /// Queues the prefill of `tokens` at `now`; returns when it ends.
    pub fn enqueue_prefill(&mut self, now: f64, tokens: u64) -> f64 {
        let work = tokens as f64 / PREFILL_TOKENS_MS * self.slowness;
        self.free_at = self.free_at.max(now) + work;
        self.waiting += 1;
        self.free_at + FIRST_TOKEN_MS
    }

    /// Records the end of a prefill.
    pub const fn end_prefill(&mut self) {
        self.waiting -= 1;
    }

    /// Reserves a place in the batch with `tokens` of memory; false if there is none.
    pub const fn reserve(&mut self, tokens: u64) -> bool {
        let fits = self.used + tokens <= self.memory && self.batch < MAX_BATCH;
        if fits {
            self.used += tokens;
            self.batch += 1;
        }
        fits
    }

    /// Releases a reserved place.
    pub const fn release(&mut self, tokens: u64) {
        self.used -= tokens;
        self.batch -= 1;
    }

    /// Time of a decode step with the current batch, in milliseconds.
    pub fn step(&self) -> f64 {
        (STEP_MS + STEP_SLOT_MS * f64::from(self.batch)) * self.slowness
    }

    /// Requests at this engine, in the batch or in prefill.
    pub const fn running(&self) -> u32 {
        self.batch + self.waiting
    }
}
