//! What follows when a send to a replica did not end in an answer that can be given.

use crate::plan::Mode;

/// Replicas that one request is sent to at most, those that did not run it among them. Limits how
/// long a request goes round when many replicas are full or unreachable.
const MAX_SENDS: u32 = 5;

/// How a send ended without an answer that can be given to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// No byte of the request left this daemon.
    NotSent,
    /// The replica says that it did not run the request.
    NotRun,
    /// The replica ran the request and says that it failed; its answer can be given.
    Failed,
    /// The request left and no usable answer came; it may have run.
    Lost,
    /// Nothing was sent, since replicas ended while at work on the request; see [`crate::quarantine`].
    Quarantined,
    /// Nothing was sent, since the API key that the request came with is no longer held by its customer.
    Denied,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Send it to another replica.
    Retry,
    /// Give the replica's failure to the caller.
    Relay,
    /// Answer that it has not run and when to come back.
    Refuse,
    /// Answer that its outcome is unknown.
    Unknown,
}

/// The sends of one request.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    mode: Mode,
    max_runs: u32,
    sends: u32,
    runs: u32,
}

impl Attempt {
    /// A request that may run on `max_runs` replicas.
    pub const fn new(mode: Mode, max_runs: u32) -> Self {
        Self {
            mode,
            max_runs,
            sends: 0,
            runs: 0,
        }
    }

    /// Sends so far.
    pub const fn sends(&self) -> u32 {
        self.sends
    }

    /// Whether it may have run.
    pub const fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Whether one more replica may run it.
    pub fn may_run_again(&self) -> bool {
        self.sends < MAX_SENDS
            && (self.runs == 0 || (self.mode.repeatable() && self.runs < self.max_runs))
    }

    /// Whether it may be sent elsewhere while it may still be at work at the present replica.
    pub fn may_fail_over(&self) -> bool {
        self.mode.repeatable() && self.sends < MAX_SENDS && self.runs + 1 < self.max_runs
    }

    /// Notes that the request is sent.
    pub const fn record_send(&mut self) {
        self.sends += 1;
    }

    /// What follows `outcome`; `in_budget` takes a retry from the budget and tells whether there
    /// was one.
    pub fn next_step(&mut self, outcome: Outcome, in_budget: impl FnOnce() -> bool) -> Next {
        match outcome {
            Outcome::Failed | Outcome::Lost => self.runs += 1,
            Outcome::NotSent | Outcome::NotRun | Outcome::Quarantined | Outcome::Denied => {}
        }
        // A send that never arrived is no load on the service and needs no budget.
        let withheld = matches!(outcome, Outcome::Quarantined | Outcome::Denied);
        let may = !withheld && self.may_run_again() && (outcome == Outcome::NotSent || in_budget());
        match outcome {
            _ if may => Next::Retry,
            Outcome::Failed => Next::Relay,
            _ if self.runs > 0 => Next::Unknown,
            _ => Next::Refuse,
        }
    }
}
