//! The software versions that began streams, so that callers can resume them at any instance.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use ident::Time;
use rapidhash::v3::rapidhash_v3;
use serde::Deserialize;
use serde::Serialize;

/// Minimum interval between two writes of a daemon while one version serves: the rows matter only where
/// all daemons end before they know the next version.
const SAVE_INTERVAL: Duration = Duration::from_secs(2);
/// The same while several versions may serve.
const MIXED_SAVE_INTERVAL: Duration = Duration::from_millis(100);
/// Writes of all daemons together, a quarter of what the store takes.
const MAX_WRITES_PER_S: f64 = 100.0;
/// Maximum rate at which a daemon writes, half of its control traffic after the encoding of the store.
const MAX_BYTES_PER_S: f64 = 4_800.0;

/// Identifies a stream: hash of the id of the attempt that received its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stream(pub u64);

impl Stream {
    /// The stream whose first event the attempt `id` received.
    pub fn new(id: &str) -> Self {
        Self(rapidhash_v3(id.as_bytes()))
    }
}

/// Which version began a stream, as one daemon announces it to others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// The stream.
    pub stream: Stream,
    /// The version that brought its first event.
    pub software: String,
    /// Time for which the stream may be resumed.
    pub lifetime: Duration,
}

/// What a daemon knows of one stream.
#[derive(Debug, Clone)]
struct Record {
    software: String,
    expires: Time,
}

/// Two records name different versions for one stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Conflict;

/// The streams that a daemon knows: its own, and those that others announced to it.
///
/// A stream is recorded once an event of it is forwarded: until then any version may still begin it,
/// and from then on no other one can. So a record never becomes false.
#[derive(Debug, Default)]
pub struct Begins {
    records: HashMap<Stream, Record>,
    /// Streams of this daemon that it has not announced, with their services.
    unannounced: HashMap<Stream, String>,
    /// Streams of this daemon, which it keeps saved.
    saved: HashSet<Stream>,
    /// Whether one of them has begun or was resumed and is not saved.
    has_unsaved: bool,
}

impl Begins {
    /// No streams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `software` began `stream` of `service`, which goes on at this daemon and has to be
    /// announced and saved.
    ///
    /// # Errors
    /// If another version is recorded, which is kept.
    pub fn begin(
        &mut self,
        now: Time,
        stream: Stream,
        service: &str,
        software: &str,
        lifetime: Duration,
    ) -> Result<(), Conflict> {
        self.record(stream, software, now + lifetime)?;
        self.unannounced.insert(stream, service.to_owned());
        self.saved.insert(stream);
        self.has_unsaved = true;
        Ok(())
    }

    /// Records what another daemon announced or saved.
    ///
    /// # Errors
    /// If another version is recorded, which is kept.
    pub fn learn(&mut self, now: Time, begin: &Begin) -> Result<(), Conflict> {
        self.record(begin.stream, &begin.software, now + begin.lifetime)
    }

    fn record(&mut self, stream: Stream, software: &str, expires: Time) -> Result<(), Conflict> {
        let record = self.records.entry(stream).or_insert_with(|| Record {
            software: software.to_owned(),
            expires,
        });
        if record.software != software {
            return Err(Conflict);
        }
        record.expires = record.expires.max(expires);
        Ok(())
    }

    /// The version that began `stream`, if it is known.
    pub fn find(&self, now: Time, stream: Stream) -> Option<&str> {
        let record = self.records.get(&stream)?;
        (now < record.expires).then_some(record.software.as_str())
    }

    /// Returns the streams of this daemon that it has not announced and whose service meets `is_due`;
    /// they count as announced from now on.
    pub fn take_unannounced(
        &mut self,
        now: Time,
        mut is_due: impl FnMut(&str) -> bool,
    ) -> Vec<Begin> {
        let due = self
            .unannounced
            .extract_if(|_, service| is_due(service.as_str()));
        let records = due.filter_map(|(stream, _)| Some((stream, self.records.get(&stream)?)));
        records
            .map(|(stream, record)| record.begin(now, stream))
            .collect()
    }

    /// Whether a stream of this daemon has begun or was resumed since the last call. A resumed one
    /// lives longer, which others see by a newer version of its row.
    pub const fn take_unsaved(&mut self) -> bool {
        std::mem::replace(&mut self.has_unsaved, false)
    }

    /// The streams to keep saved, with their versions: the `most` that can be resumed the longest.
    pub fn saved(&self, now: Time, most: usize) -> Vec<(Stream, &str)> {
        let streams = self.saved.iter();
        let records = streams.filter_map(|stream| Some((*stream, self.records.get(stream)?)));
        let mut live: Vec<_> = records.filter(|(_, record)| now < record.expires).collect();
        live.sort_unstable_by_key(|(stream, record)| (Reverse(record.expires), *stream));
        live.truncate(most);
        let saved = live.into_iter();
        saved
            .map(|(stream, record)| (stream, record.software.as_str()))
            .collect()
    }

    /// All streams, for the daemons that have to know them after this one has left.
    pub fn all(&self, now: Time) -> Vec<Begin> {
        let records = self.records.iter();
        let records = records.filter(|(_, record)| now < record.expires);
        records
            .map(|(stream, record)| record.begin(now, *stream))
            .collect()
    }

    /// Forgets the streams that no caller can resume any more.
    pub fn remove_expired(&mut self, now: Time) {
        self.records.retain(|_, record| now < record.expires);
        self.unannounced
            .retain(|stream, _| self.records.contains_key(stream));
        self.saved
            .retain(|stream| self.records.contains_key(stream));
    }

    /// Number of known streams.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// Minimum interval from a write of `bytes` to the next one, for one of `instances` daemons, while one
/// version serves or, if `is_mixed`, while several may.
pub fn save_interval(instances: usize, bytes: usize, is_mixed: bool) -> Duration {
    let least = if is_mixed {
        MIXED_SAVE_INTERVAL
    } else {
        SAVE_INTERVAL
    };
    let by_count = instances as f64 / MAX_WRITES_PER_S;
    let by_bytes = bytes as f64 / MAX_BYTES_PER_S;
    least.max(Duration::from_secs_f64(by_count.max(by_bytes)))
}

impl Record {
    fn begin(&self, now: Time, stream: Stream) -> Begin {
        Begin {
            stream,
            software: self.software.clone(),
            lifetime: self.expires.since(now),
        }
    }
}
