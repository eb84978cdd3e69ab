//! Replicas that ended, whatever they were running.

use std::collections::HashMap;
use std::collections::HashSet;

use crate::quarantine::record::COMMON_CAUSE_TIME;
use crate::quarantine::record::Record;
use crate::quarantine::record::UnixMs;

/// Maximum number of replicas that are remembered.
const MAX_REPLICAS: usize = 4_096;

/// When each replica ended, as far as known.
#[derive(Debug, Default)]
pub struct Ended {
    replicas: HashMap<u64, UnixMs>,
}

impl Ended {
    /// Records that `replica` ended.
    pub fn insert(&mut self, replica: u64, at: UnixMs) {
        let known = self.replicas.entry(replica).or_insert(at);
        *known = at.min(*known);
        if self.replicas.len() > MAX_REPLICAS {
            self.remove_older_half();
        }
    }

    /// Removes replicas that ended at or before `time`.
    pub fn remove_until(&mut self, time: UnixMs) {
        self.replicas.retain(|_, at| *at > time);
    }

    /// Number of causes that the ends of `record` may have had, at least. Ends that came together
    /// count once, unless the content was in progress at most of the replicas that ended then and are
    /// not among `explained`.
    pub fn count_causes(&self, record: &Record, explained: &HashSet<u64>) -> usize {
        let mut rest = &record.ends[..];
        let mut causes = 0;
        while let Some(first) = rest.first() {
            let until = first.at.plus(COMMON_CAUSE_TIME);
            let (together, later) = rest.split_at(rest.partition_point(|end| end.at <= until));
            let last = together.last().unwrap_or(first);
            let others = self.count_others(record, explained, first.at, last.at);
            causes += if others < together.len() {
                together.len()
            } else {
                1
            };
            rest = later;
        }
        causes
    }

    /// Number of replicas outside `record` and `explained` that ended between `from` and `to` or
    /// shortly before or after.
    fn count_others(
        &self,
        record: &Record,
        explained: &HashSet<u64>,
        from: UnixMs,
        to: UnixMs,
    ) -> usize {
        let is_near =
            |at: UnixMs| from <= at.plus(COMMON_CAUSE_TIME) && at <= to.plus(COMMON_CAUSE_TIME);
        let near = self.replicas.iter().filter(|(_, at)| is_near(**at));
        let others = near.filter(|(replica, _)| !record.has(**replica));
        others
            .filter(|(replica, _)| !explained.contains(replica))
            .count()
    }

    fn remove_older_half(&mut self) {
        let mut times: Vec<UnixMs> = self.replicas.values().copied().collect();
        times.sort_unstable();
        self.remove_until(times[times.len() / 2]);
    }
}
