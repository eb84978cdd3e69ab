//! Verdicts of ended requests, kept to recognise a late repeat of a ticket.

use std::collections::VecDeque;

use ident::Handle;

use crate::hash::Map;
use crate::verdict::Verdict;

/// Most ended requests that are remembered.
const CAPACITY: usize = 8_192;

/// The ended requests; the oldest are forgotten first.
#[derive(Debug, Default)]
pub struct EndedRequests {
    order: VecDeque<Handle>,
    ended: Map<Handle, Option<Verdict>>,
}

impl EndedRequests {
    /// Records that `handle` ended with `verdict`, or without one.
    pub fn insert(&mut self, handle: Handle, verdict: Option<Verdict>) {
        if self.ended.insert(handle, verdict).is_none() {
            self.order.push_back(handle);
        }
        if self.order.len() <= CAPACITY {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.ended.remove(&oldest);
        }
    }

    /// Whether `handle` has ended.
    pub fn contains(&self, handle: Handle) -> bool {
        self.ended.contains_key(&handle)
    }

    /// The verdict of an ended request, if it had one.
    pub fn verdict(&self, handle: Handle) -> Option<Verdict> {
        self.ended.get(&handle).copied().flatten()
    }
}
