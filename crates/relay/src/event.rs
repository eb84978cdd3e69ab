//! Cutting a stream of events (`text/event-stream`) into whole events.

use std::fmt;

/// Bytes of one event at most; longer ones are passed on in parts.
const MAX_EVENT: usize = 256 * 1024;

/// Why a stream cannot go on from another replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// No id tells what was given out last.
    Unnumbered,
    /// The first event of the other replica is not the next one.
    Misplaced {
        /// Id of the last event that was given out.
        last: u64,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unnumbered => write!(f, "no id tells the last event"),
            Self::Misplaced { last } => write!(f, "its first event is not the one after {last}"),
        }
    }
}

impl std::error::Error for Error {}

/// What was given out last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Position {
    /// Nothing.
    #[default]
    Start,
    /// The whole event with this id.
    After(u64),
    /// A whole event without a number.
    Unnumbered,
    /// A part of an event that is too long to be held.
    InsideEvent,
}

/// Collects bytes and gives out whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: Vec<u8>,
    position: Position,
    /// Whether an event came whose id is not the one after that of the event before. Without two events it is not known,
    /// and ids count as going up by one.
    ids_have_gaps: bool,
    /// Id of the last event before another replica went on, until that one's first event is known to be the next.
    resumed_after: Option<u64>,
}

impl Splitter {
    /// An empty one.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the bytes so far end in an unfinished event.
    pub fn is_partial(&self) -> bool {
        !self.pending.is_empty() || self.position == Position::InsideEvent
    }

    /// Takes bytes in and gives out all events that they complete.
    ///
    /// # Errors
    /// [`Error::Misplaced`]; nothing more is to be given out of the present replica's stream.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, Error> {
        let searched = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        match last_boundary(&self.pending, searched) {
            Some(end) => {
                let whole = self.take_checked(end)?;
                let events = match self.position {
                    // The rest of an event that was cut anywhere has no fields.
                    Position::InsideEvent => after_first_boundary(&whole),
                    _ => &whole[..],
                };
                self.ids_have_gaps |= has_gap(self.position, events);
                self.position = match position_after(events) {
                    Some(position) => position,
                    None if self.position == Position::InsideEvent => Position::Unnumbered,
                    None => self.position,
                };
                Ok(whole)
            }
            None if self.pending.len() > MAX_EVENT => {
                let part = self.take_checked(self.pending.len())?;
                self.position = Position::InsideEvent;
                Ok(part)
            }
            None => Ok(Vec::new()),
        }
    }

    /// Gives out what is left when the stream ended as complete.
    ///
    /// # Errors
    /// [`Error::Misplaced`].
    pub fn finish(&mut self) -> Result<Vec<u8>, Error> {
        self.take_checked(self.pending.len())
    }

    /// Id of the event after which another replica can go on: that of the last one that was given out, or `asked`, where
    /// the stream itself was to go on, if there was none.
    ///
    /// # Errors
    /// [`Error::Unnumbered`] if something was given out that another replica would repeat.
    pub const fn resumes_after(&self, asked: Option<u64>) -> Result<Option<u64>, Error> {
        match self.position {
            Position::Start => Ok(asked),
            Position::After(id) => Ok(Some(id)),
            Position::Unnumbered | Position::InsideEvent => Err(Error::Unnumbered),
        }
    }

    /// Drops an unfinished event, since the stream goes on from another replica, and gives what
    /// [`Splitter::resumes_after`] tells. The first event of that replica that has an id has to be the next one.
    ///
    /// # Errors
    /// Those of [`Splitter::resumes_after`].
    pub fn resume(&mut self, asked: Option<u64>) -> Result<Option<u64>, Error> {
        let last = self.resumes_after(asked)?;
        self.pending.clear();
        self.resumed_after = last;
        Ok(last)
    }

    /// Takes the first `length` bytes out. The first id after a resume must follow the last one; otherwise the events are
    /// another run's, and must not be joined to what the caller has.
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

/// Events in `bytes`, which begin and end with whole ones.
pub fn count_events(bytes: &[u8]) -> u64 {
    let lines = bytes.split(|byte| *byte == b'\n');
    lines.filter(|line| line.starts_with(b"id:")).count() as u64
}

/// The end of the last empty line at or after `from`.
fn last_boundary(bytes: &[u8], from: usize) -> Option<usize> {
    let mut ends = (from..bytes.len()).rev();
    ends.find_map(|index| boundary_at(bytes, index))
}

/// What follows the first empty line.
fn after_first_boundary(bytes: &[u8]) -> &[u8] {
    let end = (0..bytes.len()).find_map(|index| boundary_at(bytes, index));
    &bytes[end.unwrap_or(bytes.len())..]
}

/// The end of an empty line that ends with the byte at `index`.
fn boundary_at(bytes: &[u8], index: usize) -> Option<usize> {
    match &bytes[..=index] {
        [.., b'\n', b'\n'] | [.., b'\n', b'\r', b'\n'] => Some(index + 1),
        _ => None,
    }
}

/// Whether ids among these whole events, which come after `position`, go up by more than one.
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

/// The position after the first event that has an `id` field.
fn first_id(bytes: &[u8]) -> Option<Position> {
    bytes.split(|byte| *byte == b'\n').find_map(id_field)
}

/// The position after these whole events; `None` if there are only comments.
fn position_after(whole: &[u8]) -> Option<Position> {
    let mut has_fields = false;
    for line in whole.rsplit(|byte| *byte == b'\n') {
        match line {
            [] | [b'\r'] if has_fields => break,
            [] | [b'\r'] | [b':', ..] => {}
            line => match id_field(line) {
                Some(position) => return Some(position),
                None => has_fields = true,
            },
        }
    }
    has_fields.then_some(Position::Unnumbered)
}

/// The position after an event whose `id` field is `line`; `None` if it is another field.
fn id_field(line: &[u8]) -> Option<Position> {
    let value = line.strip_prefix(b"id:")?;
    let text = std::str::from_utf8(value).ok();
    let number = text.and_then(|text| text.trim().parse().ok());
    Some(number.map_or(Position::Unnumbered, Position::After))
}
