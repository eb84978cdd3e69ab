//! Remembers the idempotency keys of the window.
//!
//! A key may start a request only until `issued + window` on this daemon's clock, and is remembered
//! for longer. A forgotten key is therefore always refused and never runs again.

use std::collections::HashMap;
use std::collections::VecDeque;

use bytes::Bytes;
use ident::Key;

/// Longest response body stored for a repeated key, in bytes.
pub const MAX_BODY: usize = 4096;

/// State of a key. `T` identifies an open request in the registry user's arena.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyState<T> {
    /// The request is in progress.
    Open(T),
    /// A plain application answered the request.
    Answered {
        /// HTTP status.
        status: u16,
        /// Body, if its length was at most `MAX_BODY`.
        body: Option<Bytes>,
    },
    /// The answer was streamed; the sealed token reads it again while the engine keeps it.
    Streamed {
        /// Sealed resume token.
        token: String,
    },
    /// The request was sent and its effect is unknown.
    Unknown,
    /// The request was sent and failed.
    Failed,
}

/// Whether a key may start a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may start one.
    New,
    /// Its window has passed, or its issue time is in the future.
    Expired,
    /// The registry is full.
    Full,
}

/// The keys of the window and their states.
#[derive(Debug)]
pub struct KeyRegistry<T> {
    window_s: u64,
    capacity: usize,
    states: HashMap<Key, KeyState<T>>,
    expiry: VecDeque<(u64, Key)>,
}

/// Furthest that the issue time of a key may be ahead of this daemon's clock, in seconds: other
/// instances issue prefixes for this daemon by their own clocks.
pub const MAX_CLOCK_SKEW_S: u64 = 120;

impl<T: Copy> KeyRegistry<T> {
    /// An empty registry for keys of `window_s` seconds, at most `capacity` of them.
    pub fn new(window_s: u64, capacity: usize) -> Self {
        Self {
            window_s,
            capacity,
            states: HashMap::new(),
            expiry: VecDeque::new(),
        }
    }

    /// Number of keys remembered.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// The state of `key`, if it is remembered.
    pub fn get(&self, key: &Key) -> Option<&KeyState<T>> {
        self.states.get(key)
    }

    /// Whether a request with a key issued at `issued` may start at `now`, in seconds.
    pub fn admit(&self, now: u64, issued: u64) -> Admission {
        let expired = now > issued.saturating_add(self.window_s);
        let in_future = issued > now.saturating_add(MAX_CLOCK_SKEW_S);
        match () {
            () if expired || in_future => Admission::Expired,
            () if self.states.len() >= self.capacity => Admission::Full,
            () => Admission::New,
        }
    }

    /// Sets the state of `key`, which is kept until the key can no longer start a request.
    pub fn set(&mut self, now: u64, key: &Key, state: KeyState<T>) {
        if self.states.insert(key.clone(), state).is_none() {
            let until = now + self.window_s + MAX_CLOCK_SKEW_S + 1;
            self.expiry.push_back((until, key.clone()));
        }
    }

    /// Forgets `key`, no byte of whose request reached a back end: it may start again.
    pub fn forget(&mut self, key: &Key) {
        // Its `expiry` entry stays: a later state of the same key has the same window.
        self.states.remove(key);
    }

    /// Removes keys whose window has passed; open requests stay until they end.
    pub fn expire(&mut self, now: u64) {
        while self.expiry.front().is_some_and(|(until, _)| *until < now) {
            let Some((_, key)) = self.expiry.pop_front() else {
                return;
            };
            if matches!(self.states.get(&key), Some(KeyState::Open(_))) {
                self.expiry.push_back((now + self.window_s, key));
            } else {
                self.states.remove(&key);
            }
        }
    }
}
