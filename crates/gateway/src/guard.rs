//! What is counted for as long as it lasts.

use std::rc::Rc;

use relay::server::Key;

use crate::shared::Shared;

/// A request in progress; it is over when this is dropped.
#[derive(Debug)]
pub struct Open {
    shared: Rc<Shared>,
}

impl Open {
    /// Counts one more request in progress.
    pub fn new(shared: &Rc<Shared>) -> Self {
        shared.set_open_requests(shared.open_requests() + 1);
        Self {
            shared: Rc::clone(shared),
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.shared
            .set_open_requests(self.shared.open_requests() - 1);
    }
}

/// A request at work at a replica; it is over there when this is dropped.
#[derive(Debug)]
pub struct Claim {
    shared: Rc<Shared>,
    /// The replica.
    pub key: Key,
    tokens: u64,
    /// Whether it only reads a prompt.
    reads: bool,
}

impl Claim {
    /// Counts one more request of `tokens` at the replica `key`, which `reads` its prompt and no more.
    pub fn new(shared: &Rc<Shared>, key: Key, tokens: u64, reads: bool) -> Self {
        shared.pool.borrow_mut().start_request(key, tokens);
        if reads {
            shared.runs_changed.notify_one();
        }
        Self {
            shared: Rc::clone(shared),
            key,
            tokens,
            reads,
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.shared
            .pool
            .borrow_mut()
            .end_request(self.key, self.tokens);
        if self.reads {
            self.shared.runs_changed.notify_one();
        }
    }
}
