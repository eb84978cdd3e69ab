//! Enforces quotas of customers: before a request runs, the daemon that keeps the customer's token
//! bucket is asked for its units.

pub mod charge;
pub mod client;
pub mod keeper;

use std::rc::Rc;
use std::time::Duration;

use boottime::timer::sleep;
use customer::keeper::Decision;
use customer::keeper::Purpose;
use customer::keeper::QuotaReply;
use customer::rank::Standing;
use customer::subject::Subject;
use http::Response;
use log::kv::Value;

use crate::body::Body;
use crate::ending;
use crate::job::Job;
use crate::quota::charge::Charge;
use crate::quota::charge::Source;
use crate::quota::client::KeeperReply;
use crate::quotas::Demand;
use crate::shared::Shared;

/// Fraction of the objective that a request waits for quota units.
const MAX_WAIT_FRACTION: f64 = 0.1;
/// `Retry-After` if no keeper decides; by then, another daemon is asked.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The units that `job` takes from its customer's quota; `None` without a customer or a quota.
fn demand(shared: &Shared, job: &Job) -> Option<Demand> {
    let customer = job.customer()?;
    Some(Demand {
        subject: Subject::Customer(customer.id()),
        limit: customer.limit?,
        units: customer.unit.count(job.call.tokens),
        standing: distinct_standing(shared, job),
    })
}

/// The standing of `job` among the requests of its customer; `None` if it is the same for all but
/// those that returned. Where ranks do not differ, any rank serves, and the one that counts for requests
/// without a standing is taken.
fn distinct_standing(shared: &Shared, job: &Job) -> Option<Standing> {
    let plan = shared.plan();
    let ranks_differ = plan.is_some_and(|plan| plan.route_ranks_differ());
    let standing = job.standing();
    match (ranks_differ, standing.returned) {
        (true, _) => Some(standing),
        (false, true) => Some(Standing::PLAIN.with_returned(true)),
        (false, false) => None,
    }
}

/// Charges `job` to its customer's quota; returns the response if the quota does not admit it.
pub async fn admit(shared: &Rc<Shared>, job: &mut Job) -> Option<Response<Body>> {
    job.customer()?.limit?;
    job.late_return = shared.is_late_return(job);
    let demand = demand(shared, job)?;
    if let Some(number) = client::spend_locally(shared, demand) {
        job.charge = Some(Charge::new(shared, demand, Source::LocalBudget(number)));
        return None;
    }
    let patience = job.route.objective.mul_f64(MAX_WAIT_FRACTION);
    let purpose = Purpose::Run {
        patience_ms: patience.as_millis() as u32,
    };
    let reply = client::ask(shared, demand, purpose).await;
    log_decision(shared, job, demand, reply);
    match reply.map(|reply| (reply.answer.decision, reply.keeper)) {
        Some((Decision::Granted { after_ms }, keeper)) => {
            job.charge = Some(Charge::new(shared, demand, Source::Keeper(keeper)));
            sleep(Duration::from_millis(after_ms.into())).await;
            None
        }
        Some((Decision::Refused { come_back_ms }, _)) => {
            let retry_after = Duration::from_millis(come_back_ms.into());
            Some(ending::refuse_beyond_quota(job, retry_after))
        }
        _ => match client::overspend_locally(shared, demand) {
            Some(number) => {
                job.charge = Some(Charge::new(shared, demand, Source::LocalBudget(number)));
                None
            }
            None => {
                let cause = "no keeper decided on the quota";
                Some(ending::refuse(shared, job, UNDECIDED_RETRY_AFTER, cause))
            }
        },
    }
}

fn log_decision(shared: &Shared, job: &Job, demand: Demand, reply: Option<KeeperReply>) {
    let answer = reply.map_or(QuotaReply::unsure(), |reply| reply.answer);
    let keeper = reply.map_or(String::new(), |reply| reply.keeper_name(shared));
    let customer = job.customer().map_or("", |customer| &customer.name);
    let ahead = reply.map_or(0.0, |reply| reply.ahead);
    let standing = job.standing();
    let come_back_ms = match answer.decision {
        Decision::Refused { come_back_ms } => Value::from(come_back_ms),
        _ => Value::from(""),
    };
    shared.metrics.quota.decision(standing, answer.decision);
    log::info!(kind = "quota", request = job.call.id, customer = customer, rank = standing.rank.value(), returned = standing.returned, units = demand.units as u64, ahead = ahead as u64, decision = format!("{:?}", answer.decision), come_back_ms = come_back_ms, left = answer.left as i64, keeper = keeper, ms = job.age().as_millis() as u64; "asked for a quota decision");
}
