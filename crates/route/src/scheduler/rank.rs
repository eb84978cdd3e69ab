//! Orders the waiting requests of all rows.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use ident::Handle;
use ident::Time;

use crate::policy::Fairness;
use crate::policy::SecuredSlots;
use crate::row::RowState;
use crate::scheduler::Scheduler;

/// How far a row may be ahead of its share, in seconds of the whole pool.
const MAX_AHEAD: f64 = 3.0;

/// Rank of a waiting request among all rows; the greatest goes first.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Rank {
    priority: u8,
    late: bool,
    overuse: f64,
    order: Time,
    handle: Handle,
    row_index: usize,
}

impl Eq for Rank {}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_priority = other.priority.cmp(&self.priority);
        let by_lateness = other.late.cmp(&self.late);
        let by_share = other.overuse.total_cmp(&self.overuse);
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
    /// The first waiting request: by priority, then on time before late, then by the rows' shares,
    /// then by order within the row.
    pub(super) fn first_waiting(&self) -> Option<Handle> {
        let min_virtual_time = self.min_virtual_time();
        let open = self
            .row_states
            .values()
            .filter(|row_state| self.has_room(row_state));
        let heads = open.filter_map(|row_state| {
            Some(self.rank(row_state, 0, min_virtual_time, row_state.queue.head()?))
        });
        heads.max().map(|rank| rank.handle)
    }

    /// The first `count` waiting requests, in the order of [`Scheduler::first_waiting`].
    pub(super) fn waiting_in_order(&self, count: usize) -> Vec<Handle> {
        let min_virtual_time = self.min_virtual_time();
        let open = self
            .row_states
            .values()
            .filter(|row_state| row_state.queue.len() > 0);
        let open: Vec<&RowState> = open.filter(|row_state| self.has_room(row_state)).collect();
        let mut queues: Vec<_> = open
            .iter()
            .map(|row_state| row_state.queue.iter())
            .collect();
        let mut heap = BinaryHeap::new();
        for (at, queue) in queues.iter_mut().enumerate() {
            heap.extend(
                queue
                    .next()
                    .map(|entry| self.rank(open[at], at, min_virtual_time, entry)),
            );
        }
        let mut handles = Vec::new();
        while let Some(first) = heap.pop().filter(|_| handles.len() < count) {
            handles.push(first.handle);
            let at = first.row_index;
            heap.extend(
                queues[at]
                    .next()
                    .map(|entry| self.rank(open[at], at, min_virtual_time, entry)),
            );
        }
        handles
    }

    fn rank(
        &self,
        row_state: &RowState,
        at: usize,
        min_virtual_time: f64,
        entry: (bool, Time, Handle),
    ) -> Rank {
        let (is_late, order, handle) = entry;
        let overuse = self.overuse(row_state, min_virtual_time);
        Rank {
            priority: row_state.rule.priority,
            late: is_late,
            overuse,
            order,
            handle,
            row_index: at,
        }
    }

    fn has_room(&self, row_state: &RowState) -> bool {
        self.policy.secured == SecuredSlots::Nothing || row_state.has_room()
    }

    fn overuse(&self, row_state: &RowState, min_virtual_time: f64) -> f64 {
        match self.policy.fair {
            Fairness::Stride => row_state.virtual_time,
            Fairness::Window if row_state.virtual_time > min_virtual_time + MAX_AHEAD => 1.0,
            Fairness::Window => 0.0,
        }
    }

    /// The least virtual time of a row with waiting requests.
    pub(super) fn min_virtual_time(&self) -> f64 {
        let waiting = self
            .row_states
            .values()
            .filter(|row_state| row_state.queue.len() > 0);
        waiting
            .map(|row_state| row_state.virtual_time)
            .fold(f64::MAX, f64::min)
    }
}
