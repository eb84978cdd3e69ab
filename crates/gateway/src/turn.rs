//! A generation's turn among those that wait at this daemon.

use std::rc::Rc;

use relay::wait_queue::Ticket;

use crate::shared::Shared;

/// A place in the line of a service; left when this is dropped.
#[derive(Debug)]
pub struct Turn {
    shared: Rc<Shared>,
    service: String,
    ticket: Ticket,
}

impl Turn {
    /// Joins the line of `service`; after those of its rank that can be in time if `late`.
    pub fn new(shared: &Rc<Shared>, service: &str, priority: u8, late: bool) -> Self {
        Self {
            shared: Rc::clone(shared),
            service: service.to_owned(),
            ticket: shared.queue.borrow_mut().join(service, priority, late),
        }
    }

    /// Whether it is this one's turn.
    pub fn is_now(&self) -> bool {
        let line = self.shared.queue.borrow();
        line.is_first(&self.service, self.ticket)
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let mut line = self.shared.queue.borrow_mut();
        line.leave(&self.service, self.ticket);
        drop(line);
        self.shared.capacity_changed.notify_waiters();
    }
}
