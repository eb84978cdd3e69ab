//! Measures the pace of a decode replica from the events of one stream.

use std::time::Duration;

use ident::Time;

use crate::pace::MIN_GENERATION;
use crate::pace::standstill::Standstill;

/// Measures the generation at one replica, again and again while it goes on.
#[derive(Debug, Default)]
pub struct StreamMeter {
    /// When the measured part began, with an event; `None` before the first one.
    since: Option<Time>,
    /// Tokens since then.
    tokens: u64,
    /// Set once the events no longer arrive as the replica sends them.
    is_stopped: bool,
}

impl StreamMeter {
    /// A meter of a stream without events so far.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stops measuring this stream: its caller reads slower than the replica writes, so that its
    /// events wait.
    pub const fn stop(&mut self) {
        self.is_stopped = true;
    }

    /// Records that events with `tokens` arrived at `now`. Returns the time and the tokens of a
    /// measurement if this completes one.
    pub fn record(
        &mut self,
        now: Time,
        tokens: u64,
        standstill: &Standstill,
    ) -> Option<(Duration, u64)> {
        let since = match self.since {
            _ if self.is_stopped => return None,
            Some(since) if !standstill.occurred_since(now, since) => since,
            _ => {
                self.restart(now);
                return None;
            }
        };
        self.tokens += tokens;
        let took = now.since(since);
        if took < MIN_GENERATION || self.tokens == 0 {
            return None;
        }
        let measured = (took, self.tokens);
        self.restart(now);
        Some(measured)
    }

    const fn restart(&mut self, now: Time) {
        self.since = Some(now);
        self.tokens = 0;
    }
}
