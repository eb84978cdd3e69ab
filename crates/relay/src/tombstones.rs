//! Records replicas that were removed from the list.

use std::collections::VecDeque;

/// Maximum number of records; a fleet of 930 replaces about a hundred replicas a day.
const MAX_GONE: usize = 2_000;

/// Ids of removed replicas, so that peers can be sent changes instead of the whole list.
#[derive(Debug, Default)]
pub(crate) struct Tombstones {
    /// Ids with the version at which they were missing, in order.
    pub(crate) ids: VecDeque<(u64, String)>,
    /// The version since which `ids` is complete.
    pub(crate) since: u64,
}

impl Tombstones {
    /// Returns whether `id` is recorded as removed.
    pub(crate) fn contains(&self, id: &str) -> bool {
        self.ids.iter().any(|(_, gone_id)| gone_id == id)
    }

    /// Removes the record of `id`, which is listed again.
    pub(crate) fn remove(&mut self, id: &str) {
        self.ids.retain(|(_, gone_id)| gone_id != id);
    }

    /// Records that `id` is missing at `version`.
    pub(crate) fn add(&mut self, version: u64, id: &str) {
        self.ids.push_back((version, id.to_owned()));
        if self.ids.len() > MAX_GONE {
            let dropped = self.ids.pop_front();
            self.since = dropped.map_or(self.since, |(version, _)| version);
        }
    }
}
