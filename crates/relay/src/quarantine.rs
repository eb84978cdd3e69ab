//! Quarantines requests that make replicas crash.
//!
//! A request that crashes each replica it runs on comes again, since its caller sees a failure and
//! may retry at any daemon. So each daemon records which replicas ended while running a request,
//! the daemons exchange these records, and after [`LIMIT`] ended replicas the request is
//! quarantined.
//!
//! Merging records is commutative: the ends are united, and the latest time at which the request
//! was served counts.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::fingerprint::Fingerprint;

/// Number of replicas that may end while running a request before it is quarantined. One or two may
/// end for unrelated reasons, and the request is sent again.
pub const LIMIT: usize = 3;
/// Maximum number of ends of one record: the earliest ones and the latest. More than [`LIMIT`], so
/// that a service that withdraws some of them leaves the same ones in whatever order records merge.
pub const MAX_ENDS: usize = 16;
/// Number of ends from which a record is kept in the store and compared between daemons: one more
/// quarantines the request.
const SUSPECT: usize = LIMIT - 1;
/// How long a record is kept after the last end. The request would crash replicas until the engines
/// are replaced, which takes operators a day.
const RECORD_TTL: Duration = Duration::from_hours(24);
/// Time after a request was served during which no end is attributed to it. A request that crashes
/// replicas is served nowhere, whereas one that many callers send at once runs on several replicas
/// that may end together, such as those of one rack. Also covers the clock difference between
/// daemons.
const SERVED_GRACE: Duration = Duration::from_mins(1);
/// Maximum number of records: those of the runs at 128 replicas of 64 slots that end together.
const MAX_RECORDS: usize = 8_192;
/// Maximum number of served requests that are remembered.
const MAX_SERVED: usize = 1_024;

/// Wall-clock time in milliseconds since the Unix epoch. Comparable between daemons, and advances
/// while a machine is suspended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UnixMs(pub u64);

impl UnixMs {
    const fn plus(self, time: Duration) -> Self {
        Self(self.0.saturating_add(time.as_millis() as u64))
    }
}

/// The end of a replica while it was running a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Hash of the replica's id and start time, as in [`crate::server::Server::hash`].
    pub replica: u64,
    /// When a daemon recorded it.
    pub at: UnixMs,
}

/// Ends attributed to one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Distinct replicas that ended, in order of time, at most [`MAX_ENDS`].
    pub ends: Vec<End>,
    /// When the request was last served, as far as known; zero if never.
    pub served: UnixMs,
}

impl Record {
    /// Creates a record without ends.
    pub const fn new(fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint,
            ends: Vec::new(),
            served: UnixMs(0),
        }
    }

    /// Creates a record of the time at which the request was served.
    pub const fn served(fingerprint: Fingerprint, at: UnixMs) -> Self {
        Self {
            fingerprint,
            ends: Vec::new(),
            served: at,
        }
    }

    /// Whether the request is quarantined.
    pub const fn is_quarantined(&self) -> bool {
        self.ends.len() >= LIMIT
    }

    /// Whether the request is quarantined, or one more end would quarantine it.
    pub const fn is_suspect(&self) -> bool {
        self.ends.len() >= SUSPECT
    }

    /// When the record expires.
    pub fn expires(&self) -> UnixMs {
        let last = self.ends.iter().map(|end| end.at).max();
        last.unwrap_or(self.served).plus(RECORD_TTL)
    }

    fn has(&self, end: &End) -> bool {
        self.ends.iter().any(|known| known.replica == end.replica)
    }

    /// Contribution to the hash that daemons compare. The identity of the ended replicas matters
    /// only while one more end would quarantine the request.
    fn digest_part(&self) -> u64 {
        let replicas = self.ends.iter().map(|end| end.replica);
        match self {
            record if record.is_quarantined() => record.fingerprint.0,
            record if record.is_suspect() => {
                record.fingerprint.0 ^ replicas.fold(0, u64::wrapping_add)
            }
            _ => 0,
        }
    }

    /// Adds what `other` has in addition.
    fn merge(&mut self, other: &Self) {
        self.served = self.served.max(other.served);
        for end in &other.ends {
            match self.ends.iter_mut().find(|known| known.replica == end.replica) {
                Some(known) => known.at = known.at.min(end.at),
                None => self.ends.push(*end),
            }
        }
        let counted_after = self.served.plus(SERVED_GRACE);
        let served = self.served > UnixMs(0);
        self.ends.retain(|end| !served || end.at > counted_after);
        self.ends.sort_by_key(|end| (end.at, end.replica));
        if self.ends.len() > MAX_ENDS {
            let latest = self.ends.len() - 1;
            self.ends.drain(MAX_ENDS - 1..latest);
        }
    }
}

/// Effect of merging a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing changed.
    None,
    /// The request is quarantined from now on.
    Quarantined,
    /// A received end does not count because the request was served; the sender should be informed.
    Served,
    /// Another change.
    Other,
}

/// All records of one daemon.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
    /// Requests that this daemon has served lately.
    served: HashMap<Fingerprint, UnixMs>,
    /// The same requests, in the order in which they were first served.
    served_order: VecDeque<Fingerprint>,
    /// Hash of the suspect records; equal sets have equal hashes.
    digest: u64,
    /// Number of quarantined requests.
    quarantined: usize,
}

impl Quarantine {
    /// Creates an empty set of records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the record of `fingerprint`.
    pub fn get(&self, fingerprint: Fingerprint) -> Option<&Record> {
        self.records.get(&fingerprint)
    }

    /// Time for which `fingerprint` remains quarantined; `None` if it is not.
    pub fn quarantined_for(&self, now: UnixMs, fingerprint: Fingerprint) -> Option<Duration> {
        let record = self.records.get(&fingerprint)?;
        let left = record.expires().0.checked_sub(now.0)?;
        record
            .is_quarantined()
            .then_some(Duration::from_millis(left))
    }

    /// Whether `fingerprint` was served lately, so that no end is attributed to it.
    pub fn was_served_lately(&self, now: UnixMs, fingerprint: Fingerprint) -> bool {
        let own = self.served.get(&fingerprint).copied();
        let reported = self.records.get(&fingerprint).map(|record| record.served);
        let served = own.max(reported).unwrap_or_default();
        served > UnixMs(0) && now <= served.plus(SERVED_GRACE)
    }

    /// Number of quarantined requests.
    pub const fn quarantined(&self) -> usize {
        self.quarantined
    }

    /// Hash of the suspect records, which daemons compare.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Records of requests that are quarantined or one end short of it.
    pub fn suspects(&self) -> Vec<Record> {
        let suspects = self.records.values().filter(|record| record.is_suspect());
        suspects.cloned().collect()
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
        if self.served.insert(fingerprint, now).is_none() {
            self.served_order.push_back(fingerprint);
        }
        if self.served_order.len() > MAX_SERVED {
            let first = self.served_order.pop_front();
            first.map(|first| self.served.remove(&first));
        }
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
        let fingerprint = other.fingerprint;
        let known = self.records.get(&fingerprint).cloned();
        let before = known.unwrap_or_else(|| Record::new(fingerprint));
        let mut record = before.clone();
        record.merge(other);
        if let Some(served) = self.served.get(&fingerprint) {
            record.merge(&Record::served(fingerprint, *served));
        }
        let is_dropped = |end: &End| !record.is_quarantined() && !record.has(end);
        let change = match &record {
            record if record.is_quarantined() && !before.is_quarantined() => Change::Quarantined,
            _ if other.ends.iter().any(is_dropped) => Change::Served,
            record if *record == before => Change::None,
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
