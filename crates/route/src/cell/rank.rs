//! The order in which waiting requests are considered.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use ident::Handle;
use ident::Time;

use crate::cell::Cell;
use crate::policy::Fair;
use crate::policy::Secured;
use crate::row::Lane;
use crate::ticket::Work;

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

impl Cell {
    /// The first waiting requests in order: by priority, those on time first, then by the rows'
    /// shares, then by their own order.
    pub(super) fn ranked(&self, count: usize) -> Vec<Handle> {
        let level = self.level();
        let open = self.lanes.values().filter(|lane| lane.queue.len() > 0);
        let open: Vec<&Lane> = open.filter(|lane| self.has_room(lane)).collect();
        let mut queues: Vec<_> = open.iter().map(|lane| lane.queue.iter()).collect();
        let mut heap = BinaryHeap::new();
        let rank = |at: usize, (late, order, handle): (bool, Time, Handle)| {
            let lane = open[at];
            let ahead = self.ahead(lane, level);
            Rank {
                priority: lane.rule.priority,
                late,
                ahead,
                order,
                handle,
                lane: at,
            }
        };
        for (at, queue) in queues.iter_mut().enumerate() {
            heap.extend(queue.next().map(|entry| rank(at, entry)));
        }
        let mut handles = Vec::new();
        while let Some(first) = heap.pop().filter(|_| handles.len() < count) {
            handles.push(first.handle);
            let next = queues[first.lane].next();
            heap.extend(next.map(|entry| rank(first.lane, entry)));
        }
        handles
    }

    fn has_room(&self, lane: &Lane) -> bool {
        if self.policy.secured == Secured::Nothing {
            return true;
        }
        let head = lane
            .queue
            .iter()
            .next()
            .and_then(|(_, _, handle)| self.flows.get(&handle));
        lane.has_room(head.is_some_and(|flow| flow.ticket.work == Work::Plain))
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
