//! Telling the other daemons of requests under which replicas ended.

use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::timeout_at;
use relay::fingerprint::Fingerprint;
use relay::quarantine::Record;

use crate::gossip;
use crate::shared::Shared;

/// When a record is told, counted from the end of the replica: datagrams may be lost, and a request that comes
/// again some seconds later must meet daemons that know of it. One with a single end is told in the first round
/// alone: when many replicas end together, thousands of sound requests have one.
const ROUNDS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(250),
    Duration::from_secs(1),
];

/// A record that is to be told.
#[derive(Debug, Clone, Copy)]
struct Telling {
    fingerprint: Fingerprint,
    begun: Instant,
    /// Rounds in which it was told.
    told: usize,
}

impl Telling {
    fn new(fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint,
            begun: Instant::now(),
            told: 0,
        }
    }

    /// When it is told next; `None` if that is over.
    fn due(&self) -> Option<Instant> {
        ROUNDS.get(self.told).map(|delay| self.begun + *delay)
    }
}

/// Tells all peers of what this daemon notes, forever.
pub async fn run(shared: Rc<Shared>) {
    let mut tellings: Vec<Telling> = Vec::new();
    loop {
        for fingerprint in shared.unannounced.take() {
            tellings.retain(|telling| telling.fingerprint != fingerprint);
            tellings.push(Telling::new(fingerprint));
        }
        let records = take_due(&shared, &mut tellings);
        tell(&shared, &records).await;
        let added = shared.unannounced.added();
        match tellings.iter().filter_map(Telling::due).min() {
            // Whichever is first: something new, or the next round.
            Some(due) => {
                let _ = timeout_at(due, added).await;
            }
            None => added.await,
        }
    }
}

/// The records that are due, each of which is one round further then.
fn take_due(shared: &Shared, tellings: &mut Vec<Telling>) -> Vec<Record> {
    let now = Instant::now();
    let quarantine = shared.quarantine.borrow();
    let mut records = Vec::new();
    for telling in tellings.iter_mut() {
        if telling.due().is_none_or(|due| due > now) {
            continue;
        }
        let record = quarantine.get(telling.fingerprint);
        let single = record.is_some_and(|record| record.ends.len() == 1);
        if telling.told == 0 || !single {
            records.extend(record.cloned());
        }
        telling.told += 1;
    }
    tellings.retain(|telling| telling.due().is_some());
    records
}

async fn tell(shared: &Shared, records: &[Record]) {
    if records.is_empty() {
        return;
    }
    let peers = shared.members.borrow().peer_addresses();
    for peer in peers {
        gossip::send_records(shared, peer, records).await;
    }
}
