//! How the replicas of a model divide into those that read prompts and those that make tokens.

use std::time::Duration;

use ident::Time;

use crate::replica::Stage;

/// How long the division has to be off before a replica changes: longer than the list lags behind
/// a change that was ordered.
const SETTLE: Duration = Duration::from_millis(1_500);
/// How long too few prefill replicas are borne: decode replicas can read prompts themselves, and
/// one that crashed is often back within some seconds.
const SHORTAGE: Duration = Duration::from_secs(5);
/// Time between two changes of one service, besides the time that a change takes: the list tells of
/// it with a lag of a heartbeat and a reading.
const PAUSE: Duration = Duration::from_secs(3);

/// Replicas of one service that take requests, by stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Those that read prompts.
    pub prefill: usize,
    /// Those that make tokens.
    pub decode: usize,
}

/// The division of one service, watched over time.
#[derive(Debug)]
pub struct Balance {
    /// Time that a replica takes to change.
    change: Duration,
    /// Since when it is off, and the stage that lacks replicas.
    off: Option<(Time, Stage)>,
    last: Option<Time>,
}

impl Balance {
    /// Nothing seen yet; a replica takes `change` to change its stage.
    pub const fn new(change: Duration) -> Self {
        Self {
            change,
            off: None,
            last: None,
        }
    }

    /// The stage that a replica of the other one is to change to now, if any; `share` is the part
    /// of the replicas that are to read prompts.
    pub fn due(&mut self, now: Time, counts: Counts, share: f64) -> Option<Stage> {
        let Some(stage) = lacking(counts, share) else {
            self.off = None;
            return None;
        };
        let since = match self.off {
            Some((since, same)) if same == stage => since,
            _ => now,
        };
        self.off = Some((since, stage));
        let settle = match stage {
            Stage::Decode => SETTLE,
            Stage::Prefill => SHORTAGE,
        };
        let paused = self
            .last
            .is_some_and(|last| now.since(last) < self.change + PAUSE);
        (now.since(since) >= settle && !paused).then_some(stage)
    }

    /// Notes that no order could be given; the division has to be off for a while again.
    pub const fn failed(&mut self) {
        self.off = None;
    }

    /// Notes that a change was ordered.
    pub const fn ordered(&mut self, now: Time) {
        self.last = Some(now);
        self.off = None;
    }
}

/// Prefill replicas that `total` replicas are to have.
pub fn wanted(total: usize, share: f64) -> usize {
    let wanted = (total as f64 * share).round() as usize;
    wanted.clamp(1, total.saturating_sub(1).max(1))
}

/// The stage that lacks a replica, if the other one has one too many. A single missing prefill
/// replica is no lack.
fn lacking(counts: Counts, share: f64) -> Option<Stage> {
    let total = counts.prefill + counts.decode;
    let wanted = wanted(total, share);
    match counts {
        _ if total < 3 => None,
        Counts { prefill, .. } if prefill > wanted => Some(Stage::Decode),
        Counts { prefill: 0, .. } => Some(Stage::Prefill),
        Counts { prefill, .. } if prefill + 1 < wanted => Some(Stage::Prefill),
        _ => None,
    }
}
