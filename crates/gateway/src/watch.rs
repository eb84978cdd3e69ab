//! What the store tells: the plan, the replicas and the other instances.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use platform::plan;
use platform::replica;
use platform::store::Row;
use platform::store::Rows;
use relay::replica::Snapshot;
use tokio::time::sleep;

use crate::card::Card;
use crate::exchange;
use crate::gossip;
use crate::shared::Shared;
use crate::store::Error;

/// How long one watch of the plan waits. Short, so that a watch that hangs on a dead connection is
/// over well before an edit has to be in force (2 s and more).
const PLAN_WAIT: Duration = Duration::from_millis(2_500);
/// Pause after a plan was read, so that edits in quick succession are read together.
const PLAN_PAUSE: Duration = Duration::from_millis(150);
/// Time between two readings of the replicas, and between two questions to the daemon that reads
/// them; a replica that leaves must get nothing 2 s later.
const REPLICAS_PERIOD: Duration = Duration::from_millis(450);
/// Time that the daemon which reads the store gets for an answer; a round trip takes some
/// milliseconds.
const NEWS_PATIENCE: Duration = Duration::from_millis(120);
/// Time between two readings of the instances by the daemon that reads the store for its data
/// centre; gossip is the faster source.
const INSTANCES_PERIOD: Duration = Duration::from_secs(6);
/// The same for the other daemons, which hear of new instances from it.
const DISTANT_PERIOD: Duration = Duration::from_secs(30);
/// Time between two readings of the instances while fewer than [`SETTLED`] readings in a row told
/// the same: at a common start, each instance writes its row after the others have read theirs.
const SETTLING_PERIOD: Duration = Duration::from_millis(700);
/// See [`SETTLING_PERIOD`].
const SETTLED: u32 = 3;
/// Pause after a failed call, so that a store in trouble is not pressed further.
const RETRY_PAUSE: Duration = Duration::from_millis(350);
/// Table in which every instance has a row with its card.
pub const INSTANCES: &str = "instances";

/// Follows the plan, forever.
pub async fn plan(shared: Rc<Shared>) {
    let mut version = None;
    loop {
        if shared.members.borrow().poller().is_some() {
            version = None;
            sleep(REPLICAS_PERIOD).await;
            continue;
        }
        let told = match version {
            None => shared.store.read(plan::TABLE).await,
            Some(version) => shared.store.watch(plan::TABLE, version, PLAN_WAIT).await,
        };
        match told {
            Ok(rows) => {
                shared.store_answered("plan");
                version = Some(rows.version);
                take_plan(&shared, &rows);
                sleep(PLAN_PAUSE).await;
            }
            Err(error @ (Error::Compacted | Error::GivenUp)) => {
                log::info!(kind = "store", step = "plan", cause = error.to_string(); "reading the plan anew");
                version = None;
            }
            Err(error) => {
                shared.store_failed("plan", &error);
                version = None;
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Keeps the replicas up to date, forever: from the daemon that reads the store for this data
/// centre, or from the store.
pub async fn replicas(shared: Rc<Shared>) {
    loop {
        let poller = shared.members.borrow().poller();
        let told = match poller {
            Some(poller) => news(&shared, poller).await,
            None => false,
        };
        let pause = match told {
            true => REPLICAS_PERIOD,
            false if read_replicas(&shared).await => REPLICAS_PERIOD,
            false => RETRY_PAUSE,
        };
        if !told && poller.is_some() {
            read_plan(&shared).await;
        }
        sleep(pause).await;
    }
}

/// Asks the daemon at `poller`; `false` if it is no good source now.
async fn news(shared: &Shared, poller: SocketAddr) -> bool {
    let news = gossip::question(shared, poller, NEWS_PATIENCE).await;
    match news {
        Some(news) if !news.is_fresh() => false,
        Some(news) if news.same && news.plan <= shared.plan_version() => {
            shared.confirm_replicas(news.replicas, news.age());
            true
        }
        Some(_) => exchange::ask(shared, poller).await,
        None => false,
    }
}

async fn read_replicas(shared: &Shared) -> bool {
    match shared.store.read(replica::TABLE).await {
        Ok(rows) => {
            shared.store_answered("replicas");
            shared.take_replicas("store", &snapshot(&rows));
            true
        }
        Err(error) => {
            shared.note_outage();
            shared.store_failed("replicas", &error);
            false
        }
    }
}

async fn read_plan(shared: &Shared) {
    match shared.store.read(plan::TABLE).await {
        Ok(rows) => {
            shared.store_answered("plan");
            take_plan(shared, &rows);
        }
        Err(error) => shared.store_failed("plan", &error),
    }
}

/// Keeps the own row among the instances and reads those of the others, forever.
pub async fn instances(shared: Rc<Shared>) {
    let mut same = 0;
    let mut count = 0;
    loop {
        let pause = match shared.store.read(INSTANCES).await {
            Ok(rows) => {
                shared.store_answered("instances");
                take_instances(&shared, &rows).await;
                same = if count == rows.rows.len() {
                    same + 1
                } else {
                    0
                };
                count = rows.rows.len();
                match shared.members.borrow().poller() {
                    _ if same < SETTLED => SETTLING_PERIOD,
                    Some(_) => DISTANT_PERIOD,
                    None => INSTANCES_PERIOD,
                }
            }
            Err(error) => {
                shared.store_failed("instances", &error);
                RETRY_PAUSE
            }
        };
        sleep(pause).await;
    }
}

fn take_plan(shared: &Shared, rows: &Rows) {
    let newest = rows.rows.iter().rev().find(|row| row.key == plan::KEY);
    let Some(value) = newest.and_then(|row| row.value.as_deref()) else {
        return;
    };
    match plan::read(value) {
        Ok(plan) => shared.take_plan("store", plan),
        Err(error) => {
            log::error!(kind = "plan", cause = error.to_string(); "a plan cannot be read; the one in force stays");
        }
    }
}

fn snapshot(rows: &Rows) -> Snapshot {
    let read = |row: &Row| match replica::read(&row.key, row.value.as_deref()?) {
        Ok(replica) => Some(replica),
        Err(error) => {
            log::warn!(kind = "replica", replica = row.key, cause = error.to_string(); "an entry cannot be read");
            None
        }
    };
    Snapshot {
        version: rows.version,
        replicas: rows.rows.iter().filter_map(read).collect(),
        lapsing: Vec::new(),
    }
}

/// Takes the cards of the instances, and writes the own one if it is missing or old.
async fn take_instances(shared: &Shared, rows: &Rows) {
    let read = |row: &Row| serde_json::from_slice::<Card>(row.value.as_deref()?).ok();
    let cards: Vec<Card> = rows.rows.iter().filter_map(read).collect();
    let own = shared.own_card();
    let listed = cards.contains(&own);
    shared.members.borrow_mut().list(shared.clock.now(), &cards);
    if listed || shared.is_stopping() {
        return;
    }
    let value = serde_json::to_vec(&own).unwrap_or_default();
    if let Err(error) = shared.store.write(INSTANCES, &own.name, &value).await {
        shared.store_failed("registering", &error);
    }
}
