//! Models a decode replica: a batch whose memory use grows, and runs that it preempts.

use crate::decode::setup::Engine;

/// A run at this replica.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Index of its request.
    pub request: usize,
    /// Prompt tokens.
    pub prompt: f64,
    /// Tokens generated so far.
    pub generated: f64,
    /// Tokens to generate in total.
    pub total: f64,
    /// Time left of its prefill after a preemption, in milliseconds.
    prefill_left_ms: f64,
    /// When it started here.
    started: f64,
}

/// What happened to a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ReplicaEvent {
    /// It generated at least one event, or its last tokens.
    Generated {
        /// Index of its request.
        request: usize,
        /// Events so far.
        events: u64,
        /// Whether all tokens are generated.
        complete: bool,
    },
    /// It was preempted for lack of memory while it held so many tokens.
    Preempted(f64),
}

/// A decode replica.
#[derive(Debug, Clone)]
pub struct Replica {
    engine: Engine,
    running: Vec<Run>,
    /// Preempted runs, which hold no memory, in the order of preemption.
    preempted: Vec<Run>,
    /// Tokens reserved for runs that have not started here yet.
    reserved: f64,
}

impl Run {
    /// A run of `request` whose prefill ran elsewhere.
    pub const fn new(request: usize, prompt: f64, total: f64) -> Self {
        Self {
            request,
            prompt,
            generated: 0.0,
            total,
            prefill_left_ms: 0.0,
            started: 0.0,
        }
    }

    const fn held_tokens(&self) -> f64 {
        self.prompt + self.generated
    }
}

impl Replica {
    /// An idle replica.
    pub const fn new(engine: Engine) -> Self {
        Self {
            engine,
            running: Vec::new(),
            preempted: Vec::new(),
            reserved: 0.0,
        }
    }

    /// Tokens held or reserved.
    pub fn used_tokens(&self) -> f64 {
        self.running.iter().map(Run::held_tokens).sum::<f64>() + self.reserved
    }

    /// Reserves `tokens` if they fit and no preempted run waits for memory.
    pub fn reserve(&mut self, tokens: f64) -> bool {
        let fits =
            self.preempted.is_empty() && self.used_tokens() + tokens <= self.engine.memory as f64;
        if fits {
            self.reserved += tokens;
        }
        fits
    }

    /// Starts `run`, for which `tokens` were reserved.
    pub fn begin(&mut self, now: f64, run: Run, tokens: f64) {
        self.reserved -= tokens;
        self.running.push(Run {
            started: now,
            ..run
        });
    }

    /// Removes a run that continues elsewhere; `None` if it is not in the batch.
    pub fn stop(&mut self, request: usize) -> Option<Run> {
        let at = self.running.iter().position(|w| w.request == request)?;
        Some(self.running.swap_remove(at))
    }

    /// Runs at this replica, preempted ones included.
    pub const fn count(&self) -> usize {
        self.running.len() + self.preempted.len()
    }

    /// Simulates the last `ms` milliseconds before `now`.
    pub fn advance(&mut self, now: f64, ms: f64, out: &mut Vec<ReplicaEvent>) {
        self.resume_preempted();
        let batch = self.running.len() as f64;
        let step = self.engine.step_ms + self.engine.step_slot_ms * batch;
        // A prefill stops the decode steps of the whole batch.
        if let Some(prefilling) = self
            .running
            .iter_mut()
            .find(|run| run.prefill_left_ms > 0.0)
        {
            prefilling.prefill_left_ms -= ms;
            return;
        }
        let event_tokens = self.engine.event_tokens as f64;
        for run in &mut self.running {
            let before = (run.generated / event_tokens) as u64;
            run.generated = (run.generated + ms / step).min(run.total);
            let events = (run.generated / event_tokens) as u64;
            let complete = run.generated >= run.total;
            if complete || events > before {
                out.push(ReplicaEvent::Generated {
                    request: run.request,
                    events,
                    complete,
                });
            }
        }
        self.running.retain(|run| run.generated < run.total);
        self.preempt(now, out);
    }

    /// Preempts the newest runs until the others fit in memory.
    fn preempt(&mut self, _now: f64, out: &mut Vec<ReplicaEvent>) {
        while self.used_tokens() > self.engine.memory as f64 && !self.running.is_empty() {
            let newest = (0..self.running.len()).max_by(|a, b| {
                self.running[*a]
                    .started
                    .total_cmp(&self.running[*b].started)
            });
            let Some(newest) = newest else { return };
            let run = self.running.swap_remove(newest);
            out.push(ReplicaEvent::Preempted(run.held_tokens()));
            self.preempted.push(run);
        }
    }

    /// Resumes the run that was preempted first, with a prefill, once there is memory.
    fn resume_preempted(&mut self) {
        let room = self.engine.memory as f64 - self.used_tokens();
        if self
            .preempted
            .first()
            .is_some_and(|run| run.held_tokens() <= room)
        {
            let mut run = self.preempted.remove(0);
            run.prefill_left_ms = run.held_tokens() / (self.engine.prefill_tokens_ms / 2.0);
            self.running.push(run);
        }
    }
}
