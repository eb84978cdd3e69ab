//! Requests under which replicas ended, and which are sent to none any more.
//!
//! A request that ends each replica which runs it comes again, since its caller sees a failure and may come
//! to any daemon. So each daemon records under which requests replicas ended, the daemons tell each other,
//! and from [`LIMIT`] ended replicas on the request is quarantined.
//!
//! Records are merged: ends are collected, and the latest time at which the request was served counts. The
//! order in which daemons hear of them makes no difference.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::fingerprint::Fingerprint;

/// Replicas that may end while they are at work on one request before it is quarantined. One or two may end for
/// a reason of their own while the request is there by chance, and it is sent again.
pub const LIMIT: usize = 3;
/// Ends from which on a record is kept in the store and compared between daemons: one more quarantines the request.
const SUSPECT: usize = LIMIT - 1;
/// Time after the last end for which a record counts. The request would end replicas again until the engines
/// are replaced, which takes operators a day.
const KEEP: Duration = Duration::from_hours(24);
/// Time after a request was served for which no end is put down to it. One that ends each replica is served
/// nowhere; one that many callers send at once is at work at several replicas that end together, as those of
/// one rack do. Also covers the difference between the daemons' clocks.
const SERVED_LATELY: Duration = Duration::from_mins(1);
/// Records at most: those of the runs at 128 replicas of 64 slots that end together.
const MAX_RECORDS: usize = 8_192;
/// Served requests that are remembered at most.
const MAX_SERVED: usize = 1_024;

/// Time of day, in milliseconds since the Unix epoch: daemons compare theirs, and a machine's suspension counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UnixMs(pub u64);

impl UnixMs {
    const fn plus(self, time: Duration) -> Self {
        Self(self.0.saturating_add(time.as_millis() as u64))
    }
}

/// One replica that ended while it was at work on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Hash of the replica's id and birth, as in [`crate::server::Server::hash`].
    pub replica: u64,
    /// When a daemon noted it.
    pub at: UnixMs,
}

/// What is known of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Replicas that ended, each once, [`LIMIT`] at most.
    pub ends: Vec<End>,
    /// When it was served last, as far as that was asked; zero if it never was.
    pub served: UnixMs,
}

impl Record {
    /// A record without ends.
    pub const fn new(fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint,
            ends: Vec::new(),
            served: UnixMs(0),
        }
    }

    /// A record that tells when the request was served.
    pub const fn served(fingerprint: Fingerprint, at: UnixMs) -> Self {
        Self {
            fingerprint,
            ends: Vec::new(),
            served: at,
        }
    }

    /// Whether the request is sent to no replica any more.
    pub const fn is_quarantined(&self) -> bool {
        self.ends.len() >= LIMIT
    }

    /// Whether one more end would quarantine the request, or it is quarantined.
    pub const fn is_suspect(&self) -> bool {
        self.ends.len() >= SUSPECT
    }

    /// When it is forgotten.
    pub fn expires(&self) -> UnixMs {
        let last = self.ends.iter().map(|end| end.at).max();
        last.unwrap_or(self.served).plus(KEEP)
    }

    fn has(&self, end: &End) -> bool {
        self.ends.iter().any(|known| known.replica == end.replica)
    }

    /// Its part of the hash that daemons compare. Which replicas ended counts only while one more would
    /// quarantine the request.
    fn weight(&self) -> u64 {
        let replicas = self.ends.iter().map(|end| end.replica);
        match self {
            record if record.is_quarantined() => record.fingerprint.0,
            record if record.is_suspect() => {
                record.fingerprint.0 ^ replicas.fold(0, u64::wrapping_add)
            }
            _ => 0,
        }
    }

    /// Takes what `other` knows more.
    fn merge(&mut self, other: &Self) {
        self.served = self.served.max(other.served);
        for end in &other.ends {
            if !self.has(end) {
                self.ends.push(*end);
            }
        }
        let counted_after = self.served.plus(SERVED_LATELY);
        let served = self.served > UnixMs(0);
        self.ends.retain(|end| !served || end.at > counted_after);
        self.ends.truncate(LIMIT);
    }
}

/// What a record that was told has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// The request is quarantined from now on.
    Quarantined,
    /// An end that was told does not count, since the request was served; the teller is to be told.
    Served,
    /// Something else.
    Other,
}

