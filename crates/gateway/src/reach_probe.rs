//! Probes the replicas of services that may be unreachable, by connections without a request.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use boottime::timer::sleep;
use boottime::timer::timeout;
use futures::future::join;
use futures::future::join_all;
use relay::server::Key;

use crate::shared::Shared;

/// Pause between two rounds of probes.
const PERIOD: Duration = Duration::from_millis(400);
/// Replicas of a service probed first.
const FEW_PROBES: usize = 3;
/// Replicas probed before the service counts as unreachable, or all if it has fewer: half of those
/// that are listed may have ended with a data centre.
const MANY_PROBES: usize = 16;
/// Time for the answer of the first ones; replicas in reach accept a connection sooner.
const WIDEN_AFTER: Duration = Duration::from_millis(50);

/// Probes random replicas of each doubtful service, until it is known to be reachable; forever.
pub async fn run(shared: Rc<Shared>) {
    loop {
        let doubtful: Vec<String> = {
            let pool = shared.pool.borrow();
            pool.reach().doubtful().map(str::to_owned).collect()
        };
        if doubtful.is_empty() {
            shared.reach_doubted.notified().await;
            continue;
        }
        join_all(doubtful.iter().map(|service| probe(&shared, service))).await;
        // Silent replicas of services that turned out to be reachable are reported now.
        shared.runs_changed.notify_one();
        sleep(PERIOD).await;
    }
}

impl Shared {
    /// Probes random replicas of `service`; returns whether it is reachable.
    pub async fn verify_reach(&self, service: &str) -> bool {
        probe(self, service).await;
        !self.pool.borrow().reach().is_doubtful(service)
    }
}

/// Probes a few random replicas of `service`, and many unless one of the few soon accepts a
/// connection. Few are enough while it is unreachable.
async fn probe(shared: &Shared, service: &str) {
    let many = {
        let pool = shared.pool.borrow();
        pool.probe_targets(shared.clock.now(), service, MANY_PROBES, rand::random)
    };
    let (few, others) = many.split_at(many.len().min(FEW_PROBES));
    let reached = Cell::new(0);
    let mut first = std::pin::pin!(probe_replicas(shared, few, &reached));
    let is_done = timeout(WIDEN_AFTER, &mut first).await.is_ok();
    let is_narrow = reached.get() > 0 || shared.is_unreachable(service);
    let others = if is_narrow { &[] } else { others };
    let second = probe_replicas(shared, others, &reached);
    if is_done {
        second.await;
    } else {
        join(first, second).await;
    }
    shared.note_reach_probes(service, reached.get(), few.len() + others.len());
}

/// Probes the replicas `keys`, and counts in `reached` those that accept a connection.
async fn probe_replicas(shared: &Shared, keys: &[Key], reached: &Cell<usize>) {
    let probes = keys.iter().map(async |key| {
        let accepts = probe_replica(shared, *key).await;
        reached.set(reached.get() + usize::from(accepts));
    });
    join_all(probes).await;
}

async fn probe_replica(shared: &Shared, key: Key) -> bool {
    let address = shared.pool.borrow().get(key).map(|s| s.replica.address);
    let Some(address) = address else { return false };
    let accepts = shared.connections.connector.is_accepted(address).await;
    if accepts {
        shared.note_reached(key);
    } else {
        shared.note_unreached(key);
    }
    accepts
}
