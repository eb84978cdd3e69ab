//! Finding out whether replicas ended while at work on a request, and telling the other daemons.

mod inquiry;
pub mod kept;

use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::sleep;
use boottime::timer::timeout_at;
use rand::seq::IndexedRandom;
use relay::fingerprint::Fingerprint;

use crate::clock;
use crate::exchange;
use crate::gossip;
use crate::shared::Shared;

/// When a record is told, counted from the end of the replica: datagrams may be lost, and a request that comes
/// again some seconds later must meet daemons that know of it. One with a single end is told in the first round
/// alone: when many replicas end together, thousands of innocent requests have one.
const ROUNDS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(250),
    Duration::from_secs(1),
];
/// Time between two looks for records whose time is over.
const SWEEP_PERIOD: Duration = Duration::from_mins(1);
/// Pause between two looks for a peer to ask at the start.
const LOOK_AGAIN: Duration = Duration::from_millis(100);
/// Such looks at most; a daemon that is alone has nobody to ask.
const MAX_TRIES: u32 = 30;

/// A record that is to be told.
#[derive(Debug, Clone, Copy)]
struct Telling {
    fingerprint: Fingerprint,
    begun: Instant,
    /// Rounds in which it was told.
    told: usize,
}

impl Telling {
    fn due(&self) -> Option<Instant> {
        ROUNDS.get(self.told).map(|delay| self.begun + *delay)
    }
}

/// Asks lost replicas whether they are there, and tells the other daemons of those that ended, forever.
pub async fn run(shared: Rc<Shared>) {
    let mut tellings: Vec<Telling> = Vec::new();
    let mut next_sweep = Instant::now();
    loop {
        for (key, replica) in shared.inquiries.take_new() {
            tokio::task::spawn_local(inquiry::run(Rc::clone(&shared), key, replica));
        }
        for fingerprint in shared.inquiries.take_untold() {
            tellings.retain(|telling| telling.fingerprint != fingerprint);
            tellings.push(Telling {
                fingerprint,
                begun: Instant::now(),
                told: 0,
            });
        }
        tell_due(&shared, &mut tellings).await;
        if Instant::now() >= next_sweep {
            next_sweep = Instant::now() + SWEEP_PERIOD;
            shared.sweep_records(clock::unix());
        }
        let due = tellings.iter().filter_map(Telling::due).min();
        let until = due.unwrap_or(next_sweep).min(next_sweep);
        // Whichever is first: something new, or the next round.
        let _ = timeout_at(until, shared.inquiries.changed()).await;
    }
}

/// Tells all peers what is due.
async fn tell_due(shared: &Shared, tellings: &mut Vec<Telling>) {
    let now = Instant::now();
    let mut records = Vec::new();
    for telling in tellings.iter_mut() {
        if telling.due().is_none_or(|due| due > now) {
            continue;
        }
        let quarantine = shared.quarantine.borrow();
        let record = quarantine.get(telling.fingerprint);
        let single = record.is_some_and(|record| record.ends.len() == 1);
        if telling.told == 0 || !single {
            records.extend(record.cloned());
        }
        telling.told += 1;
    }
    tellings.retain(|telling| telling.due().is_some());
    if records.is_empty() {
        return;
    }
    let peers = shared.members.borrow().peers();
    for peer in peers {
        gossip::tell_records(shared, peer, &records).await;
    }
}

/// Asks a peer for all records once this daemon has started; the store has only those that nearly quarantine a request.
pub async fn catch_up(shared: Rc<Shared>) {
    while !shared.is_ready() {
        sleep(LOOK_AGAIN).await;
    }
    for _ in 0..MAX_TRIES {
        if shared.inquiries.has_caught_up() {
            return;
        }
        let peers = shared.members.borrow().peers();
        if let Some(peer) = peers.choose(&mut rand::rng()) {
            exchange::ask(&shared, *peer).await;
        }
        sleep(LOOK_AGAIN).await;
    }
}
