//! Saves in the store which versions began the streams of this daemon, for callers that resume them
//! after all instances that knew it have ended.
//!
//! Each run of a daemon has a row of its own, also while one version serves: all instances may have ended
//! before they see the next version. A stream is saved once an event of it was forwarded: from then on
//! no other version can begin it, so that a row stays true whatever happens to its daemon.

use std::rc::Rc;
use std::time::Duration;

use bincode::error::EncodeError;
use boottime::Instant;
use boottime::timer::timeout;
use platform::store::Row;
use relay::begins::Begin;
use relay::begins::Stream;
use relay::begins::save_interval;
use serde::Deserialize;
use serde::Serialize;

use crate::begins;
use crate::begins::lookup;
use crate::begins::tables::BEGINS;
use crate::codec;
use crate::shared::Shared;
use crate::watch::rewriting;

/// Interval between checks for streams that wait for the next write.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Minimum pause after a failed write, so that daemons do not flood a store that fails.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
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

/// Keeps the row of this daemon up to date, forever.
pub async fn run(shared: Rc<Shared>) {
    let mut writer = Writer::new(&shared);
    loop {
        let _ = timeout(CHECK_PERIOD, shared.stream_begun.notified()).await;
        writer.step(&shared).await;
    }
}

/// Writes the row of this daemon once streams have begun or were resumed: at once, or after an
/// interval from the last write.
#[derive(Debug)]
struct Writer {
    key: String,
    is_outdated: bool,
    /// Era in which the row was written.
    era: Option<u64>,
    written_at: Option<Instant>,
    /// Size of the row then.
    bytes: usize,
    /// Earliest time of the next write, in a new era or after a failure.
    held_until: Instant,
}

impl Writer {
    fn new(shared: &Shared) -> Self {
        let run: u32 = rand::random();
        Self {
            key: format!("{}.{run:08x}", shared.settings().instance),
            is_outdated: false,
            era: None,
            written_at: None,
            bytes: 0,
            held_until: Instant::now(),
        }
    }

    async fn step(&mut self, shared: &Shared) {
        self.is_outdated |= shared.begins.borrow_mut().take_unsaved();
        // The store may have come back from a copy without the row, for all daemons at once.
        if !self.is_outdated && self.era.is_some_and(|era| era < shared.era()) {
            let spread = rewriting::spread(shared.members.borrow().known_count());
            self.is_outdated = true;
            self.held_until = Instant::now() + spread.mul_f64(rand::random());
        }
        if self.is_outdated && self.is_due(shared) {
            self.write(shared).await;
        }
    }

    fn is_due(&self, shared: &Shared) -> bool {
        let instances = shared.members.borrow().known_count();
        let is_mixed = begins::is_mixed(shared);
        let interval = save_interval(instances, self.bytes, is_mixed);
        Instant::now() >= self.held_until
            && self.written_at.is_none_or(|at| at.elapsed() >= interval)
    }

    async fn write(&mut self, shared: &Shared) {
        self.written_at = Some(Instant::now());
        let row = match encode(shared) {
            Ok(row) => row,
            Err(error) => {
                log::error!(kind = "begin", cause = error.to_string(); "the begins of streams cannot be encoded");
                return;
            }
        };
        self.bytes = row.len();
        match shared.store.write(BEGINS, &self.key, &row).await {
            Ok(era) => {
                shared.store_answered("begins");
                self.era = Some(era);
                self.is_outdated = false;
                log::debug!(kind = "begin", bytes = row.len() as u64; "saved the begins of streams");
            }
            Err(error) => {
                shared.store_failed("begins", &error);
                self.held_until = Instant::now() + RETRY_PAUSE;
            }
        }
    }
}

/// The row of this daemon.
fn encode(shared: &Shared) -> Result<Vec<u8>, EncodeError> {
    let begins = shared.begins.borrow();
    let streams = begins.saved(shared.clock.now(), MAX_STREAMS);
    codec::encode(&Saved::new(&streams))
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
