//! Lost replicas of which it is being found out whether they ended, and requests to tell of.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;

use relay::fingerprint::Fingerprint;
use relay::server::Key;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// What is being found out, and what is to be told.
#[derive(Debug, Default)]
pub struct Inquiries {
    /// Requests that each lost replica was at work on.
    open: RefCell<HashMap<Key, HashSet<Fingerprint>>>,
    /// Lost replicas that are not asked yet, with their hashes.
    new: RefCell<Vec<(Key, u64)>>,
    /// Requests of which the other daemons are to be told.
    untold: RefCell<HashSet<Fingerprint>>,
    /// Requests whose records are to be kept in the store.
    unkept: RefCell<HashSet<Fingerprint>>,
    changed: Notify,
    unkept_changed: Notify,
    closed: Notify,
    comparing: Cell<bool>,
    /// Whether a peer has told all of its records since this daemon started.
    caught_up: Cell<bool>,
}

impl Inquiries {
    /// None.
    pub fn new() -> Self {
        Self::default()
    }

    /// Has it found out whether `replica`, behind `key`, ended while at work on the request.
    pub fn begin(&self, key: Key, replica: u64, fingerprint: Fingerprint) {
        let mut open = self.open.borrow_mut();
        let requests = open.entry(key).or_default();
        if requests.is_empty() {
            self.new.borrow_mut().push((key, replica));
            self.changed.notify_one();
        }
        requests.insert(fingerprint);
    }

    /// Has the other daemons told of the request.
    pub fn tell(&self, fingerprint: Fingerprint) {
        self.untold.borrow_mut().insert(fingerprint);
        self.changed.notify_one();
    }

    /// Has the record of the request kept in the store.
    pub fn keep(&self, fingerprint: Fingerprint) {
        self.unkept.borrow_mut().insert(fingerprint);
        self.unkept_changed.notify_one();
    }

    /// Replicas that are to be asked.
    pub fn take_new(&self) -> Vec<(Key, u64)> {
        self.new.take()
    }

    /// Requests of which others are to be told.
    pub fn take_untold(&self) -> HashSet<Fingerprint> {
        self.untold.take()
    }

    /// Requests whose records are to be kept.
    pub fn take_unkept(&self) -> HashSet<Fingerprint> {
        self.unkept.take()
    }

    /// Waits for something to ask or to tell.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Waits for something to keep.
    pub async fn unkept(&self) {
        self.unkept_changed.notified().await;
    }

    /// Begins to compare records with a peer; `false` if that is being done with another.
    pub fn begin_comparing(&self) -> bool {
        !self.comparing.replace(true)
    }

    /// Ends it.
    pub fn end_comparing(&self) {
        self.comparing.set(false);
    }

    /// Whether a peer has told all of its records since this daemon started.
    pub fn has_caught_up(&self) -> bool {
        self.caught_up.get()
    }

    /// Notes that a peer has.
    pub fn catch_up(&self) {
        self.caught_up.set(true);
    }

    /// Lost replicas that were at work on the request, and of which it is being found out whether they ended.
    pub fn count(&self, fingerprint: Fingerprint) -> usize {
        let open = self.open.borrow();
        let with = open
            .values()
            .filter(|requests| requests.contains(&fingerprint));
        with.count()
    }

    /// Gives the requests that the lost replica behind `key` was at work on, once it is asked no longer.
    pub fn take_requests(&self, key: Key) -> HashSet<Fingerprint> {
        let requests = self.open.borrow_mut().remove(&key);
        requests.unwrap_or_default()
    }

    /// Wakes what waits for a verdict.
    pub fn close(&self) {
        self.closed.notify_waiters();
    }

    /// Waits until it is found out what became of a replica. One that is found out after this call, and before
    /// the first poll, counts.
    pub fn closed(&self) -> Notified<'_> {
        self.closed.notified()
    }
}
