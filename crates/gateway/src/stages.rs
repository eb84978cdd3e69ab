//! Orders engines to change their stage.
//!
//! Not all engines check fencing tokens, and an order without an answer may be carried out many
//! seconds later. So at most one daemon sends orders for a service in any `CLAIM_DURATION`, by the
//! store's clock: it first claims the service with a conditional write of a row, whose version makes
//! the fencing token. An order is sent only within `MAX_CLAIM_AGE` of the reading whose time the claim
//! bears, so that a daemon that was frozen meanwhile sends none.
//!
//! Besides the division of the replicas, orders keep a decode replica for each software version whose
//! streams can still be resumed.

pub mod claim;

use std::cmp::Ordering;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use boottime::timer::sleep;
use futures::future::join_all;
use http::Method;
use http::StatusCode;
use ident::Pool;
use ident::Zone;
use platform::engine;
use platform::engine::Report;
use relay::balance::Rebalance;
use relay::balance::StageBalancer;
use relay::balance::StageCounts;
use relay::replica::Replica;
use relay::replica::Stage;
use relay::score::Version;
use relay::server::Key;

use crate::control;
use crate::control::Call;
use crate::shared::Shared;
use crate::shared::choice::Destination;
use crate::stages::claim::Claimant;
use crate::version_stages;
use crate::version_stages::Need;

/// Interval between checks of the numbers of prefill and decode replicas.
const PERIOD: Duration = Duration::from_millis(500);
/// Maximum number of engines skipped in one round because they are busy or do not answer.
const MAX_SKIPPED: usize = 3;

/// What is kept for the orders of one service.
#[derive(Debug)]
struct ServiceOrders {
    balancer: StageBalancer,
    claimant: Claimant,
}

impl ServiceOrders {
    fn new(change_time: Duration) -> Self {
        Self {
            balancer: StageBalancer::new(change_time),
            claimant: Claimant::new(),
        }
    }
}

/// Keeps the share of prefill replicas of each model, forever.
pub async fn run(shared: Rc<Shared>) {
    let mut all_orders: HashMap<String, ServiceOrders> = HashMap::new();
    loop {
        sleep(PERIOD).await;
        let share = shared.settings().prefill_share;
        let plan = shared.plan().filter(|_| shared.is_ready());
        let (Some(plan), Some(share)) = (plan, share) else {
            continue;
        };
        let services = plan.services.iter();
        let engines = services.filter_map(|(name, service)| Some((name, service.engine?)));
        for (service, engine) in engines {
            let orders = all_orders.entry(service.clone());
            let orders = orders.or_insert_with(|| ServiceOrders::new(engine.stage_change));
            orders.balancer.set_change_time(engine.stage_change);
            version_stages::track(&shared, &plan, service, engine.stage_change);
            rebalance(&shared, service, orders, share).await;
        }
    }
}

/// A change of stages that is due.
#[derive(Debug)]
struct Due {
    change: Rebalance,
    /// The version that needs the replica, if it is for the streams of one.
    need: Option<Need>,
}

impl Due {
    /// Software version of the replicas to change; `None` if any may change.
    fn software(&self) -> Option<&str> {
        self.need.as_ref().map(|need| need.software.as_str())
    }

    /// Data centres of the replicas to change; `None` if they may be anywhere.
    fn homes(&self) -> Option<&[Zone]> {
        self.need.as_ref()?.homes.data_centres()
    }
}

/// The change of `service` that is due, if any. That for the streams of a version goes first: it
/// cannot wait as long as a division that is out of proportion.
fn find_due(
    shared: &Shared,
    service: &str,
    balancer: &mut StageBalancer,
    counts: StageCounts,
    share: f64,
) -> Option<Due> {
    let now = shared.clock.now();
    let rebalance = balancer.due(now, counts, share);
    match version_stages::due(shared, service) {
        Some(need) => Some(Due {
            change: Rebalance {
                stage: Stage::Decode,
                count: 1,
            },
            need: Some(need),
        }),
        None => rebalance.map(|change| Due { change, need: None }),
    }
}

/// Records that orders for `due` were sent to replicas in `data_centres`, or to none.
fn note_orders(
    shared: &Shared,
    service: &str,
    balancer: &mut StageBalancer,
    due: &Due,
    data_centres: &[Zone],
) {
    let now = shared.clock.now();
    let is_sent = !data_centres.is_empty();
    match &due.need {
        Some(need) if is_sent => {
            version_stages::order_sent(shared, service, &need.software, data_centres);
        }
        Some(need) => return version_stages::order_failed(shared, service, need),
        None => {}
    }
    if is_sent {
        balancer.order_sent(now);
    } else {
        balancer.order_failed();
    }
}

