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

use std::cmp::Ordering;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::sleep;
use futures::future::join_all;
use http::Method;
use http::StatusCode;
use ident::Pool;
use ident::Zone;
use platform::engine;
use platform::engine::Report;
use platform::store::Row;
use relay::balance::Rebalance;
use relay::balance::StageBalancer;
use relay::balance::StageCounts;
use relay::replica::Replica;
use relay::replica::Stage;
use relay::revision::Revision;
use relay::score::Version;
use relay::server::Key;
use serde::Deserialize;
use serde::Serialize;

use crate::control;
use crate::control::Call;
use crate::shared::Shared;
use crate::shared::choice::Destination;
use crate::store::Error;
use crate::version_stages;
use crate::version_stages::Need;

/// Table with one row for each service: the instance that sent the last order and when.
const ORDERS: &str = "orders";
/// Interval between checks of the numbers of prefill and decode replicas.
const PERIOD: Duration = Duration::from_millis(500);
/// Time after a claim during which no other daemon sends orders: orders without an answer are
/// carried out up to 12 s later, and the claim must not change hands within 3 s.
const CLAIM_DURATION: Duration = Duration::from_secs(16);
/// Time after the begin of the reading that a claim is based on during which orders may be sent. What
/// [`CLAIM_DURATION`] leaves beside the 12 s and the 3 s.
const MAX_CLAIM_AGE: Duration = Duration::from_secs(1);
/// Why no order is sent under a claim that is older.
const TOO_OLD: &str = "the claim is too old";
/// Why no order is sent after the store came back from a copy.
const NEW_ERA: &str = "claims may have been lost with the last era of the store";
/// Maximum number of engines skipped in one round because they are busy or do not answer.
const MAX_SKIPPED: usize = 3;

/// The last claim to send orders for a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    holder: String,
    /// Time of the claim by the store's clock, in milliseconds.
    at_ms: u64,
}

/// Whose claim a row holds, and its age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimAge {
    /// Of this daemon.
    Own,
    /// Of another daemon.
    Known(Duration),
    /// It cannot be read, or is not by the present clock of the store.
    Unknown,
}

impl ClaimAge {
    /// The age of the claim in `row` for the daemon `own`, at `now_ms` by the store's clock.
    fn read(row: &Row, own: &str, now_ms: u64) -> Self {
        let value = row.value.as_deref().unwrap_or_default();
        match serde_json::from_slice::<Claim>(value) {
            Ok(claim) if claim.holder == own => Self::Own,
            Ok(claim) if claim.at_ms <= now_ms => {
                Self::Known(Duration::from_millis(now_ms - claim.at_ms))
            }
            Ok(_) | Err(_) => Self::Unknown,
        }
    }
}

/// A claim without a known age, when this daemon first read it.
#[derive(Debug, Clone, Copy)]
struct UnknownClaim {
    revision: Revision,
    seen_at: Instant,
}

/// What is kept for the orders of one service.
#[derive(Debug)]
struct ServiceOrders {
    balancer: StageBalancer,
    unknown: Option<UnknownClaim>,
}

impl ServiceOrders {
    const fn new(change_time: Duration) -> Self {
        Self {
            balancer: StageBalancer::new(change_time),
            unknown: None,
        }
    }

    /// Whether the claim of `revision`, whose age is not known, may be in force: it may have been
    /// written just before this daemon first read it.
    fn may_hold(&mut self, revision: Revision) -> bool {
        let known = self.unknown.filter(|known| known.revision == revision);
        let unknown = known.unwrap_or_else(|| UnknownClaim {
            revision,
            seen_at: Instant::now(),
        });
        self.unknown = Some(unknown);
        unknown.seen_at.elapsed() <= CLAIM_DURATION
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
        claim(shared, service, kept).await
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
            age if age > MAX_CLAIM_AGE => Err(Failure::not_sent(TOO_OLD)),
            _ if claim.era != shared.era() => Err(Failure::not_sent(NEW_ERA)),
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

/// Claims the right to send orders for `service`; returns the version of the claim, which makes the
/// fencing token, and when the reading began whose time the claim bears.
async fn claim(
    shared: &Shared,
    service: &str,
    kept: &mut ServiceOrders,
) -> Result<(Revision, Instant), String> {
    if may_lack_claims(shared) {
        return Err(NEW_ERA.to_owned());
    }
    let asked_at = Instant::now();
    let rows = shared
        .store
        .read(ORDERS)
        .await
        .map_err(|error| cause(&error))?;
    let held = rows.rows.iter().find(|row| row.key == service);
    let revision = Revision::new(rows.revision.era, held.map_or(0, |row| row.version));
    let holder = &shared.settings().instance;
    match held.map(|row| ClaimAge::read(row, holder, rows.now_ms)) {
        None | Some(ClaimAge::Own) => {}
        Some(ClaimAge::Known(age)) if age > CLAIM_DURATION => {}
        Some(ClaimAge::Unknown) if !kept.may_hold(revision) => {}
        Some(ClaimAge::Known(_)) => return Err("another daemon holds the claim".to_owned()),
        Some(ClaimAge::Unknown) => {
            return Err("another daemon may hold the claim, whose age is not known".to_owned());
        }
    }
    let own = Claim {
        holder: holder.clone(),
        at_ms: rows.now_ms,
    };
    let value = serde_json::to_vec(&own).map_err(|error| error.to_string())?;
    // The row belongs to the era of this reading, which may be the first call of a new one.
    if may_lack_claims(shared) {
        return Err(NEW_ERA.to_owned());
    }
    // It would only keep others from sending.
    if asked_at.elapsed() > MAX_CLAIM_AGE {
        return Err(TOO_OLD.to_owned());
    }
    let swapped = shared.store.swap(ORDERS, service, &value, revision).await;
    Ok((swapped.map_err(|error| cause(&error))?, asked_at))
}

/// Whether the store may lack a claim under which another daemon still sends orders: it may have
/// come back from a copy that is older than the claim. A daemon that has just started cannot tell
/// whether the era that it finds is new, and waits as well, which only delays a change of stage. At
/// the first start of the whole system there are no claims.
fn may_lack_claims(shared: &Shared) -> bool {
    let is_first_start = shared.is_first_start();
    let raised = shared.store.era().time_since_raised(is_first_start);
    raised.is_some_and(|elapsed| elapsed < CLAIM_DURATION)
}

fn cause(error: &Error) -> String {
    error.to_string()
}
