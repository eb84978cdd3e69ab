//! How the replicas of a model divide into those that read prompts and those that make tokens.
//!
//! The part that reads prompts is a share of all replicas and a reserve that grows with the square
//! root of their number, as for any pool of servers with random arrivals: a few replicas need
//! relatively more spare ones than many do.

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

/// Replicas that read prompts beyond their share, times the square root of the number of replicas.
const RESERVE: f64 = 0.65;
/// Part of a service's replicas that changes to decode at once at most; they serve nothing while
/// they change.
const MAX_TO_DECODE: f64 = 0.25;
/// The same for changes to prefill; fewer, since prefill replicas that crashed are often back soon.
const MAX_TO_PREFILL: f64 = 0.125;
/// Growth of the number of replicas from which on the division is looked at anew: at a common start
/// they register one after the other, and a division of half of them is not that of all.
const GROWN: f64 = 1.1;

/// A change that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rebalance {
    /// The stage that lacks replicas.
    pub stage: Stage,
    /// Replicas of the other stage that are to change to it; one at least.
    pub count: usize,
}

/// Replicas of one service that take requests, by stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageCounts {
    /// Those that read prompts.
    pub prefill: usize,
    /// Those that make tokens.
    pub decode: usize,
}

/// The division of one service, watched over time.
#[derive(Debug)]
pub struct StageBalancer {
    /// Time that a replica takes to change.
    change: Duration,
    /// What is off, if anything is.
    off: Option<Off>,
    last: Option<Time>,
}

/// A division that is off.
#[derive(Debug, Clone, Copy)]
struct Off {
    since: Time,
    /// The stage that lacks replicas.
    stage: Stage,
    /// Replicas of both stages at that time.
    total: usize,
}

impl StageBalancer {
    /// Nothing seen yet; a replica takes `change` to change its stage.
    pub const fn new(change: Duration) -> Self {
        Self {
            change,
            off: None,
            last: None,
        }
    }

    /// The change that is to be ordered now, if any; `share` is the part of the replicas that are to
    /// read prompts, the reserve not counted.
    pub fn due(&mut self, now: Time, counts: StageCounts, share: f64) -> Option<Rebalance> {
        let Some(due) = lacking(counts, share) else {
            self.off = None;
            return None;
        };
        let total = counts.prefill + counts.decode;
        let off = match self.off {
            Some(off) if off.stage == due.stage && !grown(off.total, total) => off,
            _ => Off {
                since: now,
                stage: due.stage,
                total,
            },
        };
        self.off = Some(off);
        let settle = match due.stage {
            Stage::Decode => SETTLE,
            Stage::Prefill => SHORTAGE,
        };
        let paused = self
            .last
            .is_some_and(|last| now.since(last) < self.change + PAUSE);
        (now.since(off.since) >= settle && !paused).then_some(due)
    }

    /// Notes that no order could be given; the division has to be off for a while again.
    pub const fn order_failed(&mut self) {
        self.off = None;
    }

    /// Notes that a change was ordered.
    pub const fn order_sent(&mut self, now: Time) {
        self.last = Some(now);
        self.off = None;
    }
}

fn grown(before: usize, now: usize) -> bool {
    now as f64 > before as f64 * GROWN
}

/// Prefill replicas that `total` replicas are to have.
pub fn target_prefill(total: usize, share: f64) -> usize {
    let total_f = total as f64;
    let wanted = (total_f * share + RESERVE * total_f.sqrt()).round() as usize;
    wanted.clamp(1, total.saturating_sub(1).max(1))
}

/// The change that brings the division right, if one stage has one replica too many. A single
/// missing prefill replica is no lack.
fn lacking(counts: StageCounts, share: f64) -> Option<Rebalance> {
    let StageCounts { prefill, decode } = counts;
    let total = prefill + decode;
    let wanted = target_prefill(total, share);
    let (stage, missing) = match prefill {
        _ if total < 3 => return None,
        prefill if prefill > wanted => (Stage::Decode, prefill - wanted),
        0 => (Stage::Prefill, wanted),
        prefill if prefill + 1 < wanted => (Stage::Prefill, wanted - prefill),
        _ => return None,
    };
    let part = match stage {
        Stage::Decode => MAX_TO_DECODE,
        Stage::Prefill => MAX_TO_PREFILL,
    };
    let most = (total as f64 * part) as usize;
    let count = missing.clamp(1, most.max(1));
    Some(Rebalance { stage, count })
}
