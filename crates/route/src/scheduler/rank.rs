//! The order in which waiting requests are considered.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use ident::Handle;
use ident::Time;

use crate::policy::Fair;
use crate::policy::Secured;
use crate::row::Lane;
use crate::scheduler::Scheduler;

/// How far a row may run ahead of its share, in seconds of the whole cell.
const AHEAD: f64 = 3.0;

/// Place of a waiting request among those of all rows; the greatest is considered first.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Rank {
    priority: u8,
    late: bool,
    ahead: f64,
    order: Time,
    handle: Handle,
    lane: usize,
}

impl Eq for Rank {}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_priority = other.priority.cmp(&self.priority);
        let by_lateness = other.late.cmp(&self.late);
        let by_share = other.ahead.total_cmp(&self.ahead);
        let by_order = (other.order, other.handle).cmp(&(self.order, self.handle));
        by_priority.then(by_lateness).then(by_share).then(by_order)
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Scheduler {
    /// The waiting request that is considered first: by priority, those on time before those that
    /// are late, then by the rows' shares, then by their own order.
    pub(super) fn first(&self) -> Option<Handle> {
        let level = self.level();
        let open = self.lanes.values().filter(|lane| self.has_room(lane));
        let heads = open.filter_map(|lane| Some(self.rank(lane, 0, level, lane.queue.head()?)));
        heads.max().map(|rank| rank.handle)
    }

    /// The first `count` waiting requests in the order of [`Scheduler::first`].
    pub(super) fn ranked(&self, count: usize) -> Vec<Handle> {
        let level = self.level();
        let open = self.lanes.values().filter(|lane| lane.queue.len() > 0);
        let open: Vec<&Lane> = open.filter(|lane| self.has_room(lane)).collect();
        let mut queues: Vec<_> = open.iter().map(|lane| lane.queue.iter()).collect();
        let mut heap = BinaryHeap::new();
        for (at, queue) in queues.iter_mut().enumerate() {
            heap.extend(
                queue
                    .next()
                    .map(|entry| self.rank(open[at], at, level, entry)),
            );
        }
        let mut handles = Vec::new();
        while let Some(first) = heap.pop().filter(|_| handles.len() < count) {
            handles.push(first.handle);
            let at = first.lane;
            heap.extend(
                queues[at]
                    .next()
                    .map(|entry| self.rank(open[at], at, level, entry)),
            );
        }
        handles
    }

    fn rank(&self, lane: &Lane, at: usize, level: f64, entry: (bool, Time, Handle)) -> Rank {
        let (is_late, order, handle) = entry;
        let ahead = self.ahead(lane, level);
        Rank {
            priority: lane.rule.priority,
            late: is_late,
            ahead,
            order,
            handle,
            lane: at,
        }
    }

    fn has_room(&self, lane: &Lane) -> bool {
        self.policy.secured == Secured::Nothing || lane.has_room()
    }

    fn ahead(&self, lane: &Lane, level: f64) -> f64 {
        match self.policy.fair {
            Fair::Stride => lane.used,
            Fair::Window if lane.used > level + AHEAD => 1.0,
            Fair::Window => 0.0,
        }
    }

    /// The least that a row with waiting requests has had for its share.
    pub(super) fn level(&self) -> f64 {
        let waiting = self.lanes.values().filter(|lane| lane.queue.len() > 0);
        waiting.map(|lane| lane.used).fold(f64::MAX, f64::min)
    }
}
