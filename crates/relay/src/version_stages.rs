//! Keeps a decode replica for each software version whose streams can still be resumed.
//!
//! A release may replace the decode replicas of a version before its prefill replicas. Then the
//! streams of that version have nowhere to go on, while its prefill replicas are idle: what they
//! prefill can be read by their own version only.

use std::collections::BTreeMap;
use std::time::Duration;

use ident::Time;

use crate::balance::StageCounts;

/// Time from a check to the order, and from the end of the change until all daemons list it.
const ORDER_AND_LIST_TIME: Duration = Duration::from_millis(1_500);
/// Pause after an order that could not be sent.
const RETRY_PAUSE: Duration = Duration::from_millis(1_500);
/// Pause after an order, in addition to the duration of the change: the list shows the change only
/// after a heartbeat and a read.
const CHANGE_PAUSE: Duration = Duration::from_secs(3);

/// Tracks the stages of the versions of one service over time.
#[derive(Debug)]
pub struct VersionStages {
    /// Time that a replica takes to change its stage.
    change_time: Duration,
    versions: BTreeMap<String, State>,
}

/// What is known of one version.
#[derive(Debug, Clone, Copy)]
struct State {
    counts: StageCounts,
    /// When a decode replica of it was last available, if ever.
    decoded_until: Option<Time>,
    last_order: Option<Time>,
    /// When an order may be sent again after one that could not be sent.
    retry_at: Time,
}

impl VersionStages {
    /// Tracks a service whose replicas take `change_time` to change their stage.
    pub const fn new(change_time: Duration) -> Self {
        Self {
            change_time,
            versions: BTreeMap::new(),
        }
    }

    /// Sets the time that a replica takes to change its stage.
    pub const fn set_change_time(&mut self, change_time: Duration) {
        self.change_time = change_time;
    }

    /// Records the available replicas of each version at `now`. Versions without decode replicas for
    /// `lifetime`, the time for which a stream can be resumed, are forgotten.
    pub fn update(
        &mut self,
        now: Time,
        counts: &BTreeMap<String, StageCounts>,
        lifetime: Duration,
    ) {
        for state in self.versions.values_mut() {
            state.counts = StageCounts::default();
        }
        for (software, counts) in counts {
            let state = self.versions.entry(software.clone()).or_insert(State {
                counts: *counts,
                decoded_until: None,
                last_order: None,
                retry_at: Time::ZERO,
            });
            state.counts = *counts;
            if counts.decode > 0 {
                state.decoded_until = Some(now);
            }
        }
        self.versions.retain(|_, state| {
            let until = state.decoded_until;
            until.is_some_and(|until| now.since(until) < lifetime)
        });
    }

    /// The version for which a prefill replica has to become a decode replica now, if any: one that
    /// serves beside others, and has lost its last decode replica.
    pub fn due(&self, now: Time) -> Option<&str> {
        let serving = self.versions.values().filter(|state| state.is_serving());
        if serving.count() < 2 {
            return None;
        }
        let mut versions = self.versions.iter();
        let due = versions.find(|(_, state)| state.lacks_decode() && !self.is_paused(now, state));
        due.map(|(software, _)| software.as_str())
    }

    /// Time until a replica of `software` is expected to have become a decode replica; `None` if
    /// that is not needed, or overdue.
    pub fn change_remaining(&self, now: Time, software: &str) -> Option<Duration> {
        let state = self.versions.get(software)?;
        let expected = state.decoded_until? + self.change_time + ORDER_AND_LIST_TIME;
        (state.lacks_decode() && now < expected).then(|| expected.since(now))
    }

    /// Records that a replica of `software` was ordered to change.
    pub fn order_sent(&mut self, now: Time, software: &str) {
        if let Some(state) = self.versions.get_mut(software) {
            state.last_order = Some(now);
        }
    }

    /// Records that no order could be sent.
    pub fn order_failed(&mut self, now: Time, software: &str) {
        if let Some(state) = self.versions.get_mut(software) {
            state.retry_at = now + RETRY_PAUSE;
        }
    }

    fn is_paused(&self, now: Time, state: &State) -> bool {
        let pause = self.change_time + CHANGE_PAUSE;
        now < state.retry_at
            || state
                .last_order
                .is_some_and(|order| now.since(order) < pause)
    }
}

impl State {
    const fn is_serving(&self) -> bool {
        self.counts.prefill + self.counts.decode > 0
    }

    const fn lacks_decode(&self) -> bool {
        self.counts.decode == 0 && self.counts.prefill > 0
    }
}
