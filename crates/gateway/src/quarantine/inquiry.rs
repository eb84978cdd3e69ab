//! Replicas that were lost while at work: whether each of them ended.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use relay::fingerprint::Fingerprint;
use relay::server::Key;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::ask;
use crate::ask::Presence;
use crate::shared::Shared;

/// Pause between two questions to a replica that does not answer.
const ASK_AGAIN: Duration = Duration::from_millis(300);
/// Time after which a replica that does not answer and is still listed is no longer asked. Entries of replicas
/// that end without a word are removed within 3.6 s.
const GIVE_UP: Duration = Duration::from_millis(4_500);
/// Time that a suspect request waits for what is being found out, before it is sent again: a replica that is
/// there answers within some milliseconds, and a port that is closed refuses as soon.
const VERDICT: Duration = Duration::from_millis(400);

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

    /// Has the record of the request told and kept.
    pub fn tell(&self, fingerprint: Fingerprint) {
        self.untold.borrow_mut().insert(fingerprint);
        self.changed.notify_one();
        self.keep(fingerprint);
    }

    /// Has the record of the request kept in the store.
    pub fn keep(&self, fingerprint: Fingerprint) {
        self.unkept.borrow_mut().insert(fingerprint);
        self.unkept_changed.notify_one();
    }

    /// Replicas that are to be asked.
    pub(super) fn take_new(&self) -> Vec<(Key, u64)> {
        self.new.take()
    }

    /// Requests of which others are to be told.
    pub(super) fn take_untold(&self) -> HashSet<Fingerprint> {
        self.untold.take()
    }

    /// Requests whose records are to be kept.
    pub(super) fn take_unkept(&self) -> HashSet<Fingerprint> {
        self.unkept.take()
    }

    /// Waits for something to ask or to tell.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Waits for something to keep.
    pub(super) async fn unkept(&self) {
        self.unkept_changed.notified().await;
    }

    /// Begins to compare records with a peer; `false` if that is being done with another.
    pub(super) fn begin_comparing(&self) -> bool {
        !self.comparing.replace(true)
    }

    /// Ends it.
    pub(super) fn end_comparing(&self) {
        self.comparing.set(false);
    }

    fn concerns(&self, fingerprint: Fingerprint) -> bool {
        let open = self.open.borrow();
        open.values()
            .any(|requests| requests.contains(&fingerprint))
    }

    fn close(&self, key: Key) -> HashSet<Fingerprint> {
        let requests = self.open.borrow_mut().remove(&key);
        requests.unwrap_or_default()
    }
}

/// Finds out whether `replica`, behind `key`, ended.
pub(super) async fn run(shared: Rc<Shared>, key: Key, replica: u64) {
    let begun = Instant::now();
    let mut presence = ask::presence(&shared, key).await;
    while presence == Presence::Unknown && begun.elapsed() < GIVE_UP {
        sleep(ASK_AGAIN).await;
        presence = ask::presence(&shared, key).await;
    }
    for fingerprint in shared.inquiries.close(key) {
        if presence == Presence::Ended {
            shared.note_end(fingerprint, replica);
        }
    }
    shared.inquiries.closed.notify_waiters();
    log::info!(kind = "inquiry", replica = format!("{replica:016x}"), presence = format!("{presence:?}"), ms = begun.elapsed().as_millis() as u64; "a replica was lost while at work");
}

impl Shared {
    /// Waits for what is being found out about a request that one more ended replica would hold.
    pub async fn inquired(&self, fingerprint: Fingerprint) {
        let is_suspect = |shared: &Self| {
            let quarantine = shared.quarantine.borrow();
            let record = quarantine.get(fingerprint);
            record.is_some_and(|record| record.is_suspect() && !record.is_held())
        };
        let verdict = async {
            loop {
                let closed = self.inquiries.closed.notified();
                if !is_suspect(self) || !self.inquiries.concerns(fingerprint) {
                    return;
                }
                closed.await;
            }
        };
        // Without a verdict in time it goes on like any other.
        let _ = timeout(VERDICT, verdict).await;
    }
}
