//! Who goes first among the generations of one daemon that wait for a place.
//!
//! Without an order, small requests take whatever room comes free, and a large one is passed over
//! until its time is up, though it came first and is worth the most to its caller.

use std::collections::HashMap;
use std::collections::VecDeque;

/// A place in the line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket(u64);

/// Those who wait, by service, the first come first.
#[derive(Debug, Default)]
pub struct Line {
    waiting: HashMap<String, VecDeque<Ticket>>,
    next: u64,
}

impl Line {
    /// Nobody waits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Joins the line of `service` at its end.
    pub fn join(&mut self, service: &str) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        let line = self.waiting.entry(service.to_owned()).or_default();
        line.push_back(ticket);
        ticket
    }

    /// Whether nobody is before `ticket` in the line of `service`.
    pub fn is_first(&self, service: &str, ticket: Ticket) -> bool {
        let line = self.waiting.get(service);
        line.is_some_and(|line| line.front() == Some(&ticket))
    }

    /// Leaves the line.
    pub fn leave(&mut self, service: &str, ticket: Ticket) {
        if let Some(line) = self.waiting.get_mut(service) {
            line.retain(|other| *other != ticket);
        }
    }
}
