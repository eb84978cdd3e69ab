//! Quarantine records of requests under which replicas ended: own observations and received ones.

use std::time::Duration;

use relay::fingerprint::Fingerprint;
use relay::quarantine::Change;
use relay::quarantine::Record;
use relay::server::Key;

use crate::clock;
use crate::shared::Shared;

impl Shared {
    /// Remaining time for which the request is quarantined; `None` if it may be sent.
    pub fn quarantined_for(&self, fingerprint: Fingerprint) -> Option<Duration> {
        let quarantine = self.quarantine.borrow();
        quarantine.quarantined_for(clock::unix(), fingerprint)
    }

    /// Starts a probe of the replica behind `key`, which was lost while at work on the request, to
    /// find out whether it ended.
    pub fn probe_lost(&self, fingerprint: Fingerprint, key: Key) {
        // A draining replica cuts off unfinished requests when it leaves.
        let Some(replica) = self.pool.borrow().unplanned_loss(key) else {
            return;
        };
        self.probes.add(key, replica, fingerprint);
    }

    /// Records that `replica` ended while at work on the request `fingerprint`; queues the record
    /// for peers and the store.
    pub fn note_end(&self, fingerprint: Fingerprint, replica: u64) {
        let now = clock::unix();
        let mut quarantine = self.quarantine.borrow_mut();
        let change = quarantine.note_end(now, fingerprint, replica);
        let ends = quarantine.get(fingerprint).map_or(0, |r| r.ends.len());
        let is_suspect = quarantine.get(fingerprint).is_some_and(Record::is_suspect);
        drop(quarantine);
        log::info!(kind = "suspect", content = fingerprint.to_string(), replica = format!("{replica:016x}"), ends = ends as u64, change = format!("{change:?}"); "a replica ended while at work on a request");
        if matches!(change, Change::Quarantined | Change::Other) {
            self.unannounced.add(fingerprint);
            if is_suspect {
                self.unstored.add(fingerprint);
            }
        }
        self.log_change("own", fingerprint, change);
    }

    /// Records that a replica served the request.
    pub fn note_served(&self, fingerprint: Fingerprint) {
        let now = clock::unix();
        let record = self.quarantine.borrow_mut().note_served(now, fingerprint);
        let Some(record) = record else { return };
        self.unannounced.add(fingerprint);
        if record.is_suspect() {
            self.unstored.add(fingerprint);
        }
        self.log_change("own", fingerprint, Change::Other);
    }

    /// Merges records from a peer or the store; returns the records of requests that were served
    /// meanwhile, which the sender has to receive.
    pub fn merge_records(&self, source: &'static str, records: &[Record]) -> Vec<Record> {
        let now = clock::unix();
        let mut served = Vec::new();
        for record in records {
            let change = self.quarantine.borrow_mut().merge(now, record);
            self.log_change(source, record.fingerprint, change);
            if change == Change::Served {
                let quarantine = self.quarantine.borrow();
                served.extend(quarantine.get(record.fingerprint).cloned());
                // The sender has written the ends to the store.
                if record.is_suspect() {
                    self.unstored.add(record.fingerprint);
                }
            }
        }
        served
    }

    /// Whether a peer has sent all of its records since this daemon started.
    pub fn has_all_records(&self) -> bool {
        self.has_all_records.get()
    }

    /// Records that a peer has sent all of its records.
    pub fn note_all_records(&self) {
        self.has_all_records.set(true);
    }

    /// Begins a comparison of records with a peer; `false` if another one is in progress.
    pub fn begin_comparing(&self) -> bool {
        !self.is_comparing.replace(true)
    }

    /// Records that the comparison has ended.
    pub fn end_comparing(&self) {
        self.is_comparing.set(false);
    }

    fn log_change(&self, source: &'static str, fingerprint: Fingerprint, change: Change) {
        if change == Change::Quarantined {
            let quarantined = self.quarantine.borrow().quarantined();
            log::warn!(kind = "quarantine", content = fingerprint.to_string(), source = source, quarantined = quarantined as u64; "replicas ended under a request; it is quarantined");
        }
    }
}
