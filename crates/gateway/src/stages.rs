//! Orders to engines to change their stage.
//!
//! Engines do not all check fencing tokens, and an order without an answer may be carried out many
//! seconds later. So at most one daemon gives orders for a service in any [`TERM`], by the store's
//! clock: before an order it writes a row under a condition, and the version of the row is the
//! fencing token. An order is given only within [`FRESH`] of that write, so that a daemon that was
//! frozen meanwhile gives none.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::sleep;
use http::Method;
use http::StatusCode;
use ident::Pool;
use platform::engine;
use platform::engine::Report;
use platform::store::Rows;
use relay::balance::Rebalance;
use relay::balance::StageBalancer;
use relay::replica::Replica;
use relay::replica::Stage;
use relay::server::Key;
use serde::Deserialize;
use serde::Serialize;

use crate::control;
use crate::control::Call;
use crate::shared::Shared;
use crate::store::Error;

/// Table with one row for each service, which tells who gave the last order and when.
const ORDERS: &str = "orders";
/// Time between two looks at the division.
const PERIOD: Duration = Duration::from_millis(500);
/// Time after an order in which no other daemon gives one: orders without an answer are carried out
/// up to 12 s later, and holders must not take turns within 3 s.
const TERM: Duration = Duration::from_secs(16);
/// Time after the write of the row in which the order may be given.
const FRESH: Duration = Duration::from_millis(400);
/// Engines that are passed over in one round because they are busy or silent.
const MAX_BUSY: usize = 3;

/// Who gave the last order for a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Term {
    holder: String,
    /// The store's clock, in milliseconds.
    at_ms: u64,
}

/// Watches the division of each model's replicas, forever.
pub async fn run(shared: Rc<Shared>) {
    let mut balances: HashMap<String, StageBalancer> = HashMap::new();
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
            let balance = balances.entry(service.clone());
            let balance = balance.or_insert_with(|| StageBalancer::new(engine.stage_change));
            look(&shared, service, balance, share).await;
        }
    }
}

async fn look(shared: &Shared, service: &str, balance: &mut StageBalancer, share: f64) {
    let now = shared.clock.now();
    let counts = shared.pool.borrow().stage_counts(now, service);
    let due = balance.due(now, counts, share);
    let owns = shared.members.borrow().owns(Pool::new(service).0);
    let Some(due) = due.filter(|_| owns) else {
        return;
    };
    let orders = prepare(shared, service, due).await;
    let claimed = if orders.is_empty() {
        Err("no engine can take an order".to_owned())
    } else {
        claim(shared, service).await
    };
    let (fence, written) = match claimed {
        Ok(claimed) => claimed,
        Err(cause) => {
            balance.order_failed();
            log::warn!(kind = "order", service = service, stage = format!("{:?}", due.stage), cause = cause; "no order is given");
            return;
        }
    };
    let mut given = false;
    for order in orders {
        let replica = order.replica.id.clone();
        let outcome = match written.elapsed() {
            age if age > FRESH => Err("the claim is too old".to_owned()),
            _ => give(shared, order, due.stage, fence).await,
        };
        match outcome {
            Ok(status) => {
                given = true;
                log::info!(kind = "order", replica = replica, stage = format!("{:?}", due.stage), prefill = counts.prefill as u64, decode = counts.decode as u64, status = status.as_u16(); "ordered a change of stage");
            }
            Err(cause) => {
                log::warn!(kind = "order", replica = replica, stage = format!("{:?}", due.stage), cause = cause; "no order was given, or its outcome is unknown");
            }
        }
    }
    if given {
        balance.order_sent(now);
    } else {
        balance.order_failed();
    }
}

/// An order that can be given.
#[derive(Debug)]
struct Order {
    replica: Replica,
    /// Orders that the engine has taken so far.
    taken: u64,
}

/// Orders to the least loaded replicas of the other stage that carry none out at present.
async fn prepare(shared: &Shared, service: &str, due: Rebalance) -> Vec<Order> {
    let from = match due.stage {
        Stage::Prefill => Stage::Decode,
        Stage::Decode => Stage::Prefill,
    };
    let mut asked: Vec<Key> = Vec::new();
    let mut orders = Vec::new();
    while orders.len() < due.count && asked.len() < due.count + MAX_BUSY {
        let Some(key) = shared.choose(service, Some(from), &asked) else {
            break;
        };
        asked.push(key);
        let replica = shared.pool.borrow().get(key).map(|s| s.replica.clone());
        let Some(replica) = replica else { continue };
        match report(shared, &replica).await {
            Ok(report) if report.busy => {}
            // What it counted is of another incarnation than the one that is listed.
            Ok(report) if replica.compare_incarnation(report.birth) != Ordering::Equal => {}
            Ok(report) => orders.push(Order {
                replica,
                taken: report.orders,
            }),
            Err(cause) => {
                log::info!(kind = "order", replica = replica.id, cause = cause; "an engine did not tell its state");
            }
        }
    }
    orders
}

async fn report(shared: &Shared, replica: &Replica) -> Result<Report, String> {
    let call = Call {
        to: replica.address,
        replica: replica.id.clone(),
        method: Method::GET,
        path: engine::REPORT_PATH.to_owned(),
        body: Vec::new(),
    };
    let called = control::call(shared, call).await;
    let answer = called.map_err(|error| error.to_string())?;
    Report::read(&answer.body).map_err(|error| error.to_string())
}

async fn give(
    shared: &Shared,
    order: Order,
    stage: Stage,
    fence: u64,
) -> Result<StatusCode, String> {
    let holder = &shared.settings().instance;
    let call = Call {
        to: order.replica.address,
        replica: order.replica.id,
        method: Method::POST,
        path: engine::ORDER_PATH.to_owned(),
        body: engine::stage_body(stage, holder, fence, order.taken),
    };
    let called = control::call(shared, call).await;
    let answer = called.map_err(|error| error.to_string())?;
    Ok(answer.status)
}

/// Becomes the one that gives orders for `service`; gives the fencing token and the time at which
/// the write was begun.
async fn claim(shared: &Shared, service: &str) -> Result<(u64, Instant), String> {
    let rows = shared
        .store
        .read(ORDERS)
        .await
        .map_err(|error| text(&error))?;
    let held = rows.rows.iter().find(|row| row.key == service);
    let value = held.and_then(|row| row.value.as_deref());
    let term = value.and_then(|value| serde_json::from_slice::<Term>(value).ok());
    let holder = &shared.settings().instance;
    if term.is_some_and(|term| term.holder != *holder && !is_over(&term, &rows)) {
        return Err("another daemon gave the last order".to_owned());
    }
    let own = Term {
        holder: holder.clone(),
        at_ms: rows.now_ms,
    };
    let value = serde_json::to_vec(&own).map_err(|error| error.to_string())?;
    let version = held.map_or(0, |row| row.version);
    let begun = Instant::now();
    let swapped = shared.store.swap(ORDERS, service, &value, version).await;
    Ok((swapped.map_err(|error| text(&error))?, begun))
}

fn is_over(term: &Term, rows: &Rows) -> bool {
    rows.now_ms.saturating_sub(term.at_ms) > TERM.as_millis() as u64
}

fn text(error: &Error) -> String {
    error.to_string()
}
