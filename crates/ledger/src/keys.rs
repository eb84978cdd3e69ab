//! Idempotency keys seen in the window.
//!
//! A key may start a request only until `issued + window` on this daemon's clock, and is remembered
//! past that point. A forgotten key is therefore always one that is refused, never one that runs.

use std::collections::HashMap;
use std::collections::VecDeque;

use bytes::Bytes;
use ident::Key;

/// Longest body kept for a repeated key, in bytes.
pub const MAX_BODY: usize = 4096;

/// What is known of a key. `T` names an open request in the arena of whoever keeps it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyState<T> {
    /// The request is in progress.
    Open(T),
    /// It was answered by a plain application.
    Answered {
        /// HTTP status.
        status: u16,
        /// Body, if it was at most `MAX_BODY` long.
        body: Option<Bytes>,
    },
    /// Its answer was streamed; the sealed token reads it again while the engine keeps it.
    Streamed {
        /// Sealed resume token.
        token: String,
    },
    /// It was sent and its effect is not known.
    Unknown,
    /// It was sent and it failed.
    Failed,
}

/// Whether a key may start a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    New,
    /// Its window has passed, or it claims to be issued in the future.
    Expired,
    /// Too many keys are remembered.
    Full,
}

/// The keys of the window, with their marks.
#[derive(Debug)]
pub struct KeyRegistry<T> {
    window_s: u64,
    capacity: usize,
    marks: HashMap<Key, KeyState<T>>,
    expiry: VecDeque<(u64, Key)>,
}

/// How far ahead of this daemon's clock a key may be issued, in seconds: other instances issue
/// prefixes for this daemon by their own clocks.
pub const MAX_CLOCK_SKEW_S: u64 = 120;

impl<T: Copy> KeyRegistry<T> {
    /// An empty memory for keys of `window_s` seconds, at most `capacity` of them.
    pub fn new(window_s: u64, capacity: usize) -> Self {
        Self {
            window_s,
            capacity,
            marks: HashMap::new(),
            expiry: VecDeque::new(),
        }
    }

    /// Number of keys remembered.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// What is known of `key`.
    pub fn get(&self, key: &Key) -> Option<&KeyState<T>> {
        self.marks.get(key)
    }

    /// Whether a request with a key issued at `issued` may start at `now` (seconds).
    pub fn admit(&self, now: u64, issued: u64) -> Admission {
        let too_old = now > issued.saturating_add(self.window_s);
        let too_new = issued > now.saturating_add(MAX_CLOCK_SKEW_S);
        match () {
            () if too_old || too_new => Admission::Expired,
            () if self.marks.len() >= self.capacity => Admission::Full,
            () => Admission::New,
        }
    }

    /// Enters or replaces the mark of `key`; it is kept until it can no longer start anything.
    pub fn set(&mut self, now: u64, key: &Key, mark: KeyState<T>) {
        if self.marks.insert(key.clone(), mark).is_none() {
            let until = now + self.window_s + MAX_CLOCK_SKEW_S + 1;
            self.expiry.push_back((until, key.clone()));
        }
    }

    /// Forgets `key`, of whose request no byte reached a back end: it may start again.
    pub fn forget(&mut self, key: &Key) {
        // The key's place in `expiry` stays: what is marked under it later has the same window.
        self.marks.remove(key);
    }

    /// Drops keys whose window has passed; open requests stay until they end.
    pub fn expire(&mut self, now: u64) {
        while self.expiry.front().is_some_and(|(until, _)| *until < now) {
            let Some((_, key)) = self.expiry.pop_front() else {
                return;
            };
            if matches!(self.marks.get(&key), Some(KeyState::Open(_))) {
                self.expiry.push_back((now + self.window_s, key));
            } else {
                self.marks.remove(&key);
            }
        }
    }
}
