//! What this daemon does about the table.

use std::collections::BTreeMap;
use std::time::Duration;

use ident::Instance;
use ident::Time;
use ledger::ids::Query;

use crate::pending_edit::PendingEdit;

/// What this daemon does about the table.
#[derive(Debug)]
pub(crate) struct TableSync {
    pub(crate) pending_read: Option<(Query, Time)>,
    /// When the store was last proved to hold this generation, here or by whoever told.
    pub(crate) proved: Option<Time>,
    /// What each instance last told.
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

    /// Whether the store was proved to hold nothing newer at or after `since`.
    pub(crate) fn proved_since(&self, since: Time) -> bool {
        self.proved.is_some_and(|proved| proved >= since)
    }

    /// How long ago the store was last proved to hold nothing newer.
    pub(crate) fn store_age(&self, now: Time) -> Option<Duration> {
        self.proved.map(|proved| now.since(proved))
    }

    pub(crate) fn peer_generation(&self, instance: Instance) -> Option<u64> {
        self.peers.get(&instance).map(|peer| peer.generation)
    }
}
