//! Settings of the membership protocol.

use std::time::Duration;

/// Intervals and bounds; must be the same for all daemons of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// One member is probed per period.
    pub period: Duration,
    /// Time to wait for a direct answer before helpers are asked; less than `period`.
    pub direct_timeout: Duration,
    /// Number of helpers asked for an indirect probe.
    pub helpers: usize,
    /// Periods from suspicion to death in a fleet of up to 16 members; grows with log2 above that.
    pub suspect_periods: u32,
    /// Maximum number of records in a message, including the sender's own.
    pub max_records: usize,
    /// Maximum number of other records, taken in turn, that fill up a message after its updates.
    pub filler_records: usize,
    /// Maximum number of records in a page, besides the sender's own.
    pub page_records: usize,
    /// An update is sent this many times log2 of the number of members.
    pub retransmit_factor: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(200),
            direct_timeout: Duration::from_millis(80),
            helpers: 3,
            suspect_periods: 4,
            max_records: 8,
            filler_records: 2,
            page_records: 28,
            retransmit_factor: 3,
        }
    }
}

impl Settings {
    /// log2 of the fleet size up to which a suspicion lasts `suspect_periods`.
    const BASE_LOG: f64 = 4.0;

    /// The default settings.
    pub fn new() -> Self {
        Self::default()
    }

    /// The same settings with another period; the direct timeout scales with it.
    #[must_use]
    pub fn with_period(mut self, period: Duration) -> Self {
        self.direct_timeout = self
            .direct_timeout
            .mul_f64(period.as_secs_f64() / self.period.as_secs_f64());
        self.period = period;
        self
    }

    /// The same settings with another number of periods from suspicion to death.
    #[must_use]
    pub const fn with_suspect_periods(mut self, periods: u32) -> Self {
        self.suspect_periods = periods;
        self
    }

    /// Time from suspicion to death in a fleet of `members`.
    pub fn suspicion_timeout(&self, members: usize) -> Duration {
        let scale = (log2(members) / Self::BASE_LOG).max(1.0);
        (self.period * self.suspect_periods).mul_f64(scale)
    }

    /// How many times an update is sent in a fleet of `members`.
    pub fn retransmit_limit(&self, members: usize) -> u32 {
        self.retransmit_factor * log2(members + 1).ceil() as u32
    }
}

fn log2(members: usize) -> f64 {
    (members.max(1) as f64).log2()
}
