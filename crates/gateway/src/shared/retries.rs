//! Retry budgets, one per service.

use relay::budget::RetryPolicy;
use relay::permit::Permit;
use relay::permit::Work;

use crate::job::Job;
use crate::shared::Shared;

impl Shared {
    pub(super) fn retry_policy(&self) -> RetryPolicy {
        self.settings.borrow().retry_policy()
    }

    /// Counts a request for `service` in its retry budget.
    pub fn count_request(&self, service: &str) {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        budget.record_request(self.clock.now(), &self.retry_policy());
    }

    /// Whether `job` holds a permit for another run or the budget could grant one.
    pub fn can_retry(&self, job: &Job) -> bool {
        job.permits.borrow().has(Work::Run) || self.retries_left(&job.service) >= 1.0
    }

    /// Retries left in the budget of `service`.
    pub fn retries_left(&self, service: &str) -> f64 {
        let sharers = self.members.borrow().sharers();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        budget.remaining(self.clock.now(), &self.retry_policy(), sharers)
    }

    /// Takes a permit for `work` from the budget if `job` holds none; returns whether it holds one.
    pub fn ensure_permit(&self, job: &Job, work: Work) -> bool {
        if job.permits.borrow().has(work) {
            return true;
        }
        let service = &job.service;
        let sharers = self.members.borrow().sharers();
        let now = self.clock.now();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        let left = budget.remaining(now, &self.retry_policy(), sharers);
        let permit = budget.take(now, &self.retry_policy(), sharers);
        let granted = permit.is_some();
        self.metrics.retries(service, granted);
        log::info!(kind = "retry", request = job.call.id, service = service, work = format!("{work:?}"), granted = granted, left = format!("{left:.1}"), sharers = sharers as u64; "requested a retry from the budget");
        if let Some(permit) = permit {
            job.permits.borrow_mut().put(work, permit);
        }
        granted
    }

    /// Takes the permit for `work` from `job`, which gets one from the budget if it holds none.
    pub fn take_permit(&self, job: &Job, work: Work) -> Option<Permit> {
        self.ensure_permit(job, work)
            .then(|| job.take_permit(work))?
    }
}
