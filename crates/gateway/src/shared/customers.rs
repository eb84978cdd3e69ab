//! Customers: their labels in metrics, their quotas, and whether their API keys are valid.

use customer::list::CustomerList;
use customer::quota::Limit;
use customer::subject::Subject;

use crate::job::Job;
use crate::shared::Shared;
use crate::target::Owner;

/// Maximum number of customers with a label of their own in the metrics: those with the largest
/// quotas.
const MAX_LABELLED: usize = 24;
/// Label of all other customers.
const OTHERS: &str = "others";

impl Shared {
    /// Gives the customers with the largest quotas a label of their own in the metrics, up to
    /// [`MAX_LABELLED`].
    pub(super) fn label_customers(&self, customers: &CustomerList) {
        let mut labelled = self.labelled_customers.borrow_mut();
        for customer in customers.largest(MAX_LABELLED) {
            if labelled.len() < MAX_LABELLED {
                labelled.insert(customer.name.clone());
            }
        }
    }

    /// Counts a request of `customer` that ended with `outcome`; requests without a customer are
    /// not counted.
    pub fn count_customer(&self, customer: &str, outcome: &str) {
        if customer.is_empty() {
            return;
        }
        let is_labelled = self.labelled_customers.borrow().contains(customer);
        let name = if is_labelled { customer } else { OTHERS };
        self.metrics.customer(name, outcome);
    }

    /// The quota of `subject` in the plan in force; `None` if the plan sets none.
    pub fn quota_of(&self, subject: Subject) -> Option<Limit> {
        let Subject::Customer(customer) = subject else {
            return None;
        };
        let plan = self.plan()?;
        plan.customers.as_ref()?.get(customer)?.limit
    }

    /// Whether `job` was probably refused before and came back after its objective: its caller's limit
    /// is shorter than that of others by at least that time. Unlike [`Self::was_refused_before`], it
    /// also tells for plain calls.
    pub fn is_late_return(&self, job: &Job) -> bool {
        let Some(limit) = job.call.timeout.filter(|_| !job.route.mode.streams()) else {
            return job.returned;
        };
        let mut timeouts = self.caller_timeouts.borrow_mut();
        let timeout = timeouts.entry(job.route.name.clone()).or_default();
        timeout.estimate_waited(limit) >= job.route.objective
    }

    /// Whether `job` may no longer be sent to a replica because the plan in force has withdrawn its
    /// API key from its customer. A stream that has begun continues to its end.
    pub fn is_revoked(&self, job: &Job) -> bool {
        if job.response_started.get() || self.plan_version() == job.plan {
            return false;
        }
        let Some(plan) = self.plan() else {
            return false;
        };
        let Some(customers) = &plan.customers else {
            return false;
        };
        match &job.owner {
            Owner::Customer(customer, key) => {
                let holder = customers.holder(*key);
                holder.is_none_or(|holder| holder.name != customer.name)
            }
            Owner::Anyone | Owner::Public => {
                let route = plan
                    .routes
                    .iter()
                    .find(|route| route.name == job.route.name);
                route.is_some_and(|route| !route.public)
            }
        }
    }
}
