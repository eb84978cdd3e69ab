//! Who goes first among the generations of one daemon that wait for a place.
//!
//! Without an order, small requests take whatever room comes free, and a large one is passed over
//! until its time is up, though it came first and is worth the most to its caller. The more urgent go before the less urgent,
//! and of the same rank those that are late in any case after those that are not.

use std::collections::BTreeSet;
use std::collections::HashMap;

/// A place in the line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// 0 is the most urgent.
    priority: u8,
    late: bool,
    number: u64,
}

/// Those who wait, by service, the first come first.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: HashMap<String, BTreeSet<Ticket>>,
    next: u64,
}

impl WaitQueue {
    /// Nobody waits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Joins the line of `service` after all of the same `priority` that are as `late`.
    pub fn join(&mut self, service: &str, priority: u8, late: bool) -> Ticket {
        let ticket = Ticket {
            priority,
            late,
            number: self.next,
        };
        self.next += 1;
        let waiting = self.waiting.entry(service.to_owned()).or_default();
        waiting.insert(ticket);
        ticket
    }

    /// Whether nobody is before `ticket` in the line of `service`.
    pub fn is_first(&self, service: &str, ticket: Ticket) -> bool {
        let waiting = self.waiting.get(service);
        waiting.and_then(BTreeSet::first) == Some(&ticket)
    }

    /// Leaves the line.
    pub fn leave(&mut self, service: &str, ticket: Ticket) {
        if let Some(waiting) = self.waiting.get_mut(service) {
            waiting.remove(&ticket);
        }
    }
}