async fn rebalance(shared: &Shared, service: &str, kept: &mut ServiceOrders, share: f64) {
    let now = shared.clock.now();
    let counts = shared.pool.borrow().stage_counts(now, service);
    let due = find_due(shared, service, &mut kept.balancer, counts, share);
    let is_owner = shared.members.borrow().is_owner(Pool::new(service).0);
    let Some(due) = due.filter(|_| is_owner) else {
        return;
    };
    let stage = due.change.stage;
    let orders = select_orders(shared, service, &due).await;
    let claimed = if orders.is_empty() {
        Err("no engine is available for an order".to_owned())
    } else {
        kept.claimant.claim(shared, service).await
    };
    let balancer = &mut kept.balancer;
    let (claim, claimed_at) = match claimed {
        Ok(claimed) => claimed,
        Err(cause) => {
            note_orders(shared, service, balancer, &due, &[]);
            log::warn!(kind = "order", service = service, stage = format!("{stage:?}"), cause = cause; "no order was sent");
            return;
        }
    };
    // At once: a claim is too short for several slow answers in turn.
    let outcomes = join_all(orders.into_iter().map(async |order| {
        let replica = order.replica.clone();
        let outcome = match claimed_at.elapsed() {
            age if age > claim::MAX_CLAIM_AGE => Err(Failure::not_sent(claim::TOO_OLD)),
            _ if claim.era != shared.era() => Err(Failure::not_sent(claim::NEW_ERA)),
            _ => send_order(shared, order, stage, claim.fence()).await,
        };
        (replica, outcome)
    }));
    let mut reached = Vec::new();
    for (replica, outcome) in outcomes.await {
        match outcome {
            Ok(status) => {
                reached.push(replica.data_centre);
                log::info!(kind = "order", replica = replica.id, stage = format!("{stage:?}"), software = due.software().unwrap_or_default(), prefill = counts.prefill as u64, decode = counts.decode as u64, status = status.as_u16(); "ordered a change of stage");
            }
            Err(Failure {
                cause,
                is_uncertain,
            }) => {
                // It may still be carried out.
                reached.extend(is_uncertain.then_some(replica.data_centre));
                log::warn!(kind = "order", replica = replica.id, stage = format!("{stage:?}"), cause = cause; "no order was sent, or its outcome is unknown");
            }
        }
    }
    note_orders(shared, service, balancer, &due, &reached);
}

/// An order that can be sent.
#[derive(Debug)]
struct Order {
    key: Key,
    replica: Replica,
    /// Number of orders that the engine has accepted so far.
    accepted: u64,
}

/// An order without an answer.
#[derive(Debug)]
struct Failure {
    cause: String,
    /// Whether the order may be carried out.
    is_uncertain: bool,
}

impl Failure {
    fn not_sent(cause: &str) -> Self {
        Self {
            cause: cause.to_owned(),
            is_uncertain: false,
        }
    }
}

impl From<control::Error> for Failure {
    fn from(error: control::Error) -> Self {
        Self {
            cause: error.to_string(),
            is_uncertain: error.is_uncertain(),
        }
    }
}

/// Selects the least loaded replicas of the other stage that carry out no order at present.
async fn select_orders(shared: &Shared, service: &str, due: &Due) -> Vec<Order> {
    let from = match due.change.stage {
        Stage::Prefill => Stage::Decode,
        Stage::Decode => Stage::Prefill,
    };
    let to = Destination {
        service,
        homes: due.homes(),
        software: Version::exactly_or_any(due.software()),
    };
    let count = due.change.count;
    let mut tried = match from {
        Stage::Prefill => Vec::new(),
        Stage::Decode => version_stages::kept_decode_replicas(shared, service),
    };
    let max_tried = tried.len() + count + MAX_SKIPPED;
    let mut orders = Vec::new();
    while orders.len() < count && tried.len() < max_tried {
        let Some(key) = shared.choose(to, Some(from), &tried) else {
            break;
        };
        tried.push(key);
        let replica = shared.pool.borrow().get(key).map(|s| s.replica.clone());
        let Some(replica) = replica else { continue };
        match fetch_report(shared, key, &replica).await {
            Ok(report) if report.busy => {}
            // The engine says with the report that it is draining or wants no requests.
            Ok(_) if !shared.accepts_work(key) => {}
            // The report is from another incarnation than the listed one.
            Ok(report) if replica.compare_incarnation(report.birth) != Ordering::Equal => {}
            Ok(report) => orders.push(Order {
                key,
                replica,
                accepted: report.orders,
            }),
            Err(cause) => {
                log::info!(kind = "order", replica = replica.id, cause = cause; "an engine did not report its state");
            }
        }
    }
    orders
}

async fn fetch_report(shared: &Shared, key: Key, replica: &Replica) -> Result<Report, String> {
    let call = Call {
        key,
        to: replica.address,
        replica: replica.id.clone(),
        method: Method::GET,
        path: engine::REPORT_PATH.to_owned(),
        body: Vec::new(),
    };
    let called = control::call(shared, call).await;
    let answer = called.map_err(|error| error.to_string())?;
    let report = Report::read(&answer.body).map_err(|error| error.to_string())?;
    control::apply_report(shared, key, &report);
    Ok(report)
}

async fn send_order(
    shared: &Shared,
    order: Order,
    stage: Stage,
    fence: u64,
) -> Result<StatusCode, Failure> {
    // The engine may have said something else since it was selected.
    if let Some(cause) = shared.withheld_cause(order.key) {
        return Err(Failure::not_sent(cause));
    }
    let holder = &shared.settings().instance;
    let call = Call {
        key: order.key,
        to: order.replica.address,
        replica: order.replica.id,
        method: Method::POST,
        path: engine::ORDER_PATH.to_owned(),
        body: engine::stage_body(stage, holder, fence, order.accepted),
    };
    Ok(control::call(shared, call).await?.status)
}
