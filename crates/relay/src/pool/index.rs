//! Indices of the replicas. With them, the work of a request or an update follows the replicas that
//! it concerns, not the size of the fleet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::ops::Bound;

use indexmap::IndexSet;

use crate::replica::Stage;
use crate::revision::Revision;
use crate::server::Key;
use crate::server::Server;

/// Keys of the replicas of one stage of a service.
type Group = IndexSet<Key>;

/// Finds replicas by what is known of them.
#[derive(Debug, Default)]
pub(super) struct Index {
    by_id: HashMap<String, Key>,
    by_hash: HashMap<u64, Key>,
    groups: HashMap<String, HashMap<Option<Stage>, Group>>,
    /// All replicas by the version of the store at which their entries last changed.
    by_change: BTreeMap<Revision, BTreeSet<Key>>,
    /// Sum of the hashes of the listed entries, which does not depend on their order.
    digest: u64,
}

impl Index {
    /// Adds `server`.
    pub(super) fn insert(&mut self, key: Key, server: &Server) {
        let replica = &server.replica;
        self.by_id.insert(replica.id.clone(), key);
        self.by_hash.insert(server.hash, key);
        let stages = self.groups.entry(replica.service.clone()).or_default();
        stages.entry(replica.stage).or_default().insert(key);
        let changed = self.by_change.entry(server.changed).or_default();
        changed.insert(key);
        if server.is_listed() {
            self.digest = self.digest.wrapping_add(server.entry_hash);
        }
    }

    /// Removes `server`, with the values that it had when it was added.
    pub(super) fn remove(&mut self, key: Key, server: &Server) {
        let replica = &server.replica;
        self.by_id.remove(&replica.id);
        self.by_hash.remove(&server.hash);
        let stages = self.groups.get_mut(&replica.service);
        if let Some(group) = stages.and_then(|stages| stages.get_mut(&replica.stage)) {
            group.swap_remove(&key);
        }
        if let Some(changed) = self.by_change.get_mut(&server.changed) {
            changed.remove(&key);
            if changed.is_empty() {
                self.by_change.remove(&server.changed);
            }
        }
        if server.is_listed() {
            self.digest = self.digest.wrapping_sub(server.entry_hash);
        }
    }

    /// The replica `id`.
    pub(super) fn by_id(&self, id: &str) -> Option<Key> {
        self.by_id.get(id).copied()
    }

    /// The replica with the hash `hash`.
    pub(super) fn by_hash(&self, hash: u64) -> Option<Key> {
        self.by_hash.get(&hash).copied()
    }

    /// The replicas of `stage` of `service`.
    pub(super) fn group(&self, service: &str, stage: Option<Stage>) -> impl Iterator<Item = Key> {
        let stages = self.groups.get(service);
        let group = stages.and_then(|stages| stages.get(&stage));
        group.into_iter().flatten().copied()
    }

    /// The replicas of `service`.
    pub(super) fn of_service(&self, service: &str) -> impl Iterator<Item = Key> {
        let stages = self.groups.get(service).into_iter();
        stages.flat_map(|stages| stages.values().flatten().copied())
    }

    /// Number of replicas of `service`.
    pub(super) fn count(&self, service: &str) -> usize {
        let stages = self.groups.get(service);
        stages.map_or(0, |stages| stages.values().map(IndexSet::len).sum())
    }

    /// The replica of `service` at `fraction`, from 0 to 1, of all its replicas.
    pub(super) fn at(&self, service: &str, fraction: f64) -> Option<Key> {
        let stages = self.groups.get(service)?;
        let mut position = (fraction * self.count(service) as f64) as usize;
        for group in stages.values() {
            match group.get_index(position) {
                Some(key) => return Some(*key),
                None => position -= group.len(),
            }
        }
        None
    }

    /// The replicas whose entries changed after `version`.
    pub(super) fn changed_after(&self, version: Revision) -> impl Iterator<Item = Key> {
        let changed = self
            .by_change
            .range((Bound::Excluded(version), Bound::Unbounded));
        changed.flat_map(|(_, keys)| keys).copied()
    }

    /// Hash of the listed entries.
    pub(super) const fn digest(&self) -> u64 {
        self.digest
    }
}
