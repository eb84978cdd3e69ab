//! Quarantines contents that make replicas crash: requests, and parts of prompts.
//!
//! A request that crashes each replica it runs on comes again, since its caller sees a failure and
//! may retry at any daemon; a part of a prompt that does comes with other requests. So each daemon
//! records which replicas ended while running a content, the daemons exchange these records, and
//! after [`LIMIT`] ended replicas the content is quarantined.
//!
//! Requests that crash replicas share parts with sound ones, and run beside sound ones. A part is not
//! held responsible for ends that another quarantined content explains, nor for more than one of the
//! ends that came together with those of other replicas.
//!
//! Merging records is commutative: the ends are united, and the latest time at which the content
//! was served counts.

mod ended;
pub mod record;
mod served;

use std::collections::HashMap;
use std::time::Duration;

use crate::fingerprint::Content;
use crate::fingerprint::Fingerprint;
use crate::fingerprint::Part;
use crate::quarantine::ended::Ended;
use crate::quarantine::record::End;
use crate::quarantine::record::LIMIT;
use crate::quarantine::record::MAX_ENDS;
use crate::quarantine::record::RECORD_TTL;
use crate::quarantine::record::Record;
use crate::quarantine::record::SERVED_GRACE;
use crate::quarantine::record::UnixMs;
use crate::quarantine::served::Served;

/// How long a part of a prompt is quarantined at least if all replicas ended together: they may have
/// had another cause, which the next request with the part shows.
const TOGETHER_TTL: Duration = Duration::from_mins(1);
/// Time over which the daemons spread these next requests, so that few run before the first one has
/// shown the cause.
const TRIAL_SPREAD: Duration = Duration::from_mins(2);
/// Maximum number of records: those of the runs at 128 replicas of 64 slots that end together.
const MAX_RECORDS: usize = 8_192;

/// Effect of merging a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing changed.
    None,
    /// The content is quarantined from now on.
    Quarantined,
    /// A received end does not count because the content was served; the sender should be informed.
    Served,
    /// Ends no longer count because the content was served.
    Cleared,
    /// Another change.
    Other,
}

/// A quarantined content of a request, because of which the request is sent to no replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Withheld {
    /// The part of its prompt; `None` for the whole request.
    pub part: Option<Part>,
    /// For how long.
    pub remaining: Duration,
}

/// All records of one daemon.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
    /// What this daemon has served lately.
    served: Served,
    /// All replicas that ended.
    ended: Ended,
    /// Hash of the suspect records; equal sets have equal hashes.
    digest: u64,
    /// Number of records with [`LIMIT`] ends.
    quarantined: usize,
    /// Differs between daemons, so that they send requests again at different times.
    seed: u64,
}

impl Quarantine {
    /// Creates an empty set of records.
    pub fn new() -> Self {
        Self::default()
    }

    /// The same with another seed than the other daemons have.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Returns the record of `fingerprint`.
    pub fn get(&self, fingerprint: Fingerprint) -> Option<&Record> {
        self.records.get(&fingerprint)
    }

    /// Why a request with `content` is sent to no replica; `None` if it may be sent.
    pub fn withheld(&self, now: UnixMs, content: &Content) -> Option<Withheld> {
        let whole = self.quarantined_for(now, content.whole);
        let whole = whole.map(|remaining| Withheld {
            part: None,
            remaining,
        });
        // Of several parts with the same ends, the later ones are shared by fewer requests.
        let mut parts = content.parts.iter().rev().filter_map(|part| {
            Some(Withheld {
                part: Some(part.clone()),
                remaining: self.part_withheld_for(now, part.fingerprint, content)?,
            })
        });
        whole.or_else(|| parts.next())
    }

    /// Whether [`Self::withheld`] would hold back a request with `content` if all replicas that are
    /// being probed had ended; `probed` returns their number for a content.
    pub fn may_become_withheld(
        &self,
        now: UnixMs,
        content: &Content,
        probed: impl Fn(Fingerprint) -> usize,
    ) -> bool {
        let is_open =
            |fingerprint| probed(fingerprint) > 0 && !self.was_served_lately(now, fingerprint);
        let reaches_limit = |fingerprint, ends| ends + probed(fingerprint) >= LIMIT;
        let may_be_cause = |part| {
            let record = self.records.get(&part);
            record.is_none_or(|record| !self.is_explained(record, content))
        };
        let ends = self.records.get(&content.whole).map_or(0, |r| r.ends.len());
        let mut parts = content.parts.iter().map(|part| part.fingerprint);
        (is_open(content.whole) && reaches_limit(content.whole, ends))
            || parts.any(|part| {
                is_open(part) && reaches_limit(part, self.count_causes(part)) && may_be_cause(part)
            })
    }

    /// Time for which `fingerprint` remains quarantined; `None` if it is not.
    pub fn quarantined_for(&self, now: UnixMs, fingerprint: Fingerprint) -> Option<Duration> {
        let record = self.records.get(&fingerprint)?;
        let left = record.expires().0.checked_sub(now.0)?;
        record
            .is_quarantined()
            .then_some(Duration::from_millis(left))
    }

    /// Time for which `part` of the prompt of a request with `content` is withheld.
    fn part_withheld_for(
        &self,
        now: UnixMs,
        part: Fingerprint,
        content: &Content,
    ) -> Option<Duration> {
        let record = self.records.get(&part).filter(|r| r.is_quarantined())?;
        let left = self.withheld_until(record).0.checked_sub(now.0)?;
        let is_cause = self.count_causes(part) >= LIMIT && !self.is_explained(record, content);
        is_cause.then_some(Duration::from_millis(left))
    }

