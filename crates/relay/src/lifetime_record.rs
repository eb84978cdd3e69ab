//! Record of how long streams can be resumed, for daemons that start after a plan has shortened it.

use std::time::Duration;

use ident::Time;

/// How long a daemon may follow an earlier plan than others: it may be cut off from the store and all
/// peers.
const MAX_PLAN_DELAY: Duration = Duration::from_mins(10);

/// When the record has to change.
#[derive(Debug, Default)]
pub struct LifetimeRecord {
    /// The record that is longer than the plan needs, and since when it is known to be.
    longer_since: Option<(Duration, Time)>,
}

impl LifetimeRecord {
    /// Nothing is known of the record.
    pub fn new() -> Self {
        Self::default()
    }

    /// The lifetime to record at `now` in place of `recorded`, where the plan in force allows `present`;
    /// `None` if the record stays. A longer one is recorded at once, a shorter one when no stream of an
    /// earlier plan can be resumed any more.
    pub fn change(&mut self, now: Time, recorded: Duration, present: Duration) -> Option<Duration> {
        if recorded <= present {
            self.longer_since = None;
            return (recorded < present).then_some(present);
        }
        let known = self.longer_since.filter(|(known, _)| *known == recorded);
        let (_, since) = *self.longer_since.insert(known.unwrap_or((recorded, now)));
        (now.since(since) >= recorded + MAX_PLAN_DELAY).then_some(present)
    }
}
