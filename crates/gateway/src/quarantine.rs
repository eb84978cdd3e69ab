//! Finding out whether replicas ended while at work on a request, and telling the other daemons.

mod inquiry;
pub mod kept;

use std::rc::Rc;
use std::time::Duration;

use relay::fingerprint::Fingerprint;
use relay::quarantine::Record;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::clock;
use crate::exchange;
use crate::gossip;
use crate::shared::Shared;

pub use inquiry::Inquiries;

/// When a record is told, counted from the end of the replica: datagrams may be lost, and a request that comes
/// again some seconds later must meet daemons that know of it.
const ROUNDS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(250),
    Duration::from_secs(1),
];
/// Records in one datagram: 75 bytes each, and 200 for its head.
const MAX_TOLD: usize = 12;
/// Time between two looks for records whose time is over.
const SWEEP_PERIOD: Duration = Duration::from_mins(1);
/// Time that datagrams on their way get before a peer whose records differ is asked for them.
const PATIENCE: Duration = Duration::from_millis(300);
/// Pause after such a question.
const PAUSE: Duration = Duration::from_millis(700);

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
        if telling.due().is_some_and(|due| due <= now) {
            telling.told += 1;
            records.extend(shared.quarantine.borrow().get(telling.fingerprint).cloned());
        }
    }
    tellings.retain(|telling| telling.due().is_some());
    if records.is_empty() {
        return;
    }
    let peers = shared.members.borrow().peers();
    for peer in peers {
        tell(shared, peer, &records).await;
    }
}

/// Tells the daemon at `peer` of `records`.
pub async fn tell(shared: &Shared, peer: std::net::SocketAddr, records: &[Record]) {
    for some in records.chunks(MAX_TOLD) {
        gossip::tell_records(shared, peer, some.to_vec()).await;
    }
}

/// Compares records with `peer`, whose hash of them is `digest`, once what is on its way has come.
pub fn compare(shared: Rc<Shared>, peer: std::net::SocketAddr, digest: u64) {
    if !shared.inquiries.begin_comparing() {
        return;
    }
    tokio::task::spawn_local(async move {
        sleep(PATIENCE).await;
        if shared.quarantine.borrow().digest() != digest {
            exchange::ask(&shared, peer).await;
            sleep(PAUSE).await;
        }
        shared.inquiries.end_comparing();
    });
}
