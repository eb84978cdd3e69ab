//! Announces to the other daemons requests under which replicas ended.

use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::timeout_at;
use relay::fingerprint::Fingerprint;
use relay::quarantine::record::Record;

use crate::gossip;
use crate::shared::Shared;

/// When a record is sent, counted from when this daemon last changed it because a replica ended
/// under the request or served it; each such change starts the rounds again. There are several
/// rounds because datagrams may be lost, and all daemons must know of a request that is retried
/// some seconds later. A record with a single end is sent in the first round only: when many
/// replicas end together, thousands of harmless requests have one.
const ROUNDS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(250),
    Duration::from_secs(1),
];

/// A record that has to be sent.
#[derive(Debug, Clone, Copy)]
struct Announcement {
    fingerprint: Fingerprint,
    started: Instant,
    /// Completed rounds.
    rounds: usize,
}

impl Announcement {
    fn new(fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint,
            started: Instant::now(),
            rounds: 0,
        }
    }

    /// Time of the next round; `None` after the last.
    fn due(&self) -> Option<Instant> {
        ROUNDS.get(self.rounds).map(|delay| self.started + *delay)
    }
}

/// Sends the records that this daemon adds to all peers, forever.
pub async fn run(shared: Rc<Shared>) {
    let mut announcements: Vec<Announcement> = Vec::new();
    loop {
        for fingerprint in shared.unannounced.take() {
            announcements.retain(|announcement| announcement.fingerprint != fingerprint);
            announcements.push(Announcement::new(fingerprint));
        }
        let records = take_due(&shared, &mut announcements);
        send(&shared, &records).await;
        let added = shared.unannounced.added();
        match announcements.iter().filter_map(Announcement::due).min() {
            // Until a request is added or the next round is due.
            Some(due) => {
                let _ = timeout_at(due, added).await;
            }
            None => added.await,
        }
    }
}

/// Takes the records that are due and advances each by one round.
fn take_due(shared: &Shared, announcements: &mut Vec<Announcement>) -> Vec<Record> {
    let now = Instant::now();
    let quarantine = shared.quarantine.borrow();
    let mut records = Vec::new();
    for announcement in announcements.iter_mut() {
        if announcement.due().is_none_or(|due| due > now) {
            continue;
        }
        let record = quarantine.get(announcement.fingerprint);
        let has_one_end = record.is_some_and(|record| record.ends.len() == 1);
        if announcement.rounds == 0 || !has_one_end {
            records.extend(record.cloned());
        }
        announcement.rounds += 1;
    }
    announcements.retain(|announcement| announcement.due().is_some());
    records
}

async fn send(shared: &Shared, records: &[Record]) {
    if records.is_empty() {
        return;
    }
    let peers = shared.members.borrow().peer_addresses();
    for peer in peers {
        gossip::send_records(shared, peer, records).await;
    }
}
