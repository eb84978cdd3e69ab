//! Requests whose records other daemons are to be told, or the store is to keep.

use std::cell::RefCell;
use std::collections::HashSet;

use relay::fingerprint::Fingerprint;
use tokio::sync::Notify;

/// Requests that wait for one purpose, each once.
#[derive(Debug, Default)]
pub struct Outbox {
    requests: RefCell<HashSet<Fingerprint>>,
    added: Notify,
}

impl Outbox {
    /// Nothing waits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request.
    pub fn add(&self, fingerprint: Fingerprint) {
        self.requests.borrow_mut().insert(fingerprint);
        self.added.notify_one();
    }

    /// Waits until a request is added.
    pub async fn added(&self) {
        self.added.notified().await;
    }

    /// Takes all of them.
    pub fn take(&self) -> HashSet<Fingerprint> {
        self.requests.take()
    }
}
