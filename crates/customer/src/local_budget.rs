//! What a daemon admits of a customer's requests without having asked the keeper of the quota.
//!
//! Small requests are told to the keeper afterwards: asking first would cost each call a round trip. Where the keeper cannot be
//! asked, the pocket is all that a daemon admits, so that daemons that are cut off from each other stay within what is tolerated
//! together.

use std::collections::VecDeque;
use std::time::Duration;

use ident::Time;

/// Units that were admitted unasked.
#[derive(Debug, Default)]
pub struct LocalBudget {
    spent: VecDeque<Spent>,
    next: u32,
    /// Until then the keeper is asked first: it told that nothing was left.
    strict_until: Time,
}

/// One request that was admitted unasked.
#[derive(Debug, Clone, Copy)]
struct Spent {
    number: SpendId,
    at: Time,
    units: f64,
}

/// Names a request that was admitted unasked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpendId(u32);

impl LocalBudget {
    /// Nothing spent.
    pub fn new() -> Self {
        Self::default()
    }

    /// Spends `units` if they fit into what is left of `allowance`, and the keeper need not be asked first.
    pub fn spend(
        &mut self,
        now: Time,
        window: Duration,
        allowance: f64,
        units: f64,
    ) -> Option<SpendId> {
        let fits = self.spent(now, window) + units <= allowance;
        (fits && now >= self.strict_until).then(|| self.note(now, units))
    }

    /// Spends `units` if anything is left of `allowance`: the last request may go beyond it.
    pub fn overspend(
        &mut self,
        now: Time,
        window: Duration,
        allowance: f64,
        units: f64,
    ) -> Option<SpendId> {
        (self.spent(now, window) < allowance).then(|| self.note(now, units))
    }

    /// Forgets a request that the keeper has counted, or that did not run.
    pub fn settle(&mut self, number: SpendId) {
        self.spent.retain(|spent| spent.number != number);
    }

    /// Asks the keeper first for `time`.
    pub fn ask_keeper_first(&mut self, now: Time, time: Duration) {
        self.strict_until = self.strict_until.max(now + time);
    }

    /// Units that were spent in the window that ends at `now`.
    pub fn spent(&mut self, now: Time, window: Duration) -> f64 {
        while self
            .spent
            .front()
            .is_some_and(|spent| now.since(spent.at) > window)
        {
            self.spent.pop_front();
        }
        self.spent.iter().map(|spent| spent.units).sum()
    }

    fn note(&mut self, now: Time, units: f64) -> SpendId {
        let number = SpendId(self.next);
        self.next = self.next.wrapping_add(1);
        self.spent.push_back(Spent {
            number,
            at: now,
            units,
        });
        number
    }
}
