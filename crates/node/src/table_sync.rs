//! Synchronization of the table with the store and with peers.

use std::collections::BTreeMap;
use std::time::Duration;

use ident::Instance;
use ident::Time;
use ledger::ids::QueryId;

use crate::pending_edit::PendingEdit;

/// Pending reads and edits of the table, and proofs that it is current.
#[derive(Debug)]
pub(crate) struct TableSync {
    pub(crate) pending_read: Option<(QueryId, Time)>,
    /// Latest time at which the store is known, here or through a peer, to hold this generation.
    pub(crate) proved: Option<Time>,
    /// Last report of each peer.
    pub(crate) peers: BTreeMap<Instance, PeerTable>,
    pub(crate) pending_edits: BTreeMap<u64, PendingEdit>,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerTable {
    pub(crate) generation: u64,
    pub(crate) at: Time,
    pub(crate) settled: Option<Time>,
}

impl TableSync {
    pub(crate) const fn new() -> Self {
        Self {
            pending_read: None,
            proved: None,
            peers: BTreeMap::new(),
            pending_edits: BTreeMap::new(),
        }
    }

    /// Returns whether the store is known to have held nothing newer at or after `since`.
    pub(crate) fn proved_since(&self, since: Time) -> bool {
        self.proved.is_some_and(|proved| proved >= since)
    }

    /// Returns the time since the store was last known to hold nothing newer.
    pub(crate) fn store_age(&self, now: Time) -> Option<Duration> {
        self.proved.map(|proved| now.since(proved))
    }

    pub(crate) fn peer_generation(&self, instance: Instance) -> Option<u64> {
        self.peers.get(&instance).map(|peer| peer.generation)
    }
}