    /// Until when a part of a prompt with `record` is quarantined.
    fn withheld_until(&self, record: &Record) -> UnixMs {
        let last = record.ends.last().map(|end| end.at).unwrap_or_default();
        if !record.ended_together() {
            return record.expires();
        }
        let share = (record.fingerprint.0 ^ self.seed) as f64 / u64::MAX as f64;
        last.plus(TOGETHER_TTL).plus(TRIAL_SPREAD.mul_f64(share))
    }

    /// Number of causes that the ends attributed to the part may have had, at least.
    fn count_causes(&self, part: Fingerprint) -> usize {
        let Some(record) = self.records.get(&part) else {
            return 0;
        };
        // With as many as a record keeps, the others cannot be told from those of further parts.
        if !record.is_quarantined() || record.ends.len() == MAX_ENDS {
            return record.ends.len();
        }
        let others = self.records.values().filter(|other| other.is_quarantined());
        let others = others.filter(|other| !other.covers(record));
        let explained = others.flat_map(|other| other.ends.iter().map(|end| end.replica));
        self.ended.count_causes(record, &explained.collect())
    }

    /// Whether each end in `record`, of a part of a request with `content`, can be attributed to one
    /// other content that the request does not have: a part that sound requests share with those that
    /// crash replicas, or that ran beside them.
    fn is_explained(&self, record: &Record, content: &Content) -> bool {
        let explains = |other: &Record| {
            other.is_quarantined()
                && other.covers(record)
                && content.fingerprints().all(|own| own != other.fingerprint)
        };
        self.records.values().any(explains)
    }

    /// Whether `fingerprint` was served lately, so that no end is attributed to it.
    pub fn was_served_lately(&self, now: UnixMs, fingerprint: Fingerprint) -> bool {
        let own = self.served.get(fingerprint);
        let reported = self.records.get(&fingerprint).map(|record| record.served);
        let served = own.max(reported).unwrap_or_default();
        served > UnixMs(0) && now <= served.plus(SERVED_GRACE)
    }

    /// Number of contents under which [`LIMIT`] replicas ended.
    pub const fn quarantined(&self) -> usize {
        self.quarantined
    }

    /// Hash of the suspect records, which daemons compare.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Records of contents that are quarantined or one end short of it.
    pub fn suspects(&self) -> Vec<Record> {
        let suspects = self.records.values().filter(|record| record.is_suspect());
        suspects.cloned().collect()
    }

    /// The records.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// All records, for a daemon that starts.
    pub fn all(&self) -> Vec<Record> {
        self.records.values().cloned().collect()
    }

    /// Records that `replica` ended while running `fingerprint`.
    pub fn note_end(&mut self, now: UnixMs, fingerprint: Fingerprint, replica: u64) -> Change {
        let mut record = Record::new(fingerprint);
        record.ends.push(End { replica, at: now });
        self.merge(now, &record)
    }

    /// Records that `fingerprint` was served. Returns its previous record if ends were attributed
    /// to it.
    pub fn note_served(&mut self, now: UnixMs, fingerprint: Fingerprint) -> Option<Record> {
        self.served.insert(now, fingerprint);
        let record = self.records.get(&fingerprint);
        let known = record.filter(|record| !record.ends.is_empty()).cloned()?;
        self.merge(now, &Record::served(fingerprint, now));
        Some(known)
    }

    /// Merges a record from another daemon or the store.
    pub fn merge(&mut self, now: UnixMs, other: &Record) -> Change {
        if other.expires() <= now {
            return Change::None;
        }
        for end in &other.ends {
            self.ended.insert(end.replica, end.at);
        }
        let fingerprint = other.fingerprint;
        let known = self.records.get(&fingerprint).cloned();
        let before = known.unwrap_or_else(|| Record::new(fingerprint));
        let mut record = before.clone();
        record.merge(other);
        if let Some(served) = self.served.get(fingerprint) {
            record.merge(&Record::served(fingerprint, served));
        }
        let is_dropped = |end: &End| !record.is_quarantined() && !record.has(end.replica);
        let change = match &record {
            record if record.is_quarantined() && !before.is_quarantined() => Change::Quarantined,
            _ if other.ends.iter().any(is_dropped) => Change::Served,
            record if *record == before => Change::None,
            record if record.ends.len() < before.ends.len() => Change::Cleared,
            _ => Change::Other,
        };
        self.replace(&before, record);
        change
    }

    /// Removes expired records.
    pub fn remove_expired(&mut self, now: UnixMs) {
        let records = self.records.values();
        let expired: Vec<Record> = records.filter(|r| r.expires() <= now).cloned().collect();
        for record in expired {
            self.remove(&record);
        }
        let oldest = now.0.saturating_sub(RECORD_TTL.as_millis() as u64);
        self.ended.remove_until(UnixMs(oldest));
    }

    fn replace(&mut self, before: &Record, record: Record) {
        self.subtract(before);
        self.digest = self.digest.wrapping_add(record.digest_part());
        self.quarantined += usize::from(record.is_quarantined());
        self.records.insert(record.fingerprint, record);
        if self.records.len() > MAX_RECORDS {
            self.evict();
        }
    }

    /// Removes half of the records: those with the fewest ends, and of these the oldest first.
    fn evict(&mut self) {
        let mut records: Vec<Record> = self.records.values().cloned().collect();
        records.sort_by_key(|record| (record.ends.len(), record.expires()));
        for record in &records[..MAX_RECORDS / 2] {
            self.remove(record);
        }
    }

    fn remove(&mut self, record: &Record) {
        self.records.remove(&record.fingerprint);
        self.subtract(record);
    }

    fn subtract(&mut self, record: &Record) {
        self.digest = self.digest.wrapping_sub(record.digest_part());
        self.quarantined -= usize::from(record.is_quarantined());
    }
}
