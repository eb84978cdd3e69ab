//! Records replicas that were removed from the list.

use std::collections::HashMap;
use std::collections::VecDeque;

/// Minimum number of records that are kept.
const MIN_KEPT: usize = 2_000;

/// Ids of removed replicas, so that peers can be sent changes instead of the whole list.
#[derive(Debug, Default)]
pub(crate) struct Tombstones {
    /// Versions at which replicas were missing, by id.
    versions: HashMap<String, u64>,
    /// Ids with their versions, in order; those that `versions` does not have are void.
    order: VecDeque<(u64, String)>,
    /// The version since which the records are complete.
    pub(crate) since: u64,
}

impl Tombstones {
    /// Returns whether `id` is recorded as removed.
    pub(crate) fn contains(&self, id: &str) -> bool {
        self.versions.contains_key(id)
    }

    /// Removes the record of `id`, which is listed again.
    pub(crate) fn remove(&mut self, id: &str) {
        self.versions.remove(id);
    }

    /// Records that `id` is missing at `version`. Drops the oldest records if there are more than
    /// listed replicas: then the whole list is hardly larger than the changes.
    pub(crate) fn add(&mut self, version: u64, id: &str, listed: usize) {
        self.versions.insert(id.to_owned(), version);
        self.order.push_back((version, id.to_owned()));
        while self.order.len() > listed.max(MIN_KEPT) {
            let Some((version, id)) = self.order.pop_front() else {
                return;
            };
            if self.versions.get(&id) == Some(&version) {
                self.versions.remove(&id);
            }
            self.since = version;
        }
    }

    /// Ids that have been missing since a version after `since`.
    pub(crate) fn after(&self, since: u64) -> impl Iterator<Item = &str> {
        let first = self.order.partition_point(|(version, _)| *version <= since);
        let records = self.order.range(first..);
        let valid = records.filter(|(version, id)| self.versions.get(id) == Some(version));
        valid.map(|(_, id)| id.as_str())
    }
}
