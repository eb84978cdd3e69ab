//! Budgets of retries, by service.

use relay::budget::Rule;

use crate::shared::Shared;

impl Shared {
    pub(super) fn rule(&self) -> Rule {
        self.settings.borrow().retry_rule()
    }

    /// Counts a request for `service` in its budget of retries.
    pub fn count_request(&self, service: &str) {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        budget.request(self.clock.now(), &self.rule());
    }

    /// Whether a retry is left in the budget of `service`.
    pub fn has_retry(&self, service: &str) -> bool {
        let sharers = self.members.borrow().sharers();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        budget.left(self.clock.now(), &self.rule(), sharers) >= 1.0
    }

    /// Takes a retry for `request` out of the budget of `service`, if one is left.
    pub fn take_retry(&self, service: &str, request: &str) -> bool {
        let sharers = self.members.borrow().sharers();
        let now = self.clock.now();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        let left = budget.left(now, &self.rule(), sharers);
        let taken = budget.take(now, &self.rule(), sharers);
        self.metrics.retries(service, taken);
        log::info!(kind = "retry", request = request, service = service, granted = taken, left = format!("{left:.1}"), sharers = sharers as u64; "a retry was asked of the budget");
        taken
    }
}
