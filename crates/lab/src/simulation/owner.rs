//! Handles requests at the daemon that owns them.

use std::time::Duration;

use ident::Replica;
use ident::Time;
use route::phase::Phase;
use route::ticket::MAX_AVOID;
use route::verdict::Choice;
use route::verdict::Verdict;

use crate::engine::Attempt;
use crate::simulation::AttemptState;
use crate::simulation::Event;
use crate::simulation::OWNERS;
use crate::simulation::Simulation;
use crate::simulation::outcome::Outcome;

/// Most attempts at one request.
const MAX_ATTEMPTS: u8 = 3;
/// Pause before the second and later requests for another decode replica.
const BACKOFF: Duration = Duration::from_millis(20);

impl Simulation {
    pub(super) fn arrive(&mut self, request: usize) {
        let mut owner = request * 7 % OWNERS;
        if self.is_dead(owner) {
            owner += 1;
        }
        self.start_attempt(request, owner, 0, Vec::new());
    }

    fn start_attempt(&mut self, request: usize, owner: usize, number: u8, avoid: Vec<Replica>) {
        let attempt = self.attempts.len();
        self.attempts.push(AttemptState {
            request,
            owner,
            number,
            avoid,
            prefill: None,
            decode: None,
            computed: 0,
            cached: 0,
            kept_until: Time::ZERO,
            phase: None,
            rejections: 0,
            placed: false,
            ended: false,
        });
        self.progress[request].attempt = Some(attempt);
        self.send_submit(attempt);
    }

    pub(super) fn verdict(&mut self, attempt: Attempt, verdict: Verdict) {
        if self.attempts[attempt].ended {
            return;
        }
        let class = self.class_of(attempt);
        let first = !self.attempts[attempt].placed;
        match verdict.choice {
            Choice::Paired { prefill, decode } if first => {
                let prefill = self.indexes[&prefill];
                self.check_refusals(class, true);
                self.attempts[attempt].placed = true;
                self.attempts[attempt].prefill = Some((prefill, self.engines[prefill].boot));
                self.attempts[attempt].decode = Some(self.indexes[&decode]);
                self.schedule_after(
                    self.replica_delay(attempt, prefill),
                    Event::PrefillOrder(attempt),
                );
            }
            Choice::Paired { decode, .. } => {
                self.attempts[attempt].decode = Some(self.indexes[&decode]);
                self.order_decode(attempt);
            }
            Choice::Single { replica } => {
                let engine = self.indexes[&replica];
                self.check_refusals(class, true);
                self.attempts[attempt].placed = true;
                self.attempts[attempt].decode = Some(engine);
                self.schedule_after(
                    self.replica_delay(attempt, engine),
                    Event::PlainOrder(attempt),
                );
            }
            Choice::Refused { retry_after, .. } => {
                self.check_refusals(class, false);
                self.retry_checks.push((class, self.now + retry_after));
                self.handle_refusal(attempt);
            }
        }
    }

    fn handle_refusal(&mut self, attempt: Attempt) {
        let this = &mut self.attempts[attempt];
        this.ended = true;
        let outcome = if this.number == 0 {
            Outcome::Refused
        } else {
            Outcome::Failed
        };
        let request = this.request;
        self.set_outcome(request, outcome);
    }

    pub(super) fn handle_prefill_answer(&mut self, attempt: Attempt) {
        let this = &self.attempts[attempt];
        if this.ended {
            return;
        }
        let phase = Phase::Prefilled {
            computed: this.computed,
            cached: this.cached,
        };
        self.send_phase(attempt, phase);
        self.order_decode(attempt);
    }

    fn order_decode(&mut self, attempt: Attempt) {
        if let Some(engine) = self.attempts[attempt].decode {
            self.schedule_after(
                self.replica_delay(attempt, engine),
                Event::DecodeOrder(attempt),
            );
        }
    }

    /// Handles the rejection of a request by its decode replica; `gone` if the prefill result is lost.
    pub(super) fn decode_refused(&mut self, attempt: Attempt, gone: bool) {
        if self.attempts[attempt].ended {
            return;
        }
        if gone {
            self.failed(attempt, None);
            return;
        }
        let this = &mut self.attempts[attempt];
        this.decode = None;
        this.rejections += 1;
        let pause = if this.rejections > 1 {
            BACKOFF
        } else {
            Duration::ZERO
        };
        this.phase = Some(Phase::Rejected);
        self.schedule_after(
            pause + self.scheduler_delay(attempt),
            Event::Advance(attempt, Phase::Rejected),
        );
    }

    /// Handles the failure of an attempt on `engine`: starts another one while attempts are left and the
    /// request is not too late for its first token.
    pub(super) fn failed(&mut self, attempt: Attempt, engine: Option<usize>) {
        if self.attempts[attempt].ended {
            return;
        }
        self.abandon(attempt);
        self.release(attempt);
        self.send_phase(attempt, Phase::Gone);
        let this = &self.attempts[attempt];
        let (request, owner, number) = (this.request, this.owner, this.number + 1);
        let mut avoid = this.avoid.clone();
        avoid.extend(engine.map(|engine| self.names[engine]));
        avoid.truncate(MAX_AVOID);
        let rule = self.setup.workload.classes[self.requests[request].class].rule;
        let late = self.now > self.requests[request].at + rule.max_wait;
        if number >= MAX_ATTEMPTS || (late && self.progress[request].first.is_none()) {
            self.set_outcome(request, Outcome::Failed);
            return;
        }
        self.start_attempt(request, owner, number, avoid);
    }

    /// Ends an attempt without a result.
    pub(super) fn abandon(&mut self, attempt: Attempt) {
        self.attempts[attempt].ended = true;
        self.count_waste(attempt);
    }

    pub(super) fn cancel(&mut self, request: usize) {
        if self.progress[request].outcome != Outcome::Pending {
            return;
        }
        self.set_outcome(request, Outcome::Cancelled);
        let Some(attempt) = self.progress[request]
            .attempt
            .filter(|a| !self.attempts[*a].ended)
        else {
            return;
        };
        self.abandon(attempt);
        self.schedule_after(self.setup.workload.delay, Event::Release(attempt));
        self.send_phase(attempt, Phase::Gone);
    }
}
