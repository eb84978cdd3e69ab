//! Probes the replicas of services that may be unreachable, by connections without a request.

use std::rc::Rc;
use std::time::Duration;

use boottime::timer::sleep;
use futures::future::join_all;
use relay::server::Key;

use crate::shared::Shared;

/// Pause between two rounds of probes.
const PERIOD: Duration = Duration::from_millis(400);

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

async fn probe(shared: &Shared, service: &str) {
    let targets = shared
        .pool
        .borrow()
        .probe_targets(service, None, rand::random);
    let accepted = join_all(targets.iter().map(|key| probe_replica(shared, *key))).await;
    let reached = accepted.iter().filter(|accepted| **accepted).count();
    shared.note_reach_probes(service, reached, targets.len());
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
