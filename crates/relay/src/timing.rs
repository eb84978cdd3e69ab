//! Whether a generation can still be in time, and what one that cannot leaves to the others.
//!
//! Answers the load in which more come for a few seconds than can be served. A prompt that waits longer
//! to be read than its objective allows holds a place at a decode replica meanwhile, so that the next
//! one is late as well; then nearly all are late, where two thirds could be in time. So a new generation
//! gets a place only if its prompt will be read in time, and one that was refused and has come back,
//! which is late in any case, waits longer and leaves room for those that are not.

use std::collections::VecDeque;
use std::time::Duration;

/// Part of the objective by which the prompt of a new generation is to be read; the first event
/// follows some tens of milliseconds later.
const READ_BY: f64 = 0.8;
/// Part of the objective that reading may take for a generation which is late: longer reads say that
/// new ones wait as well.
const LATE_READ: f64 = 0.5;
/// Part of its memory that a decode replica has to have free for a prompt that it reads itself since
/// all others would be late: it makes next to no tokens meanwhile.
const IDLE: f64 = 0.2;
/// Part of a replica's memory that late generations leave free: most of a run, where a replica has room for
/// seven.
const LATE_SPARE: f64 = 0.1;
/// Times the objective for which late generations wait for a place, after all others. Callers leave after four
/// times it without an event, and what is left is enough to read the prompt. With a turn of their own after
/// 1.6 of it, 26 % in place of 15 % of the generations of a lasting overload were late.
const LATE_WAIT: f64 = 2.4;
/// Callers' limits that are remembered of a route.
const REMEMBERED: usize = 128;
/// Part of them that is taken for those of callers which come for the first time: they have the longest
/// limits, unless some caller has a limit of its own.
const FIRST_TIMERS: f64 = 0.9;

/// What kind of generation looks for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It can be in time.
    New,
    /// It was refused, and its caller has come back.
    Returned,
    /// It is late and has no other chance, since its replica was lost.
    Due,
}

/// How it looks for a place.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Times the objective for which it waits.
    pub wait: f64,
    /// Part of the memory of a replica that it leaves free.
    pub spare: f64,
}

impl Kind {
    /// The terms of this kind, where `usual` are those of a new generation.
    pub fn terms(self, usual: Terms) -> Terms {
        match self {
            Self::New | Self::Due => usual,
            Self::Returned => Terms {
                wait: usual.wait.max(LATE_WAIT),
                spare: usual.spare.max(LATE_SPARE),
            },
        }
    }

    /// The part of a replica's memory that has to be free, beside that of its terms, if the prompt will be
    /// read after `read` by a prefill replica: none if that is soon enough. `age` is the time since the
    /// request came.
    pub fn required_idle_share(self, objective: Duration, age: Duration, read: Duration) -> f64 {
        let timely = match self {
            Self::New => age + read <= objective.mul_f64(READ_BY),
            Self::Returned => read <= objective.mul_f64(LATE_READ),
            Self::Due => true,
        };
        if timely { 0.0 } else { IDLE }
    }
}

/// How long the callers of one route wait for their answers, as they say.
///
/// A caller that comes back says how long it will still wait, so that its limit is shorter than that of a
/// new one by the time since it came first.
#[derive(Debug, Default)]
pub struct CallerTimeouts {
    limits: VecDeque<Duration>,
}

impl CallerTimeouts {
    /// Nothing known yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a caller's limit; the time that it seems to have waited before.
    pub fn estimate_waited(&mut self, limit: Duration) -> Duration {
        self.limits.push_back(limit);
        if self.limits.len() > REMEMBERED {
            self.limits.pop_front();
        }
        let mut sorted: Vec<Duration> = self.limits.iter().copied().collect();
        let rank = ((sorted.len() - 1) as f64 * FIRST_TIMERS) as usize;
        let (_, usual, _) = sorted.select_nth_unstable(rank);
        usual.saturating_sub(limit)
    }
}
