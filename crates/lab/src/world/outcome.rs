//! How requests end and what is counted.

use ident::Time;

use crate::engine::Attempt;
use crate::engine::Engine;
use crate::figure::Figure;
use crate::world::WARMUP;
use crate::world::World;

/// How a request ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Outcome {
    #[default]
    Pending,
    Good,
    Complete,
    Refused,
    Failed,
    Cancelled,
}

/// How far a request has come.
#[derive(Debug, Clone, Default)]
pub(super) struct Progress {
    pub(super) tokens: u32,
    pub(super) first: Option<Time>,
    pub(super) last: Time,
    pub(super) outcome: Outcome,
    pub(super) attempt: Option<Attempt>,
}

impl World {
    pub(super) fn is_measured(&self, request: usize) -> bool {
        self.requests[request].at >= WARMUP
    }

    pub(super) fn settle(&mut self, request: usize, outcome: Outcome) {
        if self.progress[request].outcome == Outcome::Pending {
            self.progress[request].outcome = outcome;
        }
    }

    /// Counts one token that reaches the caller at `time`.
    pub(super) fn count_token(&mut self, request: usize, time: Time) {
        let measured = self.is_measured(request);
        let progress = &mut self.progress[request];
        progress.tokens += 1;
        let gap = time.since(progress.last);
        progress.last = time;
        if progress.first.is_some() {
            if measured {
                self.figure.tbt.saturating_record(gap.as_micros() as u64);
            }
            return;
        }
        progress.first = Some(time);
        if measured {
            let ttft = time.since(self.requests[request].at);
            self.figure.ttft.saturating_record(ttft.as_micros() as u64);
        }
    }

    /// Judges a model request that has all its tokens.
    pub(super) fn complete(&mut self, request: usize) {
        let rule = self.setup.workload.classes[self.requests[request].class].rule;
        let progress = &self.progress[request];
        let first = progress.first.unwrap_or(Time::NEVER);
        let gaps = progress.tokens.saturating_sub(1).max(1);
        let tbt = progress.last.since(first) / gaps;
        let late = first.since(self.requests[request].at) > rule.ttft;
        let good = !late && tbt <= rule.tbt;
        if self.is_measured(request) {
            let tally = &mut self.figure.classes[self.requests[request].class];
            tally.late += u64::from(late);
            tally.slow += u64::from(tbt > rule.tbt);
        }
        self.settle(
            request,
            if good {
                Outcome::Good
            } else {
                Outcome::Complete
            },
        );
    }

    /// Judges a plain call that is answered.
    pub(super) fn complete_plain(&mut self, request: usize, time: Time) {
        let rule = self.setup.workload.classes[self.requests[request].class].rule;
        let took = time.since(self.requests[request].at);
        if self.is_measured(request) {
            self.figure.plain.saturating_record(took.as_micros() as u64);
        }
        self.settle(
            request,
            if took <= rule.ttft {
                Outcome::Good
            } else {
                Outcome::Complete
            },
        );
    }

    /// Counts the prefill of an attempt as wasted, if it did one and got no token from it.
    pub(super) fn count_waste(&mut self, attempt: Attempt) {
        let this = &mut self.tries[attempt];
        let wasted = std::mem::take(&mut this.computed);
        if wasted > 0 && self.is_measured(self.tries[attempt].request) {
            self.figure.wasted += u64::from(wasted);
            self.figure.lost += 1;
        }
    }

    /// Counts a running prefill that is stopped half way.
    pub(super) fn count_stopped(&mut self, attempt: Attempt, started: Time) {
        let tokens = u64::from(Engine::tokens_after(self.now.since(started)));
        if self.is_measured(self.tries[attempt].request) {
            self.figure.computed += tokens;
            self.figure.wasted += tokens;
        }
    }

    pub(super) fn count_decode(&mut self, attempt: Attempt) {
        let class = self.class_of(attempt);
        self.decoding[class] += 1;
        let peak = &mut self.figure.classes[class].peak;
        *peak = (*peak).max(self.decoding[class]);
    }

    pub(super) fn uncount(&mut self, attempt: Attempt) {
        let class = self.class_of(attempt);
        self.decoding[class] = self.decoding[class].saturating_sub(1);
    }

    /// Checks refusals' times to come back against a placement or refusal now.
    pub(super) fn check_refusals(&mut self, class: usize, placed: bool) {
        let now = self.now;
        let before = self.checks.len();
        self.checks
            .retain(|(other, time)| *other != class || *time > now);
        let settled = (before - self.checks.len()) as u64;
        self.figure.checked += settled;
        self.figure.truthful += if placed { settled } else { 0 };
    }

    pub(super) fn finish(mut self) -> Figure {
        for (request, progress) in self.requests.iter().zip(&self.progress) {
            if request.at < WARMUP || progress.outcome == Outcome::Cancelled {
                continue;
            }
            let tally = &mut self.figure.classes[request.class];
            tally.offered += 1;
            match progress.outcome {
                Outcome::Good => {
                    tally.good += 1;
                    tally.complete += 1;
                }
                Outcome::Complete => tally.complete += 1,
                Outcome::Refused => tally.refused += 1,
                Outcome::Pending | Outcome::Failed | Outcome::Cancelled => tally.failed += 1,
            }
        }
        self.figure
    }
}
