//! Guards that count requests while they are held.

use std::rc::Rc;

use relay::server::Key;

use crate::memory::ALLOWANCE;
use crate::memory::Charge;
use crate::shared::Shared;

/// An open request; closed when this is dropped.
#[derive(Debug)]
pub struct OpenRequest {
    shared: Rc<Shared>,
    /// Memory of the request and a small answer.
    allowance: Charge,
    /// Memory of a larger answer that is being sent.
    answer: Option<Charge>,
}

impl OpenRequest {
    /// Counts one more open request.
    pub fn new(shared: &Rc<Shared>) -> Self {
        shared.set_open_requests(shared.open_requests() + 1);
        Self {
            shared: Rc::clone(shared),
            allowance: Charge::new(&shared.memory.requests),
            answer: None,
        }
    }

    /// Charges the memory of the request and a small answer; `false` if there is none left.
    #[must_use]
    pub fn admit(&self) -> bool {
        self.allowance.try_grow(ALLOWANCE)
    }

    /// Keeps the memory of its answer charged.
    #[must_use]
    pub fn with_answer(mut self, answer: Option<Charge>) -> Self {
        self.answer = answer;
        self
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.shared
            .set_open_requests(self.shared.open_requests() - 1);
    }
}

/// A request of a peer that is being served; over when this is dropped.
#[derive(Debug)]
pub struct HandedOver {
    shared: Rc<Shared>,
}

impl HandedOver {
    /// Counts one more request of a peer.
    pub fn new(shared: &Rc<Shared>) -> Self {
        shared.set_handed_over(shared.handed_over() + 1);
        Self {
            shared: Rc::clone(shared),
        }
    }
}

impl Drop for HandedOver {
    fn drop(&mut self) {
        self.shared.set_handed_over(self.shared.handed_over() - 1);
    }
}

/// A request in flight at a replica; finished there when this is dropped.
#[derive(Debug)]
pub struct InFlight {
    shared: Rc<Shared>,
    /// The replica.
    pub key: Key,
    tokens: u64,
    /// Whether the replica only prefills the prompt.
    prefill_only: bool,
}

impl InFlight {
    /// Counts one more request of `tokens` at the replica `key`.
    pub fn new(shared: &Rc<Shared>, key: Key, tokens: u64, prefill_only: bool) -> Self {
        shared.pool.borrow_mut().start_request(key, tokens);
        if prefill_only {
            shared.runs_changed.notify_one();
        }
        Self {
            shared: Rc::clone(shared),
            key,
            tokens,
            prefill_only,
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared
            .pool
            .borrow_mut()
            .end_request(self.key, self.tokens);
        if self.prefill_only {
            self.shared.runs_changed.notify_one();
        }
    }
}
