//! The load report, which lags behind the actual load.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Maximum number of retained samples.
const MAX_SAMPLES: usize = 10_000;

/// Load at one point in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Load {
    pub(super) running: usize,
    pub(super) waiting: usize,
    pub(super) queued_tokens: usize,
}

/// Recent load samples.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: VecDeque<(Instant, Load)>,
    reported: Load,
}

impl LoadHistory {
    /// Records the current load.
    pub(super) fn record(&mut self, load: Load) {
        if self.samples.back().is_none_or(|(_, last)| *last != load) {
            self.samples.push_back((Instant::now(), load));
        }
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Returns the load `lag` ago, or the last reported one if `frozen`.
    pub(super) fn report(&mut self, lag: Duration, frozen: bool) -> Load {
        while self
            .samples
            .front()
            .is_some_and(|(at, _)| at.elapsed() >= lag)
            && !frozen
        {
            if let Some((_, load)) = self.samples.pop_front() {
                self.reported = load;
            }
        }
        self.reported
    }
}
