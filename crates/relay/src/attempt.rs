//! Decides the next step after a send to a replica that gave no usable answer.

use crate::plan::Mode;

/// Maximum sends of one request, including sends to replicas that did not run it. Bounds the time
/// spent on a request when many replicas are full or unreachable.
const MAX_SENDS: u32 = 5;

/// Why a send gave no answer that can be returned to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// No byte of the request was sent.
    NotSent,
    /// The replica reported that it did not run the request.
    NotRun,
    /// The replica ran the request and reported a failure, which can be returned.
    Failed,
    /// The request was sent and no usable answer came; it may have run.
    Lost,
    /// Not sent because the request is quarantined; see [`crate::quarantine`].
    Quarantined,
    /// Not sent because the customer no longer holds the API key of the request.
    Denied,
}

/// Next step for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Send it to another replica.
    Retry,
    /// Return the replica's failure to the caller.
    Relay,
    /// Answer that it has not run, and when to retry.
    Refuse,
    /// Answer that its outcome is unknown.
    Unknown,
}

/// The sends of one request so far.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    mode: Mode,
    max_runs: u32,
    sends: u32,
    runs: u32,
}

impl Attempt {
    /// Creates the record of a request that may run on up to `max_runs` replicas.
    pub const fn new(mode: Mode, max_runs: u32) -> Self {
        Self {
            mode,
            max_runs,
            sends: 0,
            runs: 0,
        }
    }

    /// Number of sends so far.
    pub const fn sends(&self) -> u32 {
        self.sends
    }

    /// Whether the request may have run.
    pub const fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Whether one more replica may run it.
    pub fn may_run_again(&self) -> bool {
        self.sends < MAX_SENDS
            && (self.runs == 0 || (self.mode.repeatable() && self.runs < self.max_runs))
    }

    /// Number of replicas that may still run it.
    pub const fn runs_left(&self) -> u32 {
        self.max_runs.saturating_sub(self.runs)
    }

    /// Whether it may be sent to another replica while the present one may still be running it.
    pub fn may_fail_over(&self) -> bool {
        self.mode.repeatable() && self.sends < MAX_SENDS && self.runs + 1 < self.max_runs
    }

    /// Records that the request is sent.
    pub const fn record_send(&mut self) {
        self.sends += 1;
    }

    /// Returns the step that follows `outcome`. `in_budget` takes a retry from the budget and
    /// returns whether one was left.
    pub fn next_step(&mut self, outcome: Outcome, in_budget: impl FnOnce() -> bool) -> Next {
        match outcome {
            Outcome::Failed | Outcome::Lost => self.runs += 1,
            Outcome::NotSent | Outcome::NotRun | Outcome::Quarantined | Outcome::Denied => {}
        }
        // A send of which no byte left puts no load on the service and needs no budget.
        let withheld = matches!(outcome, Outcome::Quarantined | Outcome::Denied);
        let may_retry =
            !withheld && self.may_run_again() && (outcome == Outcome::NotSent || in_budget());
        match outcome {
            _ if may_retry => Next::Retry,
            Outcome::Failed => Next::Relay,
            _ if self.runs > 0 => Next::Unknown,
            _ => Next::Refuse,
        }
    }
}
