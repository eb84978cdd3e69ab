//! Handles requests at the replicas.

use std::time::Duration;

use route::phase::Phase;

use crate::engine::Attempt;
use crate::engine::Engine;
use crate::engine::MAX_QUEUE;
use crate::engine::RESULT_RETENTION;
use crate::rival::Mode;
use crate::simulation::Event;
use crate::simulation::Simulation;

/// Time until a cache event becomes visible.
const EVENT_DELAY: Duration = Duration::from_millis(500);

impl Simulation {
    pub(super) fn prefill_order(&mut self, attempt: Attempt) {
        let Some((engine, _)) = self.attempts[attempt]
            .prefill
            .filter(|_| !self.attempts[attempt].ended)
        else {
            return;
        };
        let this = &mut self.engines[engine];
        if !this.up || this.queue.len() >= MAX_QUEUE {
            self.schedule_after(
                self.replica_delay(attempt, engine),
                Event::Failed(attempt, engine),
            );
            return;
        }
        this.queue.push_back(attempt);
        self.attempts[attempt].prefill = Some((engine, this.boot));
        self.start_prefill(engine);
    }

    fn start_prefill(&mut self, engine: usize) {
        if self.engines[engine].running.is_some() {
            return;
        }
        let Some(attempt) = self.engines[engine].queue.pop_front() else {
            return;
        };
        let request = self.attempts[attempt].request;
        let prompt = self.requests[request].prompt + self.progress[request].tokens;
        let fresh = self.setup.rival.mode == Mode::Oracle;
        let visible = if fresh {
            self.now
        } else {
            self.now + EVENT_DELAY
        };
        let this = &mut self.engines[engine];
        let cached = this
            .read_cache(visible, &self.requests[request].blocks)
            .min(prompt - 1);
        let computed = prompt - cached;
        this.running = Some((attempt, computed, cached, self.now));
        let boot = this.boot;
        let time = Engine::prefill_time(computed);
        self.schedule_after(time, Event::PrefillEnd(engine, boot, attempt));
    }

    pub(super) fn prefill_end(&mut self, engine: usize, boot: u64, attempt: Attempt) {
        let this = &mut self.engines[engine];
        let Some((_, computed, cached, _)) = this
            .running
            .filter(|running| this.boot == boot && running.0 == attempt)
        else {
            return;
        };
        this.running = None;
        if self.is_measured(self.attempts[attempt].request) {
            self.stats.computed += u64::from(computed);
            self.stats.cached += u64::from(cached);
            self.stats.prefills += 1;
        }
        self.attempts[attempt].computed = computed;
        self.attempts[attempt].cached = cached;
        self.attempts[attempt].kept_until = self.now + RESULT_RETENTION;
        if self.attempts[attempt].ended {
            self.count_waste(attempt);
        }
        self.schedule_after(
            self.replica_delay(attempt, engine),
            Event::PrefillAnswer(attempt),
        );
        self.start_prefill(engine);
    }

    pub(super) fn decode_order(&mut self, attempt: Attempt) {
        let this = &self.attempts[attempt];
        let (Some((prefill, boot)), Some(engine), false) = (this.prefill, this.decode, this.ended)
        else {
            return;
        };
        let gone = self.now >= this.kept_until || self.engines[prefill].boot != boot;
        let target = &self.engines[engine];
        if gone || !target.up || target.held.len() >= target.slots {
            self.schedule_after(
                self.replica_delay(attempt, engine),
                Event::DecodeRefused(attempt, gone),
            );
            return;
        }
        let (zones, boot) = ((self.engines[prefill].zone, target.zone), target.boot);
        self.engines[engine].held.push(attempt);
        self.count_decode(attempt);
        let request = self.attempts[attempt].request;
        let tokens = self.requests[request].prompt + self.progress[request].tokens;
        let end = self.network.transfer(self.now, prefill, zones, tokens);
        self.schedule_at(
            end.min(self.attempts[attempt].kept_until),
            Event::Imported(engine, boot, attempt),
        );
    }

