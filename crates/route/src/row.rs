//! The state of one table row in the scheduler.

use std::time::Duration;

use ident::Time;

use crate::queue::Queue;
use crate::rate::Meter;
use crate::rule::Rule;

/// Time constant of the retry budget and of the grant rates.
const WINDOW: Duration = Duration::from_secs(10);

/// The rule, queue and counters of one row.
#[derive(Debug)]
pub struct RowState {
    /// The row's rule.
    pub rule: Rule,
    /// The row's waiting requests.
    pub queue: Queue,
    /// Whether its requests are plain calls.
    pub plain: bool,
    /// Number of its requests in prefill.
    pub prefills: u32,
    /// Number of its requests that hold a decode slot (plain: in progress).
    pub decodes: u32,
    /// Work done for the row divided by its share, as in fair queueing.
    pub virtual_time: f64,
    /// Rate of granted requests.
    pub grants: Meter,
    /// Rate of granted late requests.
    pub late_grants: Meter,
    first_attempts: Meter,
    retries: Meter,
}

impl RowState {
    /// The state of a row without requests.
    pub fn new(now: Time, rule: Rule) -> Self {
        Self {
            rule,
            queue: Queue::default(),
            plain: false,
            prefills: 0,
            decodes: 0,
            virtual_time: 0.0,
            grants: Meter::new(now, WINDOW),
            late_grants: Meter::new(now, WINDOW),
            first_attempts: Meter::new(now, WINDOW),
            retries: Meter::new(now, WINDOW),
        }
    }

    /// Whether the ceilings allow one more request; plain calls do not count as prefills.
    pub const fn has_room(&self) -> bool {
        let prefill = self.plain || self.prefills < self.rule.prefill_ceiling;
        prefill && self.decodes < self.rule.decode_ceiling
    }

    /// Whether a ceiling of zero excludes all requests of this kind.
    pub const fn is_closed(&self, plain: bool) -> bool {
        self.rule.decode_ceiling == 0 || (self.rule.prefill_ceiling == 0 && !plain)
    }

    /// Counts a first attempt.
    pub fn count_first_attempt(&mut self, now: Time) {
        self.first_attempts.add(now, 1.0);
    }

    /// Counts a retry if the budget allows it; the budget is at least `min_retries` in a window.
    pub fn take_retry(&mut self, now: Time, min_retries: f64) -> bool {
        let budget = self.first_attempts.decayed(now) * f64::from(self.rule.retry_percent) / 100.0;
        let granted = self.retries.decayed(now) + 1.0 <= budget.max(min_retries);
        if granted {
            self.retries.add(now, 1.0);
        }
        granted
    }
}
