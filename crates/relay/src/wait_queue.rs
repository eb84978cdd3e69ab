//! Orders the generations of one daemon that wait for a slot at a decode replica.
//!
//! Without an order, small requests take any room that becomes free, and a large one starves until
//! it times out, although it came first and is worth the most to its caller. More urgent generations
//! go first; of equal rank, those that can still be in time go before late ones.

use std::collections::BTreeSet;
use std::collections::HashMap;

use customer::rank::Rank;

/// A place in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    rank: Rank,
    late: bool,
    sequence: u64,
}

/// Waiting generations by service, in order.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: HashMap<String, BTreeSet<Ticket>>,
    next_sequence: u64,
}

impl WaitQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Joins the queue of `service`, behind all others with the same `rank` and `late`.
    pub fn join(&mut self, service: &str, rank: Rank, late: bool) -> Ticket {
        let ticket = Ticket {
            rank,
            late,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        let waiting = self.waiting.entry(service.to_owned()).or_default();
        waiting.insert(ticket);
        ticket
    }

    /// Returns to the queue of `service` with a `ticket` from it, to the same place.
    pub fn rejoin(&mut self, service: &str, ticket: Ticket) {
        let waiting = self.waiting.entry(service.to_owned()).or_default();
        waiting.insert(ticket);
    }

    /// Whether `ticket` is the first in the queue of `service`.
    pub fn is_first(&self, service: &str, ticket: Ticket) -> bool {
        let waiting = self.waiting.get(service);
        waiting.and_then(BTreeSet::first) == Some(&ticket)
    }

    /// Leaves the queue.
    pub fn leave(&mut self, service: &str, ticket: Ticket) {
        if let Some(waiting) = self.waiting.get_mut(service) {
            waiting.remove(&ticket);
        }
    }
}
