//! The owner's side of a request.

use std::time::Duration;

use ident::Replica;
use ident::Time;
use route::phase::Phase;
use route::ticket::MAX_AVOID;
use route::verdict::Choice;
use route::verdict::Verdict;

use crate::engine::Attempt;
use crate::world::Event;
use crate::world::OWNERS;
use crate::world::Try;
use crate::world::World;
use crate::world::outcome::Outcome;

/// Attempts at one request.
const MAX_ATTEMPTS: u8 = 3;
/// Pause before a decode replica is asked for again.
const BACKOFF: Duration = Duration::from_millis(20);

impl World {
    pub(super) fn arrive(&mut self, request: usize) {
        let mut owner = request * 7 % OWNERS;
        if self.is_dead(owner) {
            owner += 1;
        }
        self.open_try(request, owner, 0, Vec::new());
    }

    fn open_try(&mut self, request: usize, owner: usize, number: u8, avoid: Vec<Replica>) {
        let attempt = self.tries.len();
        self.tries.push(Try {
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
            over: false,
        });
        self.progress[request].attempt = Some(attempt);
        self.send_submit(attempt);
    }

    pub(super) fn verdict(&mut self, attempt: Attempt, verdict: Verdict) {
        if self.tries[attempt].over {
            return;
        }
        let class = self.class_of(attempt);
        let first = !self.tries[attempt].placed;
        match verdict.choice {
            Choice::Paired { prefill, decode } if first => {
                let prefill = self.indexes[&prefill];
                self.check_refusals(class, true);
                self.tries[attempt].placed = true;
                self.tries[attempt].prefill = Some((prefill, self.engines[prefill].boot));
                self.tries[attempt].decode = Some(self.indexes[&decode]);
                self.after(self.reach(attempt, prefill), Event::PrefillOrder(attempt));
            }
            Choice::Paired { decode, .. } => {
                self.tries[attempt].decode = Some(self.indexes[&decode]);
                self.order_decode(attempt);
            }
            Choice::Single { replica } => {
                let engine = self.indexes[&replica];
                self.check_refusals(class, true);
                self.tries[attempt].placed = true;
                self.tries[attempt].decode = Some(engine);
                self.after(self.reach(attempt, engine), Event::PlainOrder(attempt));
            }
            Choice::Refused { retry_after, .. } => {
                self.check_refusals(class, false);
                self.checks.push((class, self.now + retry_after));
                self.refused(attempt);
            }
        }
    }

    fn refused(&mut self, attempt: Attempt) {
        let this = &mut self.tries[attempt];
        this.over = true;
        let outcome = if this.number == 0 {
            Outcome::Refused
        } else {
            Outcome::Failed
        };
        let request = this.request;
        self.settle(request, outcome);
    }

    pub(super) fn prefill_answer(&mut self, attempt: Attempt) {
        let this = &self.tries[attempt];
        if this.over {
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
        if let Some(engine) = self.tries[attempt].decode {
            self.after(self.reach(attempt, engine), Event::DecodeOrder(attempt));
        }
    }

    /// A decode replica would not take the request; `gone` if the prefill result is lost.
    pub(super) fn decode_refused(&mut self, attempt: Attempt, gone: bool) {
        if self.tries[attempt].over {
            return;
        }
        if gone {
            self.failed(attempt, None);
            return;
        }
        let this = &mut self.tries[attempt];
        this.decode = None;
        this.rejections += 1;
        let pause = if this.rejections > 1 {
            BACKOFF
        } else {
            Duration::ZERO
        };
        this.phase = Some(Phase::Rejected);
        self.after(
            pause + self.way(attempt),
            Event::Advance(attempt, Phase::Rejected),
        );
    }

    /// An attempt failed on `engine`: it is repeated elsewhere if that is worth while.
    pub(super) fn failed(&mut self, attempt: Attempt, engine: Option<usize>) {
        if self.tries[attempt].over {
            return;
        }
        self.abandon(attempt);
        self.release(attempt);
        self.send_phase(attempt, Phase::Gone);
        let this = &self.tries[attempt];
        let (request, owner, number) = (this.request, this.owner, this.number + 1);
        let mut avoid = this.avoid.clone();
        avoid.extend(engine.map(|engine| self.names[engine]));
        avoid.truncate(MAX_AVOID);
        let rule = self.setup.workload.classes[self.requests[request].class].rule;
        let late = self.now > self.requests[request].at + rule.max_wait;
        if number >= MAX_ATTEMPTS || (late && self.progress[request].first.is_none()) {
            self.settle(request, Outcome::Failed);
            return;
        }
        self.open_try(request, owner, number, avoid);
    }

    /// Ends an attempt without an answer.
    pub(super) fn abandon(&mut self, attempt: Attempt) {
        self.tries[attempt].over = true;
        self.count_waste(attempt);
    }

    pub(super) fn cancel(&mut self, request: usize) {
        if self.progress[request].outcome != Outcome::Pending {
            return;
        }
        self.settle(request, Outcome::Cancelled);
        let Some(attempt) = self.progress[request]
            .attempt
            .filter(|a| !self.tries[*a].over)
        else {
            return;
        };
        self.abandon(attempt);
        self.after(self.setup.workload.delay, Event::Release(attempt));
        self.send_phase(attempt, Phase::Gone);
    }
}
