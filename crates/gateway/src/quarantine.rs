//! Finding out whether replicas ended while at work on a request, telling the other daemons, and keeping it in the store.

pub mod announce;
pub mod probe;
pub mod storage;

use std::rc::Rc;
use std::time::Duration;

use boottime::timer::sleep;
use rand::seq::IndexedRandom;

use crate::clock;
use crate::exchange;
use crate::shared::Shared;

/// Time between two looks for records whose time is over.
const SWEEP_PERIOD: Duration = Duration::from_mins(1);
/// Pause between two looks for a peer to ask at the start.
const PEER_PAUSE: Duration = Duration::from_millis(100);
/// Such looks at most; a daemon that is alone has nobody to ask.
const MAX_TRIES: u32 = 30;

/// Forgets records whose time is over, forever.
pub async fn remove_expired(shared: Rc<Shared>) {
    loop {
        shared.quarantine.borrow_mut().sweep(clock::unix());
        sleep(SWEEP_PERIOD).await;
    }
}

/// Asks a peer for all records once this daemon has started; the store has only those that nearly quarantine a request.
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
