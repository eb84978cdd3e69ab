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
const SURPLUS_DELAY: Duration = Duration::from_millis(1_500);
/// How long too few prefill replicas are borne: decode replicas can read prompts themselves, and
/// one that crashed is often back within some seconds.
const SHORTAGE_DELAY: Duration = Duration::from_secs(5);
/// Time between two changes of one service, besides the time that a change takes: the list tells of
/// it with a lag of a heartbeat and a reading.
const CHANGE_PAUSE: Duration = Duration::from_secs(3);

/// Replicas that read prompts beyond their share, times the square root of the number of replicas.
const RESERVE_FACTOR: f64 = 0.65;
/// Part of a service's replicas that changes to decode at once at most; they serve nothing while
/// they change.
const MAX_TO_DECODE: f64 = 0.25;
/// The same for changes to prefill; fewer, since prefill replicas that crashed are often back soon.
const MAX_TO_PREFILL: f64 = 0.125;
/// Growth of the number of replicas from which on the division is looked at anew: at a common start
/// they register one after the other, and a division of half of them is not that of all.
const GROWTH_RESET: f64 = 1.1;

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
    change_time: Duration,
    /// What is off, if anything is.
    imbalance: Option<Imbalance>,
    last_order: Option<Time>,
}

/// A division that is off.
#[derive(Debug, Clone, Copy)]
struct Imbalance {
    since: Time,
    /// The stage that lacks replicas.
    stage: Stage,
    /// Replicas of both stages at that time.
    total: usize,
}

impl StageBalancer {
    /// Nothing seen yet; a replica takes `change` to change its stage.
    pub const fn new(change_time: Duration) -> Self {
        Self {
            change_time,
            imbalance: None,
            last_order: None,
        }
    }

    /// The change that is to be ordered now, if any; `share` is the part of the replicas that are to
    /// read prompts, the reserve not counted.
    pub fn due(&mut self, now: Time, counts: StageCounts, share: f64) -> Option<Rebalance> {
        let Some(due) = required_rebalance(counts, share) else {
            self.imbalance = None;
            return None;
        };
        let total = counts.prefill + counts.decode;
        let imbalance = match self.imbalance {
            Some(imbalance)
                if imbalance.stage == due.stage && !has_grown(imbalance.total, total) =>
            {
                imbalance
            }
            _ => Imbalance {
                since: now,
                stage: due.stage,
                total,
            },
        };
        self.imbalance = Some(imbalance);
        let delay = match due.stage {
            Stage::Decode => SURPLUS_DELAY,
            Stage::Prefill => SHORTAGE_DELAY,
        };
        let paused = self
            .last_order
            .is_some_and(|last_order| now.since(last_order) < self.change_time + CHANGE_PAUSE);
        (now.since(imbalance.since) >= delay && !paused).then_some(due)
    }

    /// Notes that no order could be given; the division has to be off for a while again.
    pub const fn order_failed(&mut self) {
        self.imbalance = None;
    }

    /// Notes that a change was ordered.
    pub const fn order_sent(&mut self, now: Time) {
        self.last_order = Some(now);
        self.imbalance = None;
    }
}

fn has_grown(before: usize, now: usize) -> bool {
    now as f64 > before as f64 * GROWTH_RESET
}

/// Prefill replicas that `total` replicas are to have.
pub fn target_prefill(total: usize, share: f64) -> usize {
    let total_f = total as f64;
    let wanted = (total_f * share + RESERVE_FACTOR * total_f.sqrt()).round() as usize;
    wanted.clamp(1, total.saturating_sub(1).max(1))
}

/// The change that brings the division right, if one stage has one replica too many. A single
/// missing prefill replica is no lack.
fn required_rebalance(counts: StageCounts, share: f64) -> Option<Rebalance> {
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
    let fraction = match stage {
        Stage::Decode => MAX_TO_DECODE,
        Stage::Prefill => MAX_TO_PREFILL,
    };
    let max_count = (total as f64 * fraction) as usize;
    let count = missing.clamp(1, max_count.max(1));
    Some(Rebalance { stage, count })
}
