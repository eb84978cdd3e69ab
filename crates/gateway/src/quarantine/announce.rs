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
struct Announcement {
    fingerprint: Fingerprint,
    started: Instant,
    /// Rounds in which it was told.
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

    /// When it is told next; `None` if that is over.
    fn due(&self) -> Option<Instant> {
        ROUNDS.get(self.rounds).map(|delay| self.started + *delay)
    }
}

/// Tells all peers of what this daemon notes, forever.
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
            // Whichever is first: something new, or the next round.
            Some(due) => {
                let _ = timeout_at(due, added).await;
            }
            None => added.await,
        }
    }
}

/// The records that are due, each of which is one round further then.
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
