//! Predicts how many decode slots become free within a time span.

use std::collections::BTreeSet;
use std::time::Duration;

use ident::Handle;
use ident::Time;

use crate::rate::Ewma;

/// Weight of one sample.
const SAMPLE_WEIGHT: f64 = 0.03;
/// Initial mean time for which a request holds a decode slot, in seconds.
const INITIAL_HOLD_S: f64 = 5.0;
/// Most slots that are predicted.
const MAX_COUNT: u32 = 64;

/// Turnover of decode slots, learned or from known ends.
#[derive(Debug)]
pub struct Turnover {
    hold_time: Ewma,
    ends: BTreeSet<(Time, Handle)>,
    held: u32,
}

impl Turnover {
    /// Starts from the initial hold time.
    pub const fn new() -> Self {
        Self {
            hold_time: Ewma::new(INITIAL_HOLD_S, SAMPLE_WEIGHT),
            ends: BTreeSet::new(),
            held: 0,
        }
    }

    /// Mean time for which a request holds a slot.
    pub fn hold_time(&self) -> Duration {
        Duration::from_secs_f64(self.hold_time.value())
    }

    /// Records that a request took a slot and will end at `end`, if known.
    pub fn begin(&mut self, handle: Handle, end: Option<Time>) {
        self.held += 1;
        self.ends.extend(end.map(|end| (end, handle)));
    }

    /// Records that a request released its slot, after `hold_time` if it ran to its end.
    pub fn end(&mut self, handle: Handle, end: Option<Time>, hold_time: Option<Duration>) {
        self.held = self.held.saturating_sub(1);
        if let Some(end) = end {
            self.ends.remove(&(end, handle));
        }
        if let Some(hold_time) = hold_time {
            self.hold_time.add(hold_time.as_secs_f64());
        }
    }

    /// Slots that become free by `time` according to known ends.
    pub fn known_ends(&self, time: Time) -> u32 {
        let due = self
            .ends
            .iter()
            .take(MAX_COUNT as usize)
            .take_while(|(end, _)| *end <= time);
        due.count() as u32
    }

    /// Number of slots that become free within `within` with a probability of at least `1 - risk`.
    ///
    /// Ends are modelled as independent at a constant rate, so their number has a Poisson
    /// distribution.
    pub fn likely_ends(&self, within: Duration, risk: f64) -> u32 {
        let mean = f64::from(self.held) * within.as_secs_f64() / self.hold_time.value().max(0.001);
        let mut term = (-mean).exp();
        let mut below = term;
        let mut count = 0;
        while below <= risk && count < MAX_COUNT {
            count += 1;
            term *= mean / f64::from(count);
            below += term;
        }
        count
    }
}
