//! Probes in progress that find out whether lost replicas ended.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;

use relay::fingerprint::Fingerprint;
use relay::server::Key;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// A content that replicas may crash on.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Suspect {
    /// Identifies it.
    pub fingerprint: Fingerprint,
    /// Id of the part of a prompt; `None` for a whole request.
    pub part: Option<String>,
}

/// Lost replicas that are being probed, and the contents they were at work on.
#[derive(Debug, Default)]
pub struct Probes {
    /// Contents that were in progress at each lost replica.
    suspects: RefCell<HashMap<Key, HashSet<Suspect>>>,
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

    /// Adds `suspects` to the probe of `replica`, behind `key`; requests a probe if none is in
    /// progress.
    pub fn add(&self, key: Key, replica: u64, suspects: Vec<Suspect>) {
        let mut lost = self.suspects.borrow_mut();
        let known = lost.entry(key).or_default();
        if known.is_empty() {
            self.unstarted.borrow_mut().push((key, replica));
            self.added.notify_one();
        }
        known.extend(suspects);
    }

    /// Waits until a probe is requested.
    pub async fn added(&self) {
        self.added.notified().await;
    }

    /// Takes the replicas whose probe has to start.
    pub fn take_new(&self) -> Vec<(Key, u64)> {
        self.unstarted.take()
    }

    /// Number of replicas being probed that were at work on the content.
    pub fn count(&self, fingerprint: Fingerprint) -> usize {
        let lost = self.suspects.borrow();
        let has = |suspects: &HashSet<Suspect>| {
            let mut suspects = suspects.iter();
            suspects.any(|suspect| suspect.fingerprint == fingerprint)
        };
        lost.values().filter(|suspects| has(suspects)).count()
    }

    /// Ends the probe of the replica behind `key` and returns the contents it was at work on.
    pub fn take_suspects(&self, key: Key) -> HashSet<Suspect> {
        let suspects = self.suspects.borrow_mut().remove(&key);
        suspects.unwrap_or_default()
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
