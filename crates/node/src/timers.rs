//! Due times of periodic work.

use ident::Time;

/// Next due time of each kind of work.
#[derive(Debug)]
pub(crate) struct Timers {
    pub(crate) fleet: Time,
    pub(crate) schedulers: Time,
    pub(crate) inspect: Time,
    pub(crate) audit: Time,
    pub(crate) poll: Time,
    pub(crate) status: Time,
    pub(crate) record: Time,
    pub(crate) housekeeping: Time,
    pub(crate) reassign: Time,
}

impl Timers {
    /// Makes all work due at `now`.
    pub(crate) const fn new(now: Time) -> Self {
        Self {
            fleet: now,
            schedulers: now,
            inspect: now,
            audit: now,
            poll: now,
            status: now,
            record: now,
            housekeeping: now,
            reassign: now,
        }
    }

    /// Returns the earliest due time. Keepers are reassigned during housekeeping.
    pub(crate) fn earliest(&self) -> Time {
        self.fleet
            .min(self.schedulers)
            .min(self.inspect)
            .min(self.audit)
            .min(self.poll)
            .min(self.status)
            .min(self.record)
            .min(self.housekeeping)
    }
}
