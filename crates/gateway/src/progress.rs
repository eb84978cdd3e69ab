//! Bounds the bytes that a connection may bring without a part of a message: the other side may
//! repeat interim responses, digits of a chunk's size or fields of a head without end.

use std::cell::Cell;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use prometheus::IntCounter;

/// Bytes that may arrive between two parts of a message. A part is a head, or data of a body that
/// its reader took. More than what is read ahead for a slow reader.
pub const MAX_BYTES_BETWEEN_PARTS: usize = 128 * 1024;

/// Counts the bytes of one connection since the last part of a message. Shared by the socket and
/// the readers of the messages.
#[derive(Clone)]
pub struct Meter(Rc<State>);

struct State {
    peer: SocketAddr,
    max_bytes: usize,
    bytes: Cell<usize>,
    has_read: Cell<bool>,
    is_exceeded: Cell<bool>,
    /// Counts connections that exceeded a bound.
    floods: Option<IntCounter>,
}

/// A connection brought too many bytes between two parts of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Flood {
    bytes: usize,
}

impl Meter {
    /// Counts the bytes of a connection to `peer`. `floods` counts the connections that bring more
    /// than `max_bytes` between two parts of a message.
    pub fn new(peer: SocketAddr, max_bytes: usize, floods: Option<IntCounter>) -> Self {
        Self(Rc::new(State {
            peer,
            max_bytes,
            bytes: Cell::new(0),
            has_read: Cell::new(false),
            is_exceeded: Cell::new(false),
            floods,
        }))
    }

    /// Records that `bytes` arrived.
    pub fn note_read(&self, bytes: usize) {
        self.0.bytes.set(self.0.bytes.get().saturating_add(bytes));
        if bytes > 0 {
            self.0.has_read.set(true);
        }
    }

    /// Whether anything has arrived.
    pub fn has_read(&self) -> bool {
        self.0.has_read.get()
    }

    /// Records a part of a message.
    pub fn note_part(&self) {
        self.0.bytes.set(0);
    }

    /// Whether the connection exceeded a bound.
    pub fn is_exceeded(&self) -> bool {
        self.0.is_exceeded.get()
    }

    /// Checks whether more bytes may be read.
    ///
    /// # Errors
    /// [`Flood`] as the cause, if too many have arrived since the last part of a message.
    pub fn check(&self) -> io::Result<()> {
        let bytes = self.0.bytes.get();
        if bytes <= self.0.max_bytes {
            return Ok(());
        }
        self.record_flood("progress", bytes);
        Err(io::Error::other(Flood { bytes }))
    }

    /// Records that the connection exceeded `bound` by its first `bytes` bytes.
    pub fn record_flood(&self, bound: &'static str, bytes: usize) {
        if self.0.is_exceeded.replace(true) {
            return;
        }
        if let Some(floods) = &self.0.floods {
            floods.inc();
        }
        log::info!(kind = "flood", peer = self.0.peer.to_string(), bound = bound, bytes = bytes as u64; "closed a connection that sends too much");
    }
}

impl fmt::Debug for Meter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Meter").field(&self.0.bytes).finish()
    }
}

impl fmt::Display for Flood {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes without a part of a message", self.bytes)
    }
}

impl Error for Flood {}
