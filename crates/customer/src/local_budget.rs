//! Budget from which a daemon admits a customer's requests without asking the keeper of the quota.
//!
//! Small requests are reported to the keeper afterwards, since asking first would cost each call a
//! round trip. If the keeper cannot be reached, a daemon admits only its local budget, so that
//! daemons cut off from each other together stay within the tolerance.

use std::collections::VecDeque;
use std::time::Duration;

use ident::Time;

/// Units that a daemon admitted without asking, for one customer.
#[derive(Debug, Default)]
pub struct LocalBudget {
    expenses: VecDeque<Expense>,
    next_id: u32,
    /// Until then the keeper must be asked first, because it reported that the quota was exceeded.
    ask_keeper_until: Time,
}

/// A request that was admitted without asking.
#[derive(Debug, Clone, Copy)]
struct Expense {
    id: SpendId,
    at: Time,
    units: f64,
}

/// Identifies a request that was admitted without asking.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpendId(u32);

impl LocalBudget {
    /// A budget with nothing spent.
    pub fn new() -> Self {
        Self::default()
    }

    /// Spends `units` if they fit into the rest of `allowance` and the keeper need not be asked
    /// first.
    pub fn spend(
        &mut self,
        now: Time,
        window: Duration,
        allowance: f64,
        units: f64,
    ) -> Option<SpendId> {
        let fits = self.spent(now, window) + units <= allowance;
        (fits && now >= self.ask_keeper_until).then(|| self.record(now, units))
    }

    /// Spends `units` if anything is left of `allowance`; the last request may exceed it.
    pub fn overspend(
        &mut self,
        now: Time,
        window: Duration,
        allowance: f64,
        units: f64,
    ) -> Option<SpendId> {
        (self.spent(now, window) < allowance).then(|| self.record(now, units))
    }

    /// Removes a request that the keeper has counted or that did not run.
    pub fn settle(&mut self, id: SpendId) {
        self.expenses.retain(|expense| expense.id != id);
    }

    /// Requires that the keeper is asked first for the next `time`.
    pub fn ask_keeper_first(&mut self, now: Time, time: Duration) {
        self.ask_keeper_until = self.ask_keeper_until.max(now + time);
    }

    /// Units spent in the window that ends at `now`.
    pub fn spent(&mut self, now: Time, window: Duration) -> f64 {
        while self
            .expenses
            .front()
            .is_some_and(|expense| now.since(expense.at) > window)
        {
            self.expenses.pop_front();
        }
        self.expenses.iter().map(|expense| expense.units).sum()
    }

    fn record(&mut self, now: Time, units: f64) -> SpendId {
        let id = SpendId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        self.expenses.push_back(Expense { id, at: now, units });
        id
    }
}
