//! Finds out whether replicas ended while at work on a request, announces it to other daemons and
//! stores it.

pub mod announce;
pub mod clear;
pub mod probe;
pub mod storage;

use std::rc::Rc;
use std::time::Duration;

use boottime::timer::sleep;
use rand::seq::IndexedRandom;

use crate::clock;
use crate::exchange;
use crate::shared::Shared;

/// Interval between removals of expired records.
const SWEEP_PERIOD: Duration = Duration::from_mins(1);
/// Pause between attempts to fetch the records at the start.
const PEER_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of attempts; a daemon that is alone has no peer.
const MAX_TRIES: u32 = 30;

/// Removes expired records, forever.
pub async fn remove_expired(shared: Rc<Shared>) {
    loop {
        shared.quarantine.borrow_mut().remove_expired(clock::unix());
        sleep(SWEEP_PERIOD).await;
    }
}

/// Fetches all records from a peer once this daemon is ready; the store has only those of suspect
/// requests.
pub async fn fetch_records(shared: Rc<Shared>) {
    while !shared.is_ready() {
        sleep(PEER_PAUSE).await;
    }
    for _ in 0..MAX_TRIES {
        if shared.has_all_records() {
            return;
        }
        let peers = shared.members.borrow().peer_addresses();
        if let Some(peer) = peers.choose(&mut rand::rng()) {
            exchange::fetch_newer(&shared, *peer).await;
        }
        sleep(PEER_PAUSE).await;
    }
}
