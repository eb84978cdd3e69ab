//! A decode replica: a batch whose memory grows, and runs that it sets preempted.

use crate::decode::setup::Engine;

/// A run at a replica.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Number of its request.
    pub request: usize,
    /// Tokens of its prompt.
    pub prompt: f64,
    /// Tokens generated, and to be generated in all.
    pub generated: f64,
    /// Tokens to be generated in all.
    pub total: f64,
    /// Time for which it is read still, in milliseconds.
    prefill_left_ms: f64,
    /// When it began here.
    started: f64,
}

/// What out to a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ReplicaEvent {
    /// It generated tokens.
    Generated {
        /// Number of its request.
        request: usize,
        /// Events so far.
        events: u64,
        /// Whether it is complete.
        complete: bool,
    },
    /// It was set preempted for want of memory.
    Preempted(f64),
}

/// One replica.
#[derive(Debug, Clone)]
pub struct Replica {
    engine: Engine,
    running: Vec<Run>,
    /// Runs without memory, the oldest first.
    preempted: Vec<Run>,
    /// Memory that is reserved for runs that are not here yet.
    reserved: f64,
}

impl Run {
    /// A run of `request` that was read elsewhere.
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

    /// Tokens in use.
    pub fn used_tokens(&self) -> f64 {
        self.running.iter().map(Run::held_tokens).sum::<f64>() + self.reserved
    }

    /// Reserves `tokens`, if there is room.
    pub fn reserve(&mut self, tokens: f64) -> bool {
        let fits =
            self.preempted.is_empty() && self.used_tokens() + tokens <= self.engine.memory as f64;
        if fits {
            self.reserved += tokens;
        }
        fits
    }

    /// Begins `run`, for which `tokens` were reserved.
    pub fn begin(&mut self, now: f64, run: Run, tokens: f64) {
        self.reserved -= tokens;
        self.running.push(Run {
            started: now,
            ..run
        });
    }

    /// Takes a run away that goes on elsewhere; `None` if it makes no tokens here.
    pub fn stop(&mut self, request: usize) -> Option<Run> {
        let at = self.running.iter().position(|w| w.request == request)?;
        Some(self.running.swap_remove(at))
    }

    /// Requests at run here.
    pub const fn count(&self) -> usize {
        self.running.len() + self.preempted.len()
    }

    /// Lets `ms` advance until `now`.
    pub fn advance(&mut self, now: f64, ms: f64, out: &mut Vec<ReplicaEvent>) {
        self.resume_preempted();
        let batch = self.running.len() as f64;
        let step = self.engine.step_ms + self.engine.step_slot_ms * batch;
        // While a prompt is read, next to no tokens are generated.
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

    /// Sets the newest runs preempted until the memory suffices.
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

    /// Reads a run again that was set preempted, once there is room.
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
