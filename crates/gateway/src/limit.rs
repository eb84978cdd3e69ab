//! Enforces request limits of replicas for all daemons together: those that a replica reports, and
//! what a cold replica tolerates. Before each request to a limited replica, a daemon asks the keeper
//! of the count.

use std::rc::Rc;
use std::time::Duration;

use customer::keeper::Decision;
use customer::keeper::Purpose;
use customer::quota::Limit;
use customer::subject::Subject;
use ident::Time;
use relay::pool::Pool;
use relay::server::Key;

use crate::quota::client;
use crate::quotas::Demand;
use crate::shared::Shared;

/// Minimum rate in requests per second. The end of a limit is only visible in an answer, so requests must not stop entirely.
const MIN_RATE: f64 = 0.25;
/// Burst size in requests.
const BURST: f64 = 1.0;
/// Time for which a limited replica is throttled if the keeper does not answer or cannot decide.
const UNSURE_PAUSE: Duration = Duration::from_millis(300);
/// Minimum time for which a replica is throttled.
const MIN_PAUSE: Duration = Duration::from_millis(5);

/// Calls `choose` until it returns a replica whose limit admits the request; `None` if it returns none.
///
/// A replica that does not admit the request is throttled, and `choose` must not return throttled replicas.
pub async fn choose_admitted(shared: &Rc<Shared>, choose: impl Fn() -> Option<Key>) -> Option<Key> {
    loop {
        let key = choose()?;
        if try_admit(shared, key).await {
            return Some(key);
        }
    }
}

/// Asks whether a request may be sent to the replica `key` now, and throttles the replica if not.
async fn try_admit(shared: &Rc<Shared>, key: Key) -> bool {
    let demand = demand(&shared.pool.borrow(), shared.clock.now(), key);
    let Some(demand) = demand else {
        return true;
    };
    let purpose = Purpose::Run { patience_ms: 0 };
    let reply = client::ask(shared, demand, purpose).await;
    let decision = reply.map(|reply| reply.answer.decision);
    let pause = match decision {
        Some(Decision::Granted { .. }) => return true,
        Some(Decision::Refused { come_back_ms }) => Duration::from_millis(come_back_ms.into()),
        _ => UNSURE_PAUSE,
    };
    let mut pool = shared.pool.borrow_mut();
    pool.throttle(key, shared.clock.now() + pause.max(MIN_PAUSE));
    let replica = pool.get(key).map_or("", |server| &server.replica.id);
    log::info!(kind = "limit", replica = replica, rate = demand.limit.rate, decision = format!("{decision:?}"), pause_ms = pause.as_millis() as u64; "replica throttled by its request limit");
    false
}

/// The units that a request takes from the limit of `key`; `None` if the replica has no limit.
fn demand(pool: &Pool, now: Time, key: Key) -> Option<Demand> {
    Some(Demand {
        subject: Subject::Replica(pool.get(key)?.hash),
        limit: Limit {
            rate: pool.request_limit(now, key)?.max(MIN_RATE),
            burst: BURST,
        },
        units: 1.0,
        standing: None,
    })
}
