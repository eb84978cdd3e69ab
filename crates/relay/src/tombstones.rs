//! Replicas that left the list.

use std::collections::VecDeque;

/// Replicas no longer listed that are remembered for peers; a fleet of 930 replaces some hundred a day.
const MAX_GONE: usize = 2_000;

/// Replicas that are no longer listed, so that peers can be told of changes alone.
#[derive(Debug, Default)]
pub(crate) struct Tombstones {
    /// Ids with the version at which they were missing, in order.
    pub(crate) ids: VecDeque<(u64, String)>,
    /// The version from which on `ids` is complete.
    pub(crate) since: u64,
}

impl Tombstones {
    /// Returns whether `id` is recorded as no longer listed.
    pub(crate) fn contains(&self, id: &str) -> bool {
        self.ids.iter().any(|(_, gone_id)| gone_id == id)
    }

    /// Forgets `id`, which is listed again.
    pub(crate) fn forget(&mut self, id: &str) {
        self.ids.retain(|(_, gone_id)| gone_id != id);
    }

    /// Notes that `id` is missing at `version`.
    pub(crate) fn push(&mut self, version: u64, id: &str) {
        self.ids.push_back((version, id.to_owned()));
        if self.ids.len() > MAX_GONE {
            let dropped = self.ids.pop_front();
            self.since = dropped.map_or(self.since, |(version, _)| version);
        }
    }
}
