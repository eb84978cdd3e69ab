//! A limit on calls per second.

use std::time::Duration;
use std::time::Instant;

const WINDOW: Duration = Duration::from_secs(1);

/// Counts calls in windows of one second.
#[derive(Debug)]
pub(super) struct Rate {
    limit: u32,
    used: u32,
    since: Instant,
}

impl Rate {
    /// Creates a limit of `limit` calls per second.
    pub(super) fn new(limit: u32) -> Self {
        Self {
            limit,
            used: 0,
            since: Instant::now(),
        }
    }

    /// Counts a call. Returns `false` if the limit of the current window is reached.
    pub(super) fn try_acquire(&mut self) -> bool {
        if self.since.elapsed() >= WINDOW {
            self.since = Instant::now();
            self.used = 0;
        }
        let free = self.used < self.limit;
        self.used += u32::from(free);
        free
    }
}
