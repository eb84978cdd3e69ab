//! Who goes first among the generations of one daemon that wait for a place.
//!
//! Without an order, small requests take whatever room comes free, and a large one is passed over
//! until its time is up, though it came first and is worth the most to its caller. Those that are late
//! in any case go after those that are not.

use std::collections::HashMap;
use std::collections::VecDeque;

/// A place in the line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket(u64);

/// Those who wait, by service, the first come first.
#[derive(Debug, Default)]
pub struct Line {
    waiting: HashMap<String, Waiting>,
    next: u64,
}

/// Those who wait for one service.
#[derive(Debug, Default)]
struct Waiting {
    timely: VecDeque<Ticket>,
    late: VecDeque<Ticket>,
}

impl Line {
    /// Nobody waits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Joins the line of `service` at its end: that of the late ones if `late`.
    pub fn join(&mut self, service: &str, late: bool) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        let waiting = self.waiting.entry(service.to_owned()).or_default();
        if late {
            waiting.late.push_back(ticket);
        } else {
            waiting.timely.push_back(ticket);
        }
        ticket
    }

    /// Whether nobody is before `ticket` in the line of `service`.
    pub fn is_first(&self, service: &str, ticket: Ticket) -> bool {
        let waiting = self.waiting.get(service);
        let first = waiting.and_then(|waiting| waiting.timely.front().or(waiting.late.front()));
        first == Some(&ticket)
    }

    /// Leaves the line.
    pub fn leave(&mut self, service: &str, ticket: Ticket) {
        if let Some(waiting) = self.waiting.get_mut(service) {
            waiting.timely.retain(|other| *other != ticket);
            waiting.late.retain(|other| *other != ticket);
        }
    }
}