/// All records of one daemon.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
    /// Requests that were served lately, by this daemon.
    served: HashMap<Fingerprint, UnixMs>,
    /// The same, in the order in which they were first served.
    served_order: VecDeque<Fingerprint>,
    /// Hash of the suspect records; equal sets give equal hashes.
    digest: u64,
    /// Quarantined requests.
    quarantined: usize,
}

impl Quarantine {
    /// No records.
    pub fn new() -> Self {
        Self::default()
    }

    /// What is known of `fingerprint`.
    pub fn get(&self, fingerprint: Fingerprint) -> Option<&Record> {
        self.records.get(&fingerprint)
    }

    /// Time for which `fingerprint` stays quarantined; `None` if it is not.
    pub fn quarantined_for(&self, now: UnixMs, fingerprint: Fingerprint) -> Option<Duration> {
        let record = self.records.get(&fingerprint)?;
        let left = record.expires().0.checked_sub(now.0)?;
        record
            .is_quarantined()
            .then_some(Duration::from_millis(left))
    }

    /// Whether `fingerprint` was served lately, so that no end is put down to it.
    pub fn was_served_lately(&self, now: UnixMs, fingerprint: Fingerprint) -> bool {
        let own = self.served.get(&fingerprint).copied();
        let told = self.records.get(&fingerprint).map(|record| record.served);
        let served = own.max(told).unwrap_or_default();
        served > UnixMs(0) && now <= served.plus(SERVED_LATELY)
    }

    /// How many requests are quarantined.
    pub const fn quarantined(&self) -> usize {
        self.quarantined
    }

    /// Hash of what daemons compare: the records of requests that are quarantined or nearly so.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// The records that daemons compare.
    pub fn suspects(&self) -> Vec<Record> {
        let suspects = self.records.values().filter(|record| record.is_suspect());
        suspects.cloned().collect()
    }

    /// All records, for a daemon that starts.
    pub fn all(&self) -> Vec<Record> {
        self.records.values().cloned().collect()
    }

    /// Notes that `replica` ended while at work on `fingerprint`.
    pub fn note_end(&mut self, now: UnixMs, fingerprint: Fingerprint, replica: u64) -> Change {
        let mut record = Record::new(fingerprint);
        record.ends.push(End { replica, at: now });
        self.merge(now, &record)
    }

    /// Notes that `fingerprint` was served; gives its record as it was, if ends were put down to it.
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

    /// Takes what another daemon, or the store, told.
    pub fn merge(&mut self, now: UnixMs, told: &Record) -> Change {
        if told.expires() <= now {
            return Change::None;
        }
        let fingerprint = told.fingerprint;
        let known = self.records.get(&fingerprint).cloned();
        let before = known.unwrap_or_else(|| Record::new(fingerprint));
        let mut record = before.clone();
        record.merge(told);
        if let Some(served) = self.served.get(&fingerprint) {
            record.merge(&Record::served(fingerprint, *served));
        }
        let is_dropped = |end: &End| !record.is_quarantined() && !record.has(end);
        let change = match &record {
            record if record.is_quarantined() && !before.is_quarantined() => Change::Quarantined,
            _ if told.ends.iter().any(is_dropped) => Change::Served,
            record if *record == before => Change::None,
            _ => Change::Other,
        };
        self.replace(&before, record);
        change
    }

    /// Forgets the records whose time is over.
    pub fn remove_expired(&mut self, now: UnixMs) {
        let records = self.records.values();
        let over: Vec<Record> = records.filter(|r| r.expires() <= now).cloned().collect();
        for record in over {
            self.forget(&record);
        }
    }

    fn replace(&mut self, before: &Record, record: Record) {
        self.discount(before);
        self.digest = self.digest.wrapping_add(record.weight());
        self.quarantined += usize::from(record.is_quarantined());
        self.records.insert(record.fingerprint, record);
        if self.records.len() > MAX_RECORDS {
            self.make_room();
        }
    }

    /// Forgets half of the records: those with the fewest ends, the oldest of them before the others.
    fn make_room(&mut self) {
        let mut records: Vec<Record> = self.records.values().cloned().collect();
        records.sort_by_key(|record| (record.ends.len(), record.expires()));
        for record in &records[..MAX_RECORDS / 2] {
            self.forget(record);
        }
    }

    fn forget(&mut self, record: &Record) {
        self.records.remove(&record.fingerprint);
        self.discount(record);
    }

    fn discount(&mut self, record: &Record) {
        self.digest = self.digest.wrapping_sub(record.weight());
        self.quarantined -= usize::from(record.is_quarantined());
    }
}
