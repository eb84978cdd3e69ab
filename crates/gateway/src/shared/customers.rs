//! Whose requests are.

use customer::list::CustomerList;
use customer::quota::Limit;
use customer::subject::Subject;

use crate::job::Job;
use crate::shared::Shared;
use crate::target::Owner;

/// Customers that have figures of their own in the metrics, at most: those with the largest quotas.
const MAX_NAMED: usize = 24;
/// What the metrics call all others.
const OTHERS: &str = "others";

impl Shared {
    /// Gives the largest of `customers` figures of their own in the metrics, while there is room.
    pub(super) fn name_customers(&self, customers: &CustomerList) {
        let mut named = self.named_customers.borrow_mut();
        for customer in customers.largest(MAX_NAMED) {
            if named.len() < MAX_NAMED {
                named.insert(customer.name.clone());
            }
        }
    }

    /// Counts a request of `customer` that ended with `outcome`; one that is nobody's is not counted.
    pub fn count_customer(&self, customer: &str, outcome: &str) {
        if customer.is_empty() {
            return;
        }
        let is_named = self.named_customers.borrow().contains(customer);
        let name = if is_named { customer } else { OTHERS };
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

    /// Whether `job` may no longer be sent to a replica: by the plan in force, its customer does not hold its API key any more.
    /// A stream that has begun goes on to its end, as it was accepted.
    pub fn is_denied(&self, job: &Job) -> bool {
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
