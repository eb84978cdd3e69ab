//! Probes in progress that find out whether lost replicas ended.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;

use relay::fingerprint::Fingerprint;
use relay::server::Key;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// Lost replicas that are being probed, and the requests they were at work on.
#[derive(Debug, Default)]
pub struct Probes {
    /// Requests that were in progress at each lost replica.
    requests: RefCell<HashMap<Key, HashSet<Fingerprint>>>,
    /// Lost replicas whose probe has not started, with their hashes.
    unstarted: RefCell<Vec<(Key, u64)>>,
    added: Notify,
    finished: Notify,
}

impl Probes {
    /// No probes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the request to the probe of `replica`, behind `key`; requests a probe if none is in
    /// progress.
    pub fn add(&self, key: Key, replica: u64, fingerprint: Fingerprint) {
        let mut lost = self.requests.borrow_mut();
        let requests = lost.entry(key).or_default();
        if requests.is_empty() {
            self.unstarted.borrow_mut().push((key, replica));
            self.added.notify_one();
        }
        requests.insert(fingerprint);
    }

    /// Waits until a probe is requested.
    pub async fn added(&self) {
        self.added.notified().await;
    }

    /// Takes the replicas whose probe has to start.
    pub fn take_new(&self) -> Vec<(Key, u64)> {
        self.unstarted.take()
    }

    /// Number of replicas being probed that were at work on the request.
    pub fn count(&self, fingerprint: Fingerprint) -> usize {
        let lost = self.requests.borrow();
        let matching = lost
            .values()
            .filter(|requests| requests.contains(&fingerprint));
        matching.count()
    }

    /// Ends the probe of the replica behind `key` and returns the requests it was at work on.
    pub fn take_requests(&self, key: Key) -> HashSet<Fingerprint> {
        let requests = self.requests.borrow_mut().remove(&key);
        requests.unwrap_or_default()
    }

    /// Wakes the tasks that wait for a probe to finish.
    pub fn notify_finished(&self) {
        self.finished.notify_waiters();
    }

    /// Waits until a probe finishes. A probe that finishes between this call and the first poll
    /// counts.
    pub fn finished(&self) -> Notified<'_> {
        self.finished.notified()
    }
}
