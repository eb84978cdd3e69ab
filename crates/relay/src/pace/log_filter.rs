//! Decides which changes of paces are logged.

use ident::Time;
use slotmap::SecondaryMap;

use crate::server::Key;

/// Factor between two paces from which a change is logged.
const MIN_CHANGE: f64 = 1.25;
/// Maximum lines per second.
const MAX_LINES: u32 = 20;

/// Lets the first pace of a replica and large changes pass.
#[derive(Debug, Default)]
pub struct LogFilter {
    /// Last logged pace of each replica, in seconds per token.
    logged: SecondaryMap<Key, f64>,
    /// The second of the last line, and the number of lines in it.
    lines: (u64, u32),
}

impl LogFilter {
    /// Creates a filter that has let nothing pass.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a pace of `key` was logged. A change that a peer measured is logged by the peer.
    pub fn is_known(&self, key: Key) -> bool {
        self.logged.contains_key(key)
    }

    /// Whether to log at `now` that `key` takes `seconds` per token.
    pub fn is_due(&mut self, now: Time, key: Key, seconds: f64) -> bool {
        let changed = |logged: &f64| (seconds / logged).max(logged / seconds) > MIN_CHANGE;
        if !self.logged.get(key).is_none_or(changed) {
            return false;
        }
        let second = now.as_millis() / 1_000;
        let count = if self.lines.0 == second {
            self.lines.1
        } else {
            0
        };
        if count >= MAX_LINES {
            return false;
        }
        self.lines = (second, count + 1);
        self.logged.insert(key, seconds);
        true
    }
}
