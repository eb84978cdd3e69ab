//! The load report, which lags.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// LoadHistory that are kept for the report.
const MAX_SAMPLES: usize = 10_000;

/// Load at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Load {
    pub(super) running: usize,
    pub(super) waiting: usize,
    pub(super) queued_tokens: usize,
}

/// The loads of the recent past.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: VecDeque<(Instant, Load)>,
    reported: Load,
}

impl LoadHistory {
    /// Notes the present load.
    pub(super) fn record(&mut self, load: Load) {
        if self.samples.back().is_none_or(|(_, last)| *last != load) {
            self.samples.push_back((Instant::now(), load));
        }
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// The load as it was `lag` ago; the one reported last if `frozen`.
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
