//! Saves in the store which versions began the streams of this daemon, for callers that resume them
//! after all instances that knew it have ended.
//!
//! Each run of a daemon has a row of its own, which it writes only while several versions may serve;
//! otherwise [`storage`](crate::begins::storage) has a record for all streams. A stream is saved once an
//! event of it was forwarded: from then on no other version can begin it, so that a row stays true
//! whatever happens to its daemon.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::sleep;
use ident::Pool;
use platform::store::Row;
use relay::begins::Begin;
use relay::begins::Stream;
use relay::revision::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::begins;
use crate::begins::lookup;
use crate::begins::storage;
use crate::begins::tables::BEGINS;
use crate::codec;
use crate::shared::Shared;
use crate::store::Error;

/// Interval between checks for streams to save.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Minimum interval between two writes of the row: the streams of a busy daemon share a write.
const WRITE_PERIOD: Duration = Duration::from_millis(500);
/// Maximum number of streams in a row, which has 64 KB at most; a stream takes some 10 bytes.
const MAX_STREAMS: usize = 4_000;

/// Content of a row.
#[derive(Debug, Serialize, Deserialize)]
struct Saved {
    versions: Vec<String>,
    /// With the position of its version.
    streams: Vec<(Stream, u16)>,
}

impl Saved {
    fn new(begins: &[(Stream, &str)]) -> Self {
        let mut saved = Self {
            versions: Vec::new(),
            streams: Vec::new(),
        };
        for (stream, software) in begins {
            let known = saved.versions.iter().position(|known| known == software);
            let position = known.unwrap_or_else(|| {
                saved.versions.push((*software).to_owned());
                saved.versions.len() - 1
            });
            saved.streams.push((*stream, position as u16));
        }
        saved
    }

    /// The streams with their versions.
    fn begins(&self) -> impl Iterator<Item = (Stream, &str)> {
        self.streams.iter().filter_map(|(stream, position)| {
            let software = self.versions.get(usize::from(*position))?;
            Some((*stream, software.as_str()))
        })
    }
}

/// Keeps the row of this daemon up to date, and removes those of ended daemons, forever.
pub async fn run(shared: Rc<Shared>) {
    let run: u32 = rand::random();
    let key = format!("{}.{run:08x}", shared.settings().instance);
    let mut is_outdated = false;
    let mut written_at: Option<Instant> = None;
    let mut written_era = 0;
    let mut cleanup = Cleanup::new(&shared);
    loop {
        sleep(CHECK_PERIOD).await;
        is_outdated |= begins::save_due(&shared);
        // The store may have come back from a copy without the row.
        is_outdated |= written_at.is_some() && written_era < shared.era();
        if is_outdated && written_at.is_none_or(|at| at.elapsed() >= WRITE_PERIOD) {
            written_at = Some(Instant::now());
            if let Some(era) = write(&shared, &key).await {
                is_outdated = false;
                written_era = era;
            }
        }
        cleanup.step(&shared).await;
    }
}

/// Writes the row of this daemon; returns the era in which it was written.
async fn write(shared: &Shared, key: &str) -> Option<u64> {
    let (value, streams) = {
        let begins = shared.begins.borrow();
        let begins = begins.saved(shared.clock.now(), MAX_STREAMS);
        let saved = Saved::new(&begins);
        let value = codec::encode(&saved);
        (value, begins.len())
    };
    let value = match value {
        Ok(value) => value,
        Err(error) => {
            log::error!(kind = "begin", cause = error.to_string(); "the begins of streams cannot be encoded");
            return None;
        }
    };
    match shared.store.write(BEGINS, key, &value).await {
        Ok(era) => {
            shared.store_answered("begins");
            log::debug!(kind = "begin", streams = streams as u64, bytes = value.len() as u64; "saved the begins of streams");
            Some(era)
        }
        Err(error) => {
            shared.store_failed("begins", &error);
            None
        }
    }
}

/// Reads the rows of all daemons.
pub async fn load(shared: &Shared) {
    let rows = match shared.store.read(BEGINS).await {
        Ok(rows) => rows.rows,
        Err(error) => {
            shared.store_failed("begins", &error);
            return;
        }
    };
    shared.store_answered("begins");
    let lifetime = shared.stream_lifetime();
    let mut streams = 0;
    for saved in rows.iter().filter_map(|row| parse(shared, row)) {
        for (stream, software) in saved.begins() {
            let software = software.to_owned();
            let begin = Begin {
                stream,
                software,
                lifetime,
            };
            lookup::learn(shared, &begin);
            streams += 1;
        }
    }
    log::info!(kind = "begin", rows = rows.len() as u64, streams = streams; "read the saved begins of streams");
}

/// The content of `row`; `None` if it cannot be read.
fn parse(shared: &Shared, row: &Row) -> Option<Saved> {
    let value = row.value.as_deref().unwrap_or_default();
    match codec::decode(value) {
        Ok((saved, _)) => Some(saved),
        Err(_) if !shared.may_log_unreadable(BEGINS, &row.key) => None,
        Err(error) => {
            log::warn!(kind = "begin", key = row.key, cause = error.to_string(); "the saved begins of streams cannot be read");
            None
        }
    }
}

/// Removes the rows that do not change for as long as a stream can be resumed, at intervals of that time.
#[derive(Debug)]
struct Cleanup {
    /// When each row was first seen, and its version then.
    seen: HashMap<String, (Revision, Instant)>,
    /// Whether the table may have rows.
    has_rows: bool,
    checked_at: Instant,
}

impl Cleanup {
    fn new(shared: &Shared) -> Self {
        Self {
            seen: HashMap::new(),
            has_rows: !shared.settings().first_start,
            checked_at: Instant::now(),
        }
    }

    async fn step(&mut self, shared: &Shared) {
        let lifetime = shared.stream_lifetime();
        if !shared.knows_recorded_lifetime() || self.checked_at.elapsed() < lifetime {
            return;
        }
        self.checked_at = Instant::now();
        let services = storage::resumable_services(shared);
        self.has_rows |= services
            .iter()
            .any(|service| shared.only_version(service).is_none());
        let is_owner = shared.members.borrow().is_owner(Pool::new(BEGINS).0);
        if !is_owner || !self.has_rows {
            return;
        }
        if let Err(error) = self.remove_unchanged(shared).await {
            shared.store_failed("begins", &error);
        }
    }

    async fn remove_unchanged(&mut self, shared: &Shared) -> Result<(), Error> {
        let rows = shared.store.read(BEGINS).await?;
        let seen = std::mem::take(&mut self.seen);
        for row in &rows.rows {
            let revision = Revision::new(rows.revision.era, row.version);
            let since = match seen.get(&row.key) {
                Some((known, since)) if *known == revision => *since,
                _ => Instant::now(),
            };
            if since.elapsed() >= shared.stream_lifetime() {
                shared
                    .store
                    .remove_version(BEGINS, &row.key, revision)
                    .await?;
            } else {
                self.seen.insert(row.key.clone(), (revision, since));
            }
        }
        self.has_rows = !self.seen.is_empty();
        Ok(())
    }
}
