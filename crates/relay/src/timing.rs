//! Decides whether a generation can meet its objective, and how much room a late one leaves to the
//! others.
//!
//! When more generations arrive for a few seconds than can be served, a prompt whose prefill takes
//! longer than its objective occupies a slot at a decode replica meanwhile, and delays the next
//! one. Then nearly all are late, where two thirds could be in time. So a new generation gets a
//! slot only if its prefill ends in time. One that was refused and is retried is late in any case:
//! it waits longer and leaves room for the others.

use std::collections::VecDeque;
use std::time::Duration;

/// Fraction of the objective within which the prefill of a new generation must end; the first event
/// follows some tens of milliseconds later.
const PREFILL_DEADLINE: f64 = 0.8;
/// Maximum duration of the prefill of a late generation, as a fraction of the objective: a longer
/// one means that new generations are waiting as well.
const MAX_LATE_PREFILL: f64 = 0.5;
/// Fraction of its memory that a decode replica must have free to prefill a prompt itself because
/// all prefill replicas would be late: it generates almost no tokens meanwhile.
const IDLE_SHARE: f64 = 0.2;
/// Fraction of a replica's memory that late generations leave free: most of a run, if a replica has
/// room for seven.
const LATE_SPARE: f64 = 0.1;
/// How long late generations wait for a slot, as a multiple of the objective; retries of refused ones
/// wait behind all others.
/// Callers give up after four times the objective without an event, and the rest is enough for the
/// prefill. When late generations got their turn after 1.6 times the objective, the late share in a
/// lasting overload was 26 % instead of 15 %.
const LATE_WAIT: f64 = 2.4;
/// Maximum number of callers' timeouts that are kept for a route.
const MAX_TIMEOUTS: usize = 128;
/// Quantile of these timeouts that is taken for that of first attempts, which have the longest
/// ones. Below 1, since some caller may have a longer timeout than the others.
const FIRST_ATTEMPT_QUANTILE: f64 = 0.9;

/// Kind of a generation that needs a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A first attempt, which can be in time.
    New,
    /// A retry of a refused generation.
    Returned,
    /// A stream that its caller resumes: late in any case, but bound to replicas of one version.
    Resumed,
    /// A late generation without another chance, because its replica was lost: a stream that is resumed
    /// within one answer.
    Due,
}

/// Conditions for a slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Maximum wait, as a multiple of the objective.
    pub wait: f64,
    /// Fraction of the replica's memory to leave free.
    pub spare: f64,
}

impl Kind {
    /// Conditions for this kind, where `usual` are those of a new generation.
    pub fn terms(self, usual: Terms) -> Terms {
        match self {
            Self::New => usual,
            // They fit fewer replicas, those of one software version.
            Self::Due | Self::Resumed => Terms {
                wait: usual.wait.max(LATE_WAIT),
                spare: usual.spare,
            },
            Self::Returned => Terms {
                wait: usual.wait.max(LATE_WAIT),
                spare: usual.spare.max(LATE_SPARE),
            },
        }
    }

    /// Fraction of a replica's memory that must be free in addition to [`Terms::spare`], if a
    /// prefill replica would take `prefill` for the prompt: 0 if that is soon enough. `age` is the
    /// time since the request arrived.
    pub fn required_idle_share(self, objective: Duration, age: Duration, prefill: Duration) -> f64 {
        let in_time = match self {
            Self::New => age + prefill <= objective.mul_f64(PREFILL_DEADLINE),
            Self::Returned => prefill <= objective.mul_f64(MAX_LATE_PREFILL),
            // At least as often as a new generation that has just arrived.
            Self::Resumed => prefill <= objective.mul_f64(PREFILL_DEADLINE),
            Self::Due => true,
        };
        if in_time { 0.0 } else { IDLE_SHARE }
    }
}

/// Recent timeouts of the callers of one route.
///
/// A caller sends its remaining timeout with each attempt, so that of a retry is shorter by the
/// time since the first attempt.
#[derive(Debug, Default)]
pub struct CallerTimeouts {
    timeouts: VecDeque<Duration>,
}

impl CallerTimeouts {
    /// Creates an empty history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a caller's timeout and returns how long the caller seems to have waited before this
    /// attempt.
    pub fn estimate_waited(&mut self, timeout: Duration) -> Duration {
        self.timeouts.push_back(timeout);
        if self.timeouts.len() > MAX_TIMEOUTS {
            self.timeouts.pop_front();
        }
        let mut sorted: Vec<Duration> = self.timeouts.iter().copied().collect();
        let rank = ((sorted.len() - 1) as f64 * FIRST_ATTEMPT_QUANTILE) as usize;
        let (_, first_attempt, _) = sorted.select_nth_unstable(rank);
        first_attempt.saturating_sub(timeout)
    }
}
