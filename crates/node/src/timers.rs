//! Work that is due at points in time.

use ident::Time;

/// When each kind of work is due next.
#[derive(Debug)]
pub(crate) struct Timers {
    pub(crate) fleet: Time,
    pub(crate) cells: Time,
    pub(crate) inspect: Time,
    pub(crate) audit: Time,
    pub(crate) poll: Time,
    pub(crate) news: Time,
    pub(crate) record: Time,
    pub(crate) housekeeping: Time,
    pub(crate) reassign: Time,
}

impl Timers {
    /// Everything is due at once.
    pub(crate) const fn new(now: Time) -> Self {
        Self {
            fleet: now,
            cells: now,
            inspect: now,
            audit: now,
            poll: now,
            news: now,
            record: now,
            housekeeping: now,
            reassign: now,
        }
    }

    /// When the first of them is due.
    pub(crate) fn earliest(&self) -> Time {
        self.fleet
            .min(self.cells)
            .min(self.inspect)
            .min(self.audit)
            .min(self.poll)
            .min(self.news)
            .min(self.record)
            .min(self.housekeeping)
    }
}
