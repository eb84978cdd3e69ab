//! Quotas of customers: what a request uses is asked of the daemon that keeps the customer's bucket, before the request runs.

pub mod asking;
pub mod charge;
pub mod keeping;

use std::rc::Rc;
use std::time::Duration;

use boottime::timer::sleep;
use customer::keeper::Decision;
use customer::keeper::Purpose;
use customer::keeper::QuotaReply;
use customer::subject::Subject;
use http::Response;

use crate::body::Body;
use crate::job::Job;
use crate::plain;
use crate::quota::asking::Heard;
use crate::quota::charge::Charge;
use crate::quota::charge::Source;
use crate::quotas::Demand;
use crate::shared::Shared;

/// Part of the objective that a request waits for units that come free.
const WAIT_PART: f64 = 0.1;
/// Time after which a caller may come back when the quota cannot be asked; another daemon is asked by then.
const UNSURE: Duration = Duration::from_millis(300);

/// What `job` asks of its customer's quota; `None` if the customer has none, or the request has no customer.
fn demand(job: &Job) -> Option<Demand> {
    let customer = job.customer()?;
    Some(Demand {
        subject: Subject::Customer(customer.id()),
        limit: customer.limit?,
        units: customer.unit.count(job.call.tokens),
    })
}

/// Sees to it that `job` may run by its customer's quota; the answer to it if it may not.
pub async fn admit(shared: &Rc<Shared>, job: &mut Job) -> Option<Response<Body>> {
    let demand = demand(job)?;
    if let Some(number) = asking::spend_unasked(shared, demand) {
        job.charge = Some(Charge::new(shared, demand, Source::Pocket(number)));
        return None;
    }
    let patience = job.route.objective.mul_f64(WAIT_PART);
    let purpose = Purpose::Run {
        patience_ms: patience.as_millis() as u32,
    };
    let heard = asking::ask(shared, demand, purpose).await;
    log_decision(shared, job, demand, heard);
    match heard.map(|heard| (heard.told.decision, heard.keeper)) {
        Some((Decision::Granted { after_ms }, keeper)) => {
            job.charge = Some(Charge::new(shared, demand, Source::Keeper(keeper)));
            sleep(Duration::from_millis(after_ms.into())).await;
            None
        }
        Some((Decision::Refused { come_back_ms }, _)) => {
            let come_back = Duration::from_millis(come_back_ms.into());
            Some(plain::refuse_beyond_quota(job, come_back))
        }
        _ => match asking::overspend(shared, demand) {
            Some(number) => {
                job.charge = Some(Charge::new(shared, demand, Source::Pocket(number)));
                None
            }
            None => {
                let cause = "the quota cannot be asked";
                Some(plain::refuse(shared, job, UNSURE, cause))
            }
        },
    }
}

fn log_decision(shared: &Shared, job: &Job, demand: Demand, heard: Option<Heard>) {
    let told = heard.map_or(QuotaReply::unsure(), |heard| heard.told);
    let keeper = heard.map_or(String::new(), |heard| heard.name(shared));
    let customer = job.customer().map_or("", |customer| &customer.name);
    log::info!(kind = "quota", request = job.call.id, customer = customer, units = demand.units as u64, decision = format!("{:?}", told.decision), left = told.left as i64, keeper = keeper, ms = job.age().as_millis() as u64; "a quota was asked");
}
