//! Budgets of retries, by service.

use relay::budget::RetryPolicy;
use relay::permit::Permit;
use relay::permit::Work;

use crate::job::Job;
use crate::shared::Shared;

impl Shared {
    pub(super) fn rule(&self) -> RetryPolicy {
        self.settings.borrow().retry_rule()
    }

    /// Counts a request for `service` in its budget of retries.
    pub fn count_request(&self, service: &str) {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        budget.record_request(self.clock.now(), &self.rule());
    }

    /// Whether `job` could be sent once more.
    pub fn may_allow(&self, job: &Job) -> bool {
        if job.permits.borrow().has(Work::Run) {
            return true;
        }
        let sharers = self.members.borrow().sharers();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(job.service.clone()).or_default();
        budget.remaining(self.clock.now(), &self.rule(), sharers) >= 1.0
    }

    /// Sees to it that `job` holds a permit for `work`, out of the budget if it has none; whether it does.
    pub fn allow(&self, job: &Job, work: Work) -> bool {
        if job.permits.borrow().has(work) {
            return true;
        }
        let service = &job.service;
        let sharers = self.members.borrow().sharers();
        let now = self.clock.now();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        let left = budget.remaining(now, &self.rule(), sharers);
        let permit = budget.take(now, &self.rule(), sharers);
        let granted = permit.is_some();
        self.metrics.retries(service, granted);
        log::info!(kind = "retry", request = job.call.id, service = service, work = format!("{work:?}"), granted = granted, left = format!("{left:.1}"), sharers = sharers as u64; "a retry was asked of the budget");
        if let Some(permit) = permit {
            job.permits.borrow_mut().put(work, permit);
        }
        granted
    }

    /// The permit for `work` that `job` holds, or one out of the budget.
    pub fn permit(&self, job: &Job, work: Work) -> Option<Permit> {
        self.allow(job, work).then(|| job.take_permit(work))?
    }
}
