//! Contents of requests that wait for a task, such as those whose quarantine records have to be sent
//! to other daemons or written to the store.

use std::cell::RefCell;
use std::collections::HashSet;

use relay::fingerprint::Fingerprint;
use tokio::sync::Notify;

/// Set of contents that waits for one consumer.
#[derive(Debug, Default)]
pub struct Outbox {
    contents: RefCell<HashSet<Fingerprint>>,
    added: Notify,
}

impl Outbox {
    /// An empty outbox.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a content and wakes the consumer.
    pub fn add(&self, fingerprint: Fingerprint) {
        self.contents.borrow_mut().insert(fingerprint);
        self.added.notify_one();
    }

    /// Waits until a content is added.
    pub async fn added(&self) {
        self.added.notified().await;
    }

    /// Takes all contents out.
    pub fn take(&self) -> HashSet<Fingerprint> {
        self.contents.take()
    }
}
