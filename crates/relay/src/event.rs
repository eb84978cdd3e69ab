//! Splits a stream of events (`text/event-stream`) into whole events.
//!
//! A stream that breaks off can be resumed at another replica only after a whole event.

use std::fmt;

/// Maximum size in bytes of an event, and of what precedes it since the last one. A replica may send
/// bytes that are no event without end.
const MAX_EVENT_BYTES: usize = 512 * 1024;

/// Why a replica's events cannot be forwarded, or a stream cannot be resumed at another replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The last forwarded event has no numeric id.
    Unnumbered,
    /// The first event of the other replica does not follow the last forwarded one.
    Misplaced {
        /// Id of the last forwarded event.
        last: u64,
    },
    /// Too many bytes arrived without an event.
    TooLong {
        /// Number of bytes since the last event.
        bytes: usize,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unnumbered => write!(f, "the last forwarded event has no id"),
            Self::Misplaced { last } => write!(f, "its first event does not follow event {last}"),
            Self::TooLong { bytes } => write!(f, "{bytes} bytes without an event"),
        }
    }
}

impl std::error::Error for Error {}

/// Position in the stream after the last forwarded bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Position {
    /// Nothing was forwarded.
    #[default]
    Start,
    /// After the whole event with this id.
    After(u64),
    /// After a whole event without a numeric id.
    Unnumbered,
}

/// Buffers bytes and releases whole events.
#[derive(Debug, Clone, Default)]
pub struct Splitter {
    pending: Vec<u8>,
    /// Number of bytes released since the last event.
    released_since_event: usize,
    position: Position,
    /// Whether the ids of two successive events differed by more than one. Until this is seen, ids
    /// are assumed to increase by one.
    ids_have_gaps: bool,
    /// Id of the last event before a resume, until the first event of the other replica is checked
    /// against it.
    resumed_after: Option<u64>,
}

impl Splitter {
    /// Creates an empty splitter.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the bytes so far end inside an event.
    pub fn is_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Number of buffered bytes of an unfinished event.
    pub const fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Adds bytes and returns all events that they complete.
    ///
    /// # Errors
    /// [`Error::Misplaced`] and [`Error::TooLong`]; the rest of the replica's stream must not be
    /// forwarded.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, Error> {
        let searched = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let whole = match last_boundary(&self.pending, searched) {
            Some(end) => self.take_checked(end)?,
            None => Vec::new(),
        };
        self.ids_have_gaps |= has_gap(self.position, &whole);
        if let Some(position) = position_after(&whole) {
            self.position = position;
            self.released_since_event = 0;
            return Ok(whole);
        }
        self.released_since_event += whole.len();
        match self.released_since_event + self.pending.len() {
            bytes if bytes > MAX_EVENT_BYTES => Err(Error::TooLong { bytes }),
            _ => Ok(whole),
        }
    }

    /// Returns the remaining bytes at the regular end of the stream.
    ///
    /// # Errors
    /// [`Error::Misplaced`].
    pub fn finish(&mut self) -> Result<Vec<u8>, Error> {
        self.take_checked(self.pending.len())
    }

    /// Id of the event after which another replica can resume the stream: the last forwarded one,
    /// or `requested`, the caller's own starting point, if none was forwarded.
    ///
    /// # Errors
    /// [`Error::Unnumbered`] if another replica would repeat forwarded bytes.
    pub const fn resumes_after(&self, requested: Option<u64>) -> Result<Option<u64>, Error> {
        match self.position {
            Position::Start => Ok(requested),
            Position::After(id) => Ok(Some(id)),
            Position::Unnumbered => Err(Error::Unnumbered),
        }
    }

    /// Drops an unfinished event, because another replica resumes the stream, and returns the
    /// result of [`Splitter::resumes_after`]. The next event with an id has to follow that one.
    ///
    /// # Errors
    /// Those of [`Splitter::resumes_after`].
    pub fn resume(&mut self, requested: Option<u64>) -> Result<Option<u64>, Error> {
        let last = self.resumes_after(requested)?;
        self.pending = Vec::new();
        self.released_since_event = 0;
        self.resumed_after = last;
        Ok(last)
    }

    /// Removes and returns the first `length` bytes. The first id after a resume must follow the
    /// last one; otherwise the events belong to another run and must not be appended to what the
    /// caller has.
    fn take_checked(&mut self, length: usize) -> Result<Vec<u8>, Error> {
        let rest = self.pending.split_off(length);
        let taken = std::mem::replace(&mut self.pending, rest);
        match (self.resumed_after, first_id(&taken)) {
            (None, _) | (Some(_), None) => Ok(taken),
            (Some(last), Some(Position::After(first))) if self.follows(last, first) => {
                self.resumed_after = None;
                Ok(taken)
            }
            (Some(last), Some(_)) => Err(Error::Misplaced { last }),
        }
    }

    const fn follows(&self, last: u64, first: u64) -> bool {
        first > last && (self.ids_have_gaps || first == last.saturating_add(1))
    }
}

