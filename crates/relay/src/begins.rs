//! The software versions that began streams, so that callers can resume them at any instance.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use ident::Time;
use rapidhash::v3::rapidhash_v3;
use serde::Deserialize;
use serde::Serialize;

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
    /// The version.
    pub software: String,
    /// Number of versions before it that brought no event; announcements may overtake each other.
    pub change: u8,
    /// Time for which the stream may be resumed.
    pub lifetime: Duration,
}

/// What is known of the version of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Known<'a> {
    /// The version that the stream was sent to last, as far as the daemon knows.
    pub software: &'a str,
    /// Number of versions before it that brought no event.
    pub change: u8,
    /// Whether it brought an event, so that no other version can have begun the stream.
    pub is_begun: bool,
}

/// What a daemon knows of one stream.
#[derive(Debug, Clone)]
struct Record {
    software: String,
    change: u8,
    expires: Time,
    /// Whether an event of this version was forwarded; before that, another version may begin it.
    is_begun: bool,
}

/// The streams that a daemon knows: its own, and those that others announced to it.
#[derive(Debug, Default)]
pub struct Begins {
    records: HashMap<Stream, Record>,
    /// Streams of this daemon that it has not announced, with their services.
    unannounced: HashMap<Stream, String>,
    /// Streams that this daemon began to forward and has not saved, with their services.
    unsaved: HashMap<Stream, String>,
    /// Streams that this daemon keeps saved.
    saved: HashSet<Stream>,
}

impl Begins {
    /// No streams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `software` begins or resumes `stream` of `service` at this daemon, which has to
    /// be announced.
    pub fn begin(
        &mut self,
        now: Time,
        stream: Stream,
        service: &str,
        software: &str,
        lifetime: Duration,
    ) {
        let known = self.records.get(&stream);
        let change = known.map_or(0, |known| {
            let is_other = known.software != software;
            known.change.saturating_add(u8::from(is_other))
        });
        let record = Record {
            software: software.to_owned(),
            change,
            expires: now + lifetime,
            is_begun: known.is_some_and(|known| known.is_begun && known.software == software),
        };
        self.records.insert(stream, record);
        self.unannounced.insert(stream, service.to_owned());
    }

    /// Records that this daemon forwarded an event of `stream`, of `service`, which therefore goes on
    /// at no other version than `software`. Has no effect if another one was recorded last: the stream
    /// was sent to a replica of an unknown version then.
    pub fn note_event(&mut self, stream: Stream, service: &str, software: &str) {
        let record = self.records.get_mut(&stream);
        if let Some(record) = record.filter(|record| record.software == software) {
            record.is_begun = true;
            self.unsaved.insert(stream, service.to_owned());
        }
    }

    /// Records that `software` began `stream`, as a daemon saved it after the first event.
    pub fn restore(&mut self, now: Time, stream: Stream, software: &str, lifetime: Duration) {
        let record = Record {
            software: software.to_owned(),
            change: 0,
            expires: now + lifetime,
            is_begun: true,
        };
        self.records.insert(stream, record);
    }

    /// Records what another daemon announced.
    pub fn learn(&mut self, now: Time, begin: &Begin) {
        let expires = now + begin.lifetime;
        match self.records.get_mut(&begin.stream) {
            Some(known) if known.is_begun && known.software != begin.software => {}
            Some(known) if known.change > begin.change => {}
            Some(known) if known.software == begin.software => {
                known.expires = known.expires.max(expires);
                known.change = known.change.max(begin.change);
            }
            _ => {
                let record = Record {
                    software: begin.software.clone(),
                    change: begin.change,
                    expires,
                    is_begun: false,
                };
                self.records.insert(begin.stream, record);
            }
        }
    }

    /// What is known of `stream`.
    pub fn find(&self, now: Time, stream: Stream) -> Option<Known<'_>> {
        let record = self.records.get(&stream)?;
        (now < record.expires).then_some(Known {
            software: &record.software,
            change: record.change,
            is_begun: record.is_begun,
        })
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

    /// Keeps the begun streams whose service meets `is_due` saved from now on; returns whether any is
    /// new.
    pub fn save_due(&mut self, mut is_due: impl FnMut(&str) -> bool) -> bool {
        let due = self
            .unsaved
            .extract_if(|_, service| is_due(service.as_str()));
        let before = self.saved.len();
        self.saved.extend(due.map(|(stream, _)| stream));
        self.saved.len() > before
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
        self.unsaved
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

impl Record {
    fn begin(&self, now: Time, stream: Stream) -> Begin {
        Begin {
            stream,
            software: self.software.clone(),
            change: self.change,
            lifetime: self.expires.since(now),
        }
    }
}
