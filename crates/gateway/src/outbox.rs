//! Requests whose quarantine records have to be sent to other daemons or written to the store.

use std::cell::RefCell;
use std::collections::HashSet;

use relay::fingerprint::Fingerprint;
use tokio::sync::Notify;

/// Set of requests that waits for one consumer.
#[derive(Debug, Default)]
pub struct Outbox {
    requests: RefCell<HashSet<Fingerprint>>,
    added: Notify,
}

impl Outbox {
    /// An empty outbox.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request and wakes the consumer.
    pub fn add(&self, fingerprint: Fingerprint) {
        self.requests.borrow_mut().insert(fingerprint);
        self.added.notify_one();
    }

    /// Waits until a request is added.
    pub async fn added(&self) {
        self.added.notified().await;
    }

    /// Takes all requests out.
    pub fn take(&self) -> HashSet<Fingerprint> {
        self.requests.take()
    }
}
