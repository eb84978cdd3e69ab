//! Cutting a stream of events (`text/event-stream`) into whole events.

/// Bytes of one event at most; longer ones are passed on in parts.
const MAX_EVENT: usize = 256 * 1024;

/// Collects bytes and gives out whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: Vec<u8>,
    last_id: Option<u64>,
}

impl Splitter {
    /// An empty one.
    pub fn new() -> Self {
        Self::default()
    }

    /// Id of the last whole event that was given out.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether bytes of an unfinished event are held.
    pub fn is_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Takes bytes in and gives out all events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        let searched = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let end = match last_boundary(&self.pending, searched) {
            Some(end) => end,
            None if self.pending.len() > MAX_EVENT => self.pending.len(),
            None => return Vec::new(),
        };
        let rest = self.pending.split_off(end);
        let whole = std::mem::replace(&mut self.pending, rest);
        self.last_id = last_id(&whole).or(self.last_id);
        whole
    }

    /// Gives out what is left when the stream ended as complete.
    pub fn finish(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Drops an unfinished event, before the stream goes on from another replica.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
    }
}

/// Events in `bytes`, which begin and end with whole ones.
pub fn count(bytes: &[u8]) -> u64 {
    let lines = bytes.split(|byte| *byte == b'\n');
    lines.filter(|line| line.starts_with(b"id:")).count() as u64
}

/// The end of the last empty line at or after `from`.
fn last_boundary(bytes: &[u8], from: usize) -> Option<usize> {
    let end_at = |index: usize| match &bytes[..=index] {
        [.., b'\n', b'\n'] | [.., b'\n', b'\r', b'\n'] => Some(index + 1),
        _ => None,
    };
    (from..bytes.len()).rev().find_map(end_at)
}

/// The last `id` field of whole events.
fn last_id(bytes: &[u8]) -> Option<u64> {
    let mut lines = bytes.rsplit(|byte| *byte == b'\n');
    lines.find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
