//! Lost replicas of which it is being found out whether they ended.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;

use relay::fingerprint::Fingerprint;
use relay::server::Key;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// What is being found out.
#[derive(Debug, Default)]
pub struct Probes {
    /// Requests that each lost replica was at work on.
    requests: RefCell<HashMap<Key, HashSet<Fingerprint>>>,
    /// Lost replicas that are not asked yet, with their hashes.
    unstarted: RefCell<Vec<(Key, u64)>>,
    added: Notify,
    finished: Notify,
}

impl Probes {
    /// None.
    pub fn new() -> Self {
        Self::default()
    }

    /// Has it found out whether `replica`, behind `key`, ended while at work on the request.
    pub fn add(&self, key: Key, replica: u64, fingerprint: Fingerprint) {
        let mut lost = self.requests.borrow_mut();
        let requests = lost.entry(key).or_default();
        if requests.is_empty() {
            self.unstarted.borrow_mut().push((key, replica));
            self.added.notify_one();
        }
        requests.insert(fingerprint);
    }

    /// Waits for a replica that is to be asked.
    pub async fn added(&self) {
        self.added.notified().await;
    }

    /// Replicas that are to be asked.
    pub fn take_new(&self) -> Vec<(Key, u64)> {
        self.unstarted.take()
    }

    /// Lost replicas that were at work on the request, and of which it is being found out whether they ended.
    pub fn count(&self, fingerprint: Fingerprint) -> usize {
        let lost = self.requests.borrow();
        let matching = lost
            .values()
            .filter(|requests| requests.contains(&fingerprint));
        matching.count()
    }

    /// Gives the requests that the lost replica behind `key` was at work on, once it is asked no longer.
    pub fn take_requests(&self, key: Key) -> HashSet<Fingerprint> {
        let requests = self.requests.borrow_mut().remove(&key);
        requests.unwrap_or_default()
    }

    /// Wakes what waits for a verdict.
    pub fn notify_finished(&self) {
        self.finished.notify_waiters();
    }

    /// Waits until it is found out what became of a replica. One that is found out after this call, and before
    /// the first poll, counts.
    pub fn finished(&self) -> Notified<'_> {
        self.finished.notified()
    }
}
