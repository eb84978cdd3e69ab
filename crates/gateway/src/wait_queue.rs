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
    is_queued: bool,
}

impl QueueEntry {
    /// Joins the queue of `service`. With `late`, it queues behind requests of the same rank
    /// that can still meet their objective.
    pub fn new(shared: &Rc<Shared>, service: &str, rank: Rank, late: bool) -> Self {
        Self {
            shared: Rc::clone(shared),
            service: service.to_owned(),
            ticket: shared.queue.borrow_mut().join(service, rank, late),
            is_queued: true,
        }
    }

    /// Leaves the queue while no replica can serve this generation, so that it does not hold up
    /// those that another replica can serve. It returns to its place once `can_be_served`.
    pub fn set_servable(&mut self, can_be_served: bool) {
        if can_be_served == self.is_queued {
            return;
        }
        self.is_queued = can_be_served;
        let mut queue = self.shared.queue.borrow_mut();
        if can_be_served {
            queue.rejoin(&self.service, self.ticket);
        } else {
            queue.leave(&self.service, self.ticket);
            self.shared.capacity_changed.notify_waiters();
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
