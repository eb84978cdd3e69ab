//! Records replicas that were removed from the list.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::replica::Birth;
use crate::replica::Replica;
use crate::revision::Revision;

/// Minimum number of records that are kept.
const MIN_KEPT: usize = 2_000;

/// A removed replica.
#[derive(Debug)]
struct Tombstone {
    /// Version at which it was missing.
    version: Revision,
    /// Start time of its last incarnation.
    birth: Option<Birth>,
    /// Number of entries that this incarnation had written.
    writes: u64,
    /// Whether its row was there when it was last read, and no entry of a replica; such a row counts as
    /// removed each time it is written.
    is_unreadable: bool,
}

/// Removed replicas, so that peers can be sent changes instead of the whole list, and that a store
/// which comes back from a copy does not bring them back.
#[derive(Debug, Default)]
pub(crate) struct Tombstones {
    /// The records, by id.
    records: HashMap<String, Tombstone>,
    /// Ids with their versions, in order; those that `records` does not have are void.
    order: VecDeque<(Revision, String)>,
    /// The version since which the records are complete.
    pub(crate) since: Revision,
}

impl Tombstones {
    /// Returns whether `id` is recorded as removed.
    pub(crate) fn contains(&self, id: &str) -> bool {
        self.records.contains_key(id)
    }

    /// Whether the removal of `id` after version `since` is the recorded one, or its row `is_unreadable`
    /// as before, and it is not that of a replica which came back under its id.
    pub(crate) fn explains(&self, since: Revision, id: &str, is_unreadable: bool) -> bool {
        let is_explained = |removed: &Tombstone| {
            removed.version > since || (is_unreadable && removed.is_unreadable)
        };
        self.records.get(id).is_some_and(is_explained)
    }

    /// Records that the row of `id`, which counts as removed, is there and no entry of a replica.
    pub(crate) fn note_unreadable(&mut self, id: &str) {
        if let Some(removed) = self.records.get_mut(id) {
            removed.is_unreadable = true;
        }
    }

    /// Whether `replica` is an entry of an incarnation that was removed in an era before `era`, and
    /// not newer than its last known one.
    pub(crate) fn predates_removal(&self, era: u64, replica: &Replica) -> bool {
        self.records.get(&replica.id).is_some_and(|removed| {
            removed.version.era < era && !replica.is_newer_than(removed.birth, removed.writes)
        })
    }

    /// Removes the record of `id`, which is listed again.
    pub(crate) fn remove(&mut self, id: &str) {
        self.records.remove(id);
    }

    /// Records that `replica` is missing at `version`. Drops the oldest records if there are more
    /// than listed replicas: then the whole list is hardly larger than the changes.
    pub(crate) fn add(&mut self, version: Revision, replica: &Replica, listed: usize) {
        let record = Tombstone {
            version,
            birth: replica.birth,
            writes: replica.writes,
            is_unreadable: false,
        };
        self.insert(&replica.id, record, listed);
    }

    /// Records that a replica `id` which was not listed here is missing at `version`.
    pub(crate) fn add_unseen(&mut self, version: Revision, id: &str, listed: usize) {
        let known = self.records.get(id);
        let record = Tombstone {
            version,
            birth: known.and_then(|removed| removed.birth),
            writes: known.map_or(0, |removed| removed.writes),
            is_unreadable: false,
        };
        self.insert(id, record, listed);
    }

    fn insert(&mut self, id: &str, record: Tombstone, listed: usize) {
        self.order.push_back((record.version, id.to_owned()));
        self.records.insert(id.to_owned(), record);
        while self.order.len() > listed.max(MIN_KEPT) {
            let Some((version, id)) = self.order.pop_front() else {
                return;
            };
            if self.is_valid(version, &id) {
                self.records.remove(&id);
            }
            self.since = self.since.max(version);
        }
    }

    /// Ids that have been missing since a version after `since`.
    pub(crate) fn after(&self, since: Revision) -> impl Iterator<Item = &str> {
        let first = self.order.partition_point(|(version, _)| *version <= since);
        let records = self.order.range(first..);
        let valid = records.filter(|(version, id)| self.is_valid(*version, id));
        valid.map(|(_, id)| id.as_str())
    }

    fn is_valid(&self, version: Revision, id: &str) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| record.version == version)
    }
}
