//! Decides how the replicas of a model are divided into prefill and decode.
//!
//! The number of prefill replicas is a share of all replicas plus a reserve that grows with the
//! square root of their number: as in any server pool with random arrivals, a small pool needs
//! relatively more spare replicas than a large one.

use std::time::Duration;

use ident::Time;

use crate::replica::Stage;

/// How long there must be too many prefill replicas before one changes to decode. Longer than the
/// lag of the list behind an ordered change.
const SURPLUS_DELAY: Duration = Duration::from_millis(1_500);
/// How long there must be too few prefill replicas before a decode replica changes. Decode replicas
/// can prefill meanwhile, and a crashed replica is often back within seconds.
const SHORTAGE_DELAY: Duration = Duration::from_secs(5);
/// Pause between two changes of one service, in addition to the duration of a change: the list
/// shows a change only after a heartbeat and a read.
const CHANGE_PAUSE: Duration = Duration::from_secs(3);

/// Factor of the square root in the reserve of prefill replicas.
const RESERVE_FACTOR: f64 = 0.65;
/// Maximum fraction of a service's replicas that changes to decode at once; a replica serves
/// nothing while it changes.
const MAX_TO_DECODE: f64 = 0.25;
/// The same for changes to prefill. Smaller, since crashed prefill replicas are often back soon.
const MAX_TO_PREFILL: f64 = 0.125;
/// Growth of the number of replicas that restarts the delay. When all replicas start together they
/// register one by one, and the right division of the first half is not that of all.
const GROWTH_RESET: f64 = 1.1;

/// A change of replicas from one stage to the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rebalance {
    /// The stage that has too few replicas.
    pub stage: Stage,
    /// Replicas of the other stage to change to it; at least one.
    pub count: usize,
}

/// Available replicas of one service, by stage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StageCounts {
    /// Prefill replicas.
    pub prefill: usize,
    /// Decode replicas.
    pub decode: usize,
}

/// Tracks the division of one service over time.
#[derive(Debug)]
pub struct StageBalancer {
    /// Time that a replica takes to change its stage.
    change_time: Duration,
    /// The present imbalance, if any.
    imbalance: Option<Imbalance>,
    last_order: Option<Time>,
}

/// A division with too few replicas in one stage.
#[derive(Debug, Clone, Copy)]
struct Imbalance {
    since: Time,
    /// The stage that has too few replicas.
    stage: Stage,
    /// Replicas of both stages when the imbalance began.
    total: usize,
}

impl StageBalancer {
    /// Creates a balancer for a service whose replicas take `change_time` to change their stage.
    pub const fn new(change_time: Duration) -> Self {
        Self {
            change_time,
            imbalance: None,
            last_order: None,
        }
    }

    /// Sets the time that a replica takes to change its stage.
    pub const fn set_change_time(&mut self, change_time: Duration) {
        self.change_time = change_time;
    }

    /// Returns the change to order now, if any. `share` is the target fraction of prefill replicas
    /// without the reserve.
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

    /// Records that no order could be sent; the delay starts again.
    pub const fn order_failed(&mut self) {
        self.imbalance = None;
    }

    /// Records that a change was ordered.
    pub const fn order_sent(&mut self, now: Time) {
        self.last_order = Some(now);
        self.imbalance = None;
    }
}

fn has_grown(before: usize, now: usize) -> bool {
    now as f64 > before as f64 * GROWTH_RESET
}

/// Target number of prefill replicas among `total` replicas.
pub fn target_prefill(total: usize, share: f64) -> usize {
    let total_f = total as f64;
    let wanted = (total_f * share + RESERVE_FACTOR * total_f.sqrt()).round() as usize;
    wanted.clamp(1, total.saturating_sub(1).max(1))
}

/// Returns the change that corrects the division, if one is needed. A single missing prefill
/// replica is tolerated.
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