    /// Handles the end of a transfer, or the loss of the result at the source before that.
    pub(super) fn imported(&mut self, engine: usize, boot: u64, attempt: Attempt) {
        let held = self.engines[engine].held.contains(&attempt);
        if self.engines[engine].boot != boot || !held || self.attempts[attempt].ended {
            return;
        }
        let delay = self.replica_delay(attempt, engine);
        if self.now >= self.attempts[attempt].kept_until {
            self.engines[engine].remove_attempt(attempt);
            self.uncount_decode(attempt);
            self.schedule_after(delay, Event::DecodeRefused(attempt, true));
            return;
        }
        let request = self.attempts[attempt].request;
        let left = self.requests[request].output - self.progress[request].tokens;
        self.attempts[attempt].computed = 0;
        self.engines[engine].batch.push((attempt, left));
        self.attempts[attempt].phase = Some(Phase::Decoding);
        self.start_step(engine);
        self.schedule_after(
            delay + self.scheduler_delay(attempt),
            Event::Advance(attempt, Phase::Decoding),
        );
    }

    fn start_step(&mut self, engine: usize) {
        let this = &mut self.engines[engine];
        if this.stepping || this.batch.is_empty() {
            return;
        }
        this.stepping = true;
        let (time, boot) = (this.step_time(), this.boot);
        self.schedule_after(time, Event::Step(engine, boot));
    }

    pub(super) fn decode_step(&mut self, engine: usize, boot: u64) {
        if self.engines[engine].boot != boot {
            return;
        }
        self.engines[engine].stepping = false;
        let mut batch = std::mem::take(&mut self.engines[engine].batch);
        for (attempt, left) in &mut batch {
            *left -= 1;
            let time = self.now + self.replica_delay(*attempt, engine);
            self.count_token(self.attempts[*attempt].request, time);
        }
        let (done, rest): (Vec<_>, Vec<_>) = batch.into_iter().partition(|(_, left)| *left == 0);
        self.engines[engine].batch = rest;
        for (attempt, _) in done {
            self.engines[engine].remove_attempt(attempt);
            self.uncount_decode(attempt);
            self.attempts[attempt].ended = true;
            let request = self.attempts[attempt].request;
            self.complete(request);
            let phase = Phase::Finished {
                tokens: self.progress[request].tokens,
            };
            let delay = self.replica_delay(attempt, engine) + self.scheduler_delay(attempt);
            self.schedule_after(delay, Event::Advance(attempt, phase));
        }
        self.start_step(engine);
    }

    pub(super) fn plain_order(&mut self, attempt: Attempt) {
        let Some(engine) = self.attempts[attempt].decode else {
            return;
        };
        if !self.engines[engine].up {
            self.schedule_after(
                self.replica_delay(attempt, engine),
                Event::Failed(attempt, engine),
            );
            return;
        }
        self.engines[engine].queue.push_back(attempt);
        self.start_plain(engine);
    }

    fn start_plain(&mut self, engine: usize) {
        while self.engines[engine].held.len() < self.engines[engine].slots {
            let Some(attempt) = self.engines[engine].queue.pop_front() else {
                return;
            };
            self.engines[engine].held.push(attempt);
            let time = self.requests[self.attempts[attempt].request].service;
            let boot = self.engines[engine].boot;
            self.schedule_after(time, Event::PlainEnd(engine, boot, attempt));
        }
    }

    pub(super) fn plain_end(&mut self, engine: usize, boot: u64, attempt: Attempt) {
        if self.engines[engine].boot != boot || !self.engines[engine].remove_attempt(attempt) {
            return;
        }
        if !self.attempts[attempt].ended {
            self.attempts[attempt].ended = true;
            let delay = self.replica_delay(attempt, engine);
            self.complete_plain(self.attempts[attempt].request, self.now + delay);
            let phase = Phase::Finished { tokens: 0 };
            self.schedule_after(
                delay + self.scheduler_delay(attempt),
                Event::Advance(attempt, phase),
            );
        }
        self.start_plain(engine);
    }

    /// Releases everything that an attempt holds on replicas.
    pub(super) fn release(&mut self, attempt: Attempt) {
        let this = &self.attempts[attempt];
        let places = [this.prefill.map(|(engine, _)| engine), this.decode];
        for engine in places.into_iter().flatten() {
            let was_held = self.engines[engine].held.contains(&attempt);
            self.engines[engine].remove_attempt(attempt);
            if was_held {
                self.uncount_decode(attempt);
            }
            self.stop_prefill(engine, attempt);
        }
    }

    fn stop_prefill(&mut self, engine: usize, attempt: Attempt) {
        match self.engines[engine].running {
            Some((running, _, _, started)) if running == attempt => {
                self.engines[engine].running = None;
                self.count_stopped_prefill(attempt, started);
                self.start_prefill(engine);
            }
            _ => (),
        }
    }
}
