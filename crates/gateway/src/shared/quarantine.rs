//! Quarantine records of contents under which replicas ended: own observations and received ones.

use relay::fingerprint::Content;
use relay::fingerprint::Fingerprint;
use relay::quarantine::Change;
use relay::quarantine::Withheld;
use relay::quarantine::record::RECORD_TTL;
use relay::quarantine::record::Record;
use relay::server::Key;

use crate::clock;
use crate::probes::Suspect;
use crate::shared::Shared;

impl Shared {
    /// Why a request with `content` is sent to no replica; `None` if it may be sent.
    pub fn withheld(&self, content: &Content) -> Option<Withheld> {
        let quarantine = self.quarantine.borrow();
        quarantine.withheld(clock::unix(), content)
    }

    /// Starts a probe of the replica behind `key`, which was lost while at work on `suspects`, to find
    /// out whether it ended.
    pub fn probe_lost(&self, key: Key, suspects: Vec<Suspect>) {
        // A draining replica cuts off unfinished requests when it leaves.
        let Some(replica) = self.pool.borrow().unplanned_loss(key) else {
            return;
        };
        self.probes.add(key, replica, suspects);
    }

    /// Records that `replica` ended while at work on `suspect`; queues the record for peers and the
    /// store.
    pub fn note_end(&self, suspect: &Suspect, replica: u64) {
        let now = clock::unix();
        let fingerprint = suspect.fingerprint;
        let part = suspect.part.as_deref().unwrap_or_default();
        let mut quarantine = self.quarantine.borrow_mut();
        let change = quarantine.note_end(now, fingerprint, replica);
        let ends = quarantine.get(fingerprint).map_or(0, |r| r.ends.len());
        let is_suspect = quarantine.get(fingerprint).is_some_and(Record::is_suspect);
        drop(quarantine);
        log::info!(kind = "suspect", content = fingerprint.to_string(), part = part, replica = format!("{replica:016x}"), ends = ends as u64, change = format!("{change:?}"); "a replica ended while at work on a request");
        if matches!(change, Change::Quarantined | Change::Other) {
            self.unannounced.add(fingerprint);
            if is_suspect {
                self.unstored.add(fingerprint);
            }
        }
        self.log_change("own", fingerprint, change);
    }

    /// Records that a replica served a request with `content` in full.
    pub fn note_served(&self, content: &Content) {
        for fingerprint in content.fingerprints() {
            self.note_content_served(fingerprint);
        }
    }

    /// Records that a content was served, or outlived where it would have crashed its replica.
    pub fn note_content_served(&self, fingerprint: Fingerprint) {
        let now = clock::unix();
        let record = self.quarantine.borrow_mut().note_served(now, fingerprint);
        let Some(record) = record else { return };
        self.unannounced.add(fingerprint);
        if record.is_suspect() {
            self.unstored.add(fingerprint);
        }
        self.log_change("own", fingerprint, Change::Cleared);
    }

    /// Whether ends of replicas are attributed to the content.
    pub fn has_ended_replicas(&self, fingerprint: Fingerprint) -> bool {
        let quarantine = self.quarantine.borrow();
        let record = quarantine.get(fingerprint);
        record.is_some_and(|record| !record.ends.is_empty())
    }

    /// Merges records from a peer or the store; returns the records of contents that were served
    /// meanwhile, which the sender has to receive.
    pub fn merge_records(&self, source: &'static str, records: &[Record]) -> Vec<Record> {
        let now = clock::unix();
        let latest = now.plus(RECORD_TTL);
        let mut served = Vec::new();
        // One from the future would never expire.
        let plausible = records.iter();
        let plausible = plausible.filter(|record| !record.is_dated_after(latest));
        for record in plausible {
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

    /// Whether peers have sent all of their records since this daemon started.
    pub fn has_all_records(&self) -> bool {
        self.has_all_records.get()
    }

    /// Records that peers have sent all of their records.
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
        let content = fingerprint.to_string();
        match change {
            Change::Quarantined => {
                self.newly_quarantined.add(fingerprint);
                let quarantined = self.quarantine.borrow().quarantined();
                log::warn!(kind = "quarantine", content = content, source = source, quarantined = quarantined as u64; "replicas ended under a request or a part of prompts; it is quarantined");
            }
            Change::Cleared => {
                log::info!(kind = "cleared", content = content, source = source; "ends of replicas no longer count, since the content was served");
            }
            Change::None | Change::Served | Change::Other => {}
        }
    }
}
