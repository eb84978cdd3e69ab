//! Records how requests end and updates the statistics.

use ident::Time;

use crate::engine::Attempt;
use crate::engine::Engine;
use crate::simulation::Simulation;
use crate::simulation::WARMUP;
use crate::stats::Stats;

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

/// Progress of a request.
#[derive(Debug, Clone, Default)]
pub(super) struct Progress {
    pub(super) tokens: u32,
    pub(super) first: Option<Time>,
    pub(super) last: Time,
    pub(super) outcome: Outcome,
    pub(super) attempt: Option<Attempt>,
}

impl Simulation {
    pub(super) fn is_measured(&self, request: usize) -> bool {
        self.requests[request].at >= WARMUP
    }

    pub(super) fn set_outcome(&mut self, request: usize, outcome: Outcome) {
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
                self.stats.tbt.saturating_record(gap.as_micros() as u64);
            }
            return;
        }
        progress.first = Some(time);
        if measured {
            let ttft = time.since(self.requests[request].at);
            self.stats.ttft.saturating_record(ttft.as_micros() as u64);
        }
    }

    /// Checks a complete model request against its targets.
    pub(super) fn complete(&mut self, request: usize) {
        let rule = self.setup.workload.classes[self.requests[request].class].rule;
        let progress = &self.progress[request];
        let first = progress.first.unwrap_or(Time::NEVER);
        let gaps = progress.tokens.saturating_sub(1).max(1);
        let tbt = progress.last.since(first) / gaps;
        let late = first.since(self.requests[request].at) > rule.ttft;
        let good = !late && tbt <= rule.tbt;
        if self.is_measured(request) {
            let counts = &mut self.stats.classes[self.requests[request].class];
            counts.late += u64::from(late);
            counts.slow += u64::from(tbt > rule.tbt);
        }
        self.set_outcome(
            request,
            if good {
                Outcome::Good
            } else {
                Outcome::Complete
            },
        );
    }

    /// Checks an answered plain call against its target.
    pub(super) fn complete_plain(&mut self, request: usize, time: Time) {
        let rule = self.setup.workload.classes[self.requests[request].class].rule;
        let took = time.since(self.requests[request].at);
        if self.is_measured(request) {
            self.stats.plain.saturating_record(took.as_micros() as u64);
        }
        self.set_outcome(
            request,
            if took <= rule.ttft {
                Outcome::Good
            } else {
                Outcome::Complete
            },
        );
    }

    /// Counts an attempt's prefill as wasted if no token was generated from it.
    pub(super) fn count_waste(&mut self, attempt: Attempt) {
        let this = &mut self.attempts[attempt];
        let wasted = std::mem::take(&mut this.computed);
        if wasted > 0 && self.is_measured(self.attempts[attempt].request) {
            self.stats.wasted += u64::from(wasted);
            self.stats.lost += 1;
        }
    }

    /// Counts the tokens that a stopped prefill has computed so far.
    pub(super) fn count_stopped_prefill(&mut self, attempt: Attempt, started: Time) {
        let tokens = u64::from(Engine::tokens_after(self.now.since(started)));
        if self.is_measured(self.attempts[attempt].request) {
            self.stats.computed += tokens;
            self.stats.wasted += tokens;
        }
    }

    pub(super) fn count_decode(&mut self, attempt: Attempt) {
        let class = self.class_of(attempt);
        self.decoding[class] += 1;
        let peak = &mut self.stats.classes[class].peak;
        *peak = (*peak).max(self.decoding[class]);
    }

    pub(super) fn uncount_decode(&mut self, attempt: Attempt) {
        let class = self.class_of(attempt);
        self.decoding[class] = self.decoding[class].saturating_sub(1);
    }

    /// Checks the retry-after times that have passed against a placement or refusal now.
    pub(super) fn check_refusals(&mut self, class: usize, placed: bool) {
        let now = self.now;
        let before = self.retry_checks.len();
        self.retry_checks
            .retain(|(other, time)| *other != class || *time > now);
        let settled = (before - self.retry_checks.len()) as u64;
        self.stats.checked += settled;
        self.stats.truthful += if placed { settled } else { 0 };
    }

    pub(super) fn finish(mut self) -> Stats {
        for (request, progress) in self.requests.iter().zip(&self.progress) {
            if request.at < WARMUP || progress.outcome == Outcome::Cancelled {
                continue;
            }
            let counts = &mut self.stats.classes[request.class];
            counts.offered += 1;
            match progress.outcome {
                Outcome::Good => {
                    counts.good += 1;
                    counts.complete += 1;
                }
                Outcome::Complete => counts.complete += 1,
                Outcome::Refused => counts.refused += 1,
                Outcome::Pending | Outcome::Failed | Outcome::Cancelled => counts.failed += 1,
            }
        }
        self.stats
    }
}