/// Counts the events with an id in `bytes`, which starts and ends with whole blocks of lines. An id
/// without data is no event.
pub fn count_events(bytes: &[u8]) -> u64 {
    let (mut events, mut has_id, mut has_data) = (0, false, false);
    for line in bytes.split(|byte| *byte == b'\n').chain([&[][..]]) {
        match line {
            [] | [b'\r'] => {
                events += u64::from(has_id && has_data);
                (has_id, has_data) = (false, false);
            }
            line => {
                has_id |= line.starts_with(b"id:");
                has_data |= is_data_field(line);
            }
        }
    }
    events
}

/// End of the last empty line that ends at or after `from`.
fn last_boundary(bytes: &[u8], from: usize) -> Option<usize> {
    let mut ends = (from..bytes.len()).rev();
    ends.find_map(|index| boundary_at(bytes, index))
}

/// End of an empty line that ends with the byte at `index`.
fn boundary_at(bytes: &[u8], index: usize) -> Option<usize> {
    match &bytes[..=index] {
        [.., b'\n', b'\n'] | [.., b'\n', b'\r', b'\n'] => Some(index + 1),
        _ => None,
    }
}

/// Whether ids in these whole events, which follow `position`, increase by more than one.
fn has_gap(position: Position, whole: &[u8]) -> bool {
    let mut last = position;
    for next in whole.split(|byte| *byte == b'\n').filter_map(id_field) {
        match (last, next) {
            (Position::After(last), Position::After(next)) if next > last.saturating_add(1) => {
                return true;
            }
            _ => last = next,
        }
    }
    false
}

/// Position after the first event with an `id` field.
fn first_id(bytes: &[u8]) -> Option<Position> {
    bytes.split(|byte| *byte == b'\n').find_map(id_field)
}

/// Whether one of these whole blocks of lines has data: comments and other fields alone are no event.
pub fn contains_event(whole: &[u8]) -> bool {
    position_after(whole).is_some()
}

/// Position after the last of these whole blocks that has data; `None` if there is none.
fn position_after(whole: &[u8]) -> Option<Position> {
    let (mut id, mut has_data) = (None, false);
    for line in whole.rsplit(|byte| *byte == b'\n') {
        match line {
            [] | [b'\r'] if has_data => break,
            [] | [b'\r'] => id = None,
            line => {
                id = id.or_else(|| id_field(line));
                has_data |= is_data_field(line);
            }
        }
    }
    has_data.then_some(id.unwrap_or(Position::Unnumbered))
}

/// Whether `line` is a `data` field.
fn is_data_field(line: &[u8]) -> bool {
    let rest = line.strip_prefix(b"data");
    rest.is_some_and(|rest| matches!(rest, [] | [b'\r'] | [b':', ..]))
}

/// Position after an event whose `id` field is `line`; `None` if it is another field.
fn id_field(line: &[u8]) -> Option<Position> {
    let value = line.strip_prefix(b"id:")?;
    let text = std::str::from_utf8(value).ok();
    let number = text.and_then(|text| text.trim().parse().ok());
    Some(number.map_or(Position::Unnumbered, Position::After))
}
