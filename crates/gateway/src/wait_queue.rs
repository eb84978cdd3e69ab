//! The position of a generation in the wait queue of this daemon.

use std::rc::Rc;
use std::time::Duration;

use boottime::timer::timeout;
use relay::timing::Kind;
use relay::wait_queue::Ticket;

use crate::job::Job;
use crate::shared::Shared;

/// Time for which a generation that asks a replica for a place holds up those behind it. Without an
/// answer, it would hold them up for most of the time that they may wait.
const MAX_HOLD: Duration = Duration::from_millis(30);

/// A ticket in the wait queue of a service; leaves the queue when dropped.
#[derive(Debug)]
pub struct QueueEntry {
    shared: Rc<Shared>,
    service: String,
    ticket: Ticket,
    is_queued: bool,
    is_served: bool,
}

impl QueueEntry {
    /// Joins the queue of the service of `job`, a generation of `kind`.
    pub fn new(shared: &Rc<Shared>, job: &Job, kind: Kind) -> Self {
        let (service, rank) = (&job.service, job.rank());
        let mut queue = shared.queue.borrow_mut();
        let ticket = match (kind, job.software()) {
            (Kind::Resumed, Some(software)) => queue.join_resumed(service, rank, software),
            (Kind::Returned, _) => queue.join(service, rank, true),
            _ => queue.join(service, rank, false),
        };
        Self {
            shared: Rc::clone(shared),
            service: service.clone(),
            ticket,
            is_queued: true,
            is_served: false,
        }
    }

    /// Leaves the queue while no replica can serve this generation, so that it does not hold up
    /// those that another replica can serve. It returns to its place once `can_be_served`.
    pub fn set_servable(&mut self, can_be_served: bool) {
        self.set_queued(can_be_served);
    }

    /// Waits for `answer`, of the replica that this generation asks for a place. Later generations may
    /// pass it once that takes longer than [`MAX_HOLD`]; it returns to its place with the answer.
    pub async fn wait_for<T>(&mut self, mut answer: impl Future<Output = T> + Unpin) -> T {
        if let Ok(answer) = timeout(MAX_HOLD, &mut answer).await {
            return answer;
        }
        let was_queued = self.is_queued;
        self.set_queued(false);
        let answer = answer.await;
        self.set_queued(was_queued);
        answer
    }

    fn set_queued(&mut self, is_queued: bool) {
        if is_queued == self.is_queued {
            return;
        }
        self.is_queued = is_queued;
        let mut queue = self.shared.queue.borrow_mut();
        if is_queued {
            queue.rejoin(&self.service, self.ticket);
        } else {
            queue.leave(&self.service, self.ticket);
            self.shared.capacity_changed.notify_waiters();
        }
    }

    /// Records that this generation got a slot.
    pub const fn set_served(&mut self) {
        self.is_served = true;
    }

    /// The software versions whose replicas are left to generations before this one, which may use all
    /// others; `None` if it may use none.
    pub fn reserved(&self) -> Option<Vec<String>> {
        let queue = self.shared.queue.borrow();
        let reserved = queue.reserved(&self.service, self.ticket)?;
        let pool = self.shared.pool.borrow();
        (reserved.is_empty() || !pool.has_one_version(&self.service)).then_some(reserved)
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let mut queue = self.shared.queue.borrow_mut();
        queue.leave(&self.service, self.ticket);
        if self.is_queued {
            queue.record_end(&self.service, self.ticket, self.is_served);
        }
        drop(queue);
        self.shared.capacity_changed.notify_waiters();
    }
}
