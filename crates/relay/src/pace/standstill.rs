//! Times at which this process did not run: frozen, or kept from the processor. What is measured
//! across one is not the work of a replica.

use std::time::Duration;

use ident::Time;

/// Time after a standstill in which events arrive that had waited, sooner one after another than
/// they were sent.
const SETTLING_TIME: Duration = Duration::from_millis(200);

/// Detects standstills of the process from the times at which a periodic task runs.
#[derive(Debug)]
pub struct Standstill {
    /// Time between two ticks from which the process counts as having stood still.
    threshold: Duration,
    ticked_at: Option<Time>,
    /// When the last one ended.
    ended_at: Option<Time>,
}

impl Standstill {
    /// Detects standstills of at least `threshold`, which includes the interval of the ticks.
    pub const fn new(threshold: Duration) -> Self {
        Self {
            threshold,
            ticked_at: None,
            ended_at: None,
        }
    }

    /// Records that the periodic task runs at `now`.
    pub fn tick(&mut self, now: Time) {
        if self.is_overdue(now) {
            self.ended_at = Some(now);
        }
        self.ticked_at = Some(now);
    }

    /// Whether the process stood still between `since` and `now`, or so shortly before `since` that
    /// events had waited.
    pub fn occurred_since(&self, now: Time, since: Time) -> bool {
        let settled = |at: Time| at + SETTLING_TIME >= since;
        self.is_overdue(now) || self.ended_at.is_some_and(settled)
    }

    /// Whether the task would have run before `now`.
    fn is_overdue(&self, now: Time) -> bool {
        self.ticked_at
            .is_some_and(|at| now.since(at) >= self.threshold)
    }
}
