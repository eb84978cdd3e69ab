//! Finds out whether replicas ended while at work on a request, announces it to other daemons and
//! stores it.

pub mod announce;
pub mod clear;
pub mod probe;
pub mod rewriting;
pub mod storage;

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use boottime::timer::sleep;
use rand::seq::IndexedRandom;

use crate::clock;
use crate::exchange;
use crate::shared::Shared;

/// Interval between removals of expired records.
const SWEEP_PERIOD: Duration = Duration::from_mins(1);
/// Pause between attempts to fetch the records at the start, until the first peer answers.
const PEER_PAUSE: Duration = Duration::from_millis(100);
/// Pause between attempts to fetch them from further peers, which may become known later.
const FURTHER_PEER_PAUSE: Duration = Duration::from_secs(1);
/// Peers that are asked: one that has just started itself has no records.
const RECORD_SOURCES: usize = 3;
/// Maximum number of attempts; a daemon may have fewer peers.
const MAX_TRIES: u32 = 30;

/// Removes expired records, forever.
pub async fn remove_expired(shared: Rc<Shared>) {
    loop {
        shared.quarantine.borrow_mut().remove_expired(clock::unix());
        sleep(SWEEP_PERIOD).await;
    }
}

/// Fetches all records from several peers once this daemon is ready; the store has only those of
/// suspect contents.
pub async fn fetch_records(shared: Rc<Shared>) {
    while !shared.is_ready() {
        sleep(PEER_PAUSE).await;
    }
    let mut sources = HashSet::new();
    for _ in 0..MAX_TRIES {
        let mut peers = shared.members.borrow().peer_addresses();
        peers.retain(|peer| !sources.contains(peer));
        if let Some(peer) = peers.choose(&mut rand::rng())
            && exchange::fetch_newer(&shared, *peer).await
        {
            sources.insert(*peer);
        }
        match sources.len() {
            RECORD_SOURCES.. => break,
            0 => sleep(PEER_PAUSE).await,
            _ => sleep(FURTHER_PEER_PAUSE).await,
        }
    }
    // Without any, the next exchange with a peer asks for all records.
    if !sources.is_empty() {
        shared.note_all_records();
    }
}
