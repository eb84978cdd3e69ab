//! The position of a generation in the wait queue of this daemon.

use std::rc::Rc;

use customer::rank::Rank;
use relay::wait_queue::Ticket;

use crate::shared::Shared;

/// A ticket in the wait queue of a service; leaves the queue when dropped.
#[derive(Debug)]
pub struct QueueEntry {
    shared: Rc<Shared>,
    service: String,
    ticket: Ticket,
}

impl QueueEntry {
    /// Joins the queue of `service`. With `late`, it queues behind requests of the same rank
    /// that can still meet their objective.
    pub fn new(shared: &Rc<Shared>, service: &str, rank: Rank, late: bool) -> Self {
        Self {
            shared: Rc::clone(shared),
            service: service.to_owned(),
            ticket: shared.queue.borrow_mut().join(service, rank, late),
        }
    }

    /// Whether this generation is first in the queue.
    pub fn is_first(&self) -> bool {
        let queue = self.shared.queue.borrow();
        queue.is_first(&self.service, self.ticket)
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let mut queue = self.shared.queue.borrow_mut();
        queue.leave(&self.service, self.ticket);
        drop(queue);
        self.shared.capacity_changed.notify_waiters();
    }
}
