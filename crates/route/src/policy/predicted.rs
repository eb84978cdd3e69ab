//! Predictive policy: slots that turnover frees in time count as secured, targets for the time
//! between tokens limit batches, and slack overrides shares while rows are near them.

use std::time::Duration;

use ident::Time;
use ident::Zone;

use crate::policy::Criteria;
use crate::policy::Fairness;
use crate::policy::Pair;
use crate::policy::Policy;
use crate::policy::SecuredSlots;
use crate::policy::View;
use crate::policy::WaitReason;
use crate::policy::reserved;
use crate::policy::reserved::MAX_COMPARED;
use crate::policy::reserved::is_avoided;
use crate::server::ReplicaKey;

/// Fraction of the retention time of a prefill result that its expected transfer may take.
const MAX_RETENTION_SHARE: f64 = 0.85;
/// Reduction of that fraction for a row that weighs only wasted prefill.
const WASTE_SHARE: f64 = 0.2;
/// Risk that a slot is not free in time, for a row that weighs only goodput.
const MAX_RISK: f64 = 0.02;
/// Most requests beyond its slots on one replica, and per decode replica in the whole pool.
const MAX_OVERCOMMIT: u32 = 1;
/// Free slots by which a replica with the other kind of target must be ahead to be chosen.
const MIXING_PENALTY: i64 = 3;

/// The predictive policy.
pub const fn policy() -> Policy {
    Policy {
        name: "predicted",
        order: reserved::order,
        pair,
        decode,
        single: reserved::single,
        secured: SecuredSlots::Learned,
        fair: Fairness::Window,
        scan_limit: 1,
        refuse_early: true,
    }
}

fn pair(view: &mut View<'_>, criteria: &Criteria<'_>) -> Result<Pair, WaitReason> {
    if is_full(view, criteria, SecuredSlots::Learned) {
        return Err(WaitReason::Slot);
    }
    let mut sites = DecodeSites::new(view, criteria);
    let horizon = view.horizon();
    let mut keys = prefill_candidates(view, criteria);
    keys.retain(|key| view.ready_at(*key) <= horizon);
    let estimates = keys
        .iter()
        .filter_map(|key| estimate_pair(view, criteria, *key, &mut sites));
    let mut pairs: Vec<Pair> = estimates.collect();
    retain_viable(view, criteria, &mut pairs);
    let best = pairs
        .iter()
        .min_by_key(|pair| pair.first_token)
        .ok_or(WaitReason::Replica)?;
    check_slot(view, criteria, best, SecuredSlots::Learned)?;
    Ok(Pair {
        candidates: pairs.len() as u32,
        ..*best
    })
}

/// Prefill replicas to compare: the first ones ready and those that hold the prefix.
pub(crate) fn prefill_candidates(view: &View<'_>, criteria: &Criteria<'_>) -> Vec<ReplicaKey> {
    let ready = view.pool.prefills().map(|(_, key)| key).take(MAX_COMPARED);
    let mut keys: Vec<ReplicaKey> = view
        .prefix_index
        .holders(criteria.ticket.blocks())
        .collect();
    keys.retain(|key| view.pool.get(*key).is_open());
    for key in ready {
        if !keys.contains(&key) {
            keys.push(key);
        }
    }
    keys.retain(|key| !is_avoided(view, criteria, *key));
    keys
}

/// The best decode replica of each data centre, and the nearest of them by source.
#[derive(Debug, Default)]
pub(crate) struct DecodeSites {
    best: Vec<(Zone, ReplicaKey)>,
    reached: Vec<(Zone, Option<(ReplicaKey, Duration)>)>,
}

impl DecodeSites {
    /// The decode replicas for `criteria`.
    pub(crate) fn new(view: &View<'_>, criteria: &Criteria<'_>) -> Self {
        let mut best = Vec::new();
        for (zone, keys) in view.pool.decodes() {
            let keys = keys
                .take(MAX_COMPARED)
                .filter(|key| view.reserved_decode != Some(*key));
            let keys = keys.filter(|key| !is_avoided(view, criteria, *key));
            best.extend(
                keys.max_by_key(|key| preferred_slots(view, criteria, *key))
                    .map(|key| (zone, key)),
            );
        }
        Self {
            best,
            reached: Vec::new(),
        }
    }

    /// The replica with a free slot that is reached first from `from`, or any if none has one.
    fn nearest(
        &mut self,
        view: &View<'_>,
        criteria: &Criteria<'_>,
        from: Zone,
    ) -> Option<(ReplicaKey, Duration)> {
        let known = self.reached.iter().find(|(zone, _)| *zone == from);
        if let Some((_, reached)) = known {
            return *reached;
        }
        let tokens = criteria.ticket.prompt_tokens();
        let times = self.best.iter().map(|(zone, key)| {
            let time = view.links.expected(view.now, (from, *zone), tokens);
            (
                view.pool.get(*key).free_slots_within(criteria.max_batch) <= 0,
                time,
                *key,
            )
        });
        let reached = times.min().map(|(_, time, key)| (key, time));
        self.reached.push((from, reached));
        reached
    }
}

/// Free slots on `key`, with a preference for replicas whose requests have the same kind of target.
fn preferred_slots(view: &View<'_>, criteria: &Criteria<'_>, key: ReplicaKey) -> i64 {
    let server = view.pool.get(key);
    let strict = criteria.max_batch < server.member.slots;
    let slots = server.free_slots_within(criteria.max_batch);
    if strict == server.is_batch_limited() || slots <= 0 {
        slots
    } else {
        slots - MIXING_PENALTY
    }
}

/// The pair of `prefill` and the decode replica that its KV cache reaches first.
pub(crate) fn estimate_pair(
    view: &View<'_>,
    criteria: &Criteria<'_>,
    prefill: ReplicaKey,
    sites: &mut DecodeSites,
) -> Option<Pair> {
    let server = view.pool.get(prefill);
    let (decode, transfer) = sites.nearest(view, criteria, server.member.zone)?;
    let cached = view.cached_blocks(prefill, criteria.ticket);
    let prefill_time = view.prefill_time(prefill, criteria.ticket, cached);
    let done = view.ready_at(prefill) + prefill_time;
    let first_token = done.max(server.transfers_end) + transfer;
    Some(Pair {
        prefill,
        decode,
        prefill_time,
        first_token,
        cached,
        candidates: 1,
    })
}

/// Drops pairs whose prefill result would expire before its transfer ends.
///
/// If links are so slow that none remains, one transfer at a time may probe them.
pub(crate) fn retain_viable(view: &View<'_>, criteria: &Criteria<'_>, pairs: &mut Vec<Pair>) {
    let share = MAX_RETENTION_SHARE - WASTE_SHARE * criteria.waste_weight;
    let longest = view.settings.prefill_retention.mul_f64(share);
    let is_viable = |pair: &Pair| {
        let done = view.ready_at(pair.prefill) + pair.prefill_time;
        pair.first_token.since(done) <= longest
    };
    if pairs.iter().any(is_viable) {
        pairs.retain(is_viable);
        return;
    }
    pairs.retain(|pair| {
        let from = view.pool.get(pair.prefill);
        let path = (from.member.zone, view.pool.get(pair.decode).member.zone);
        from.transfers_end <= view.now && view.links.may_probe(view.now, path)
    });
}

/// Whether no decode slot can be free before any prefill ends, which saves the comparison.
pub(crate) fn is_full(view: &View<'_>, criteria: &Criteria<'_>, secured: SecuredSlots) -> bool {
    let net = view.pool.net_free_slots() - i64::from(view.displaced);
    if net > 0 {
        return false;
    }
    let wanted = (1 - net) as u32;
    let rate = view.settings.min_prefill_rate;
    let longest = Duration::from_secs_f64(f64::from(criteria.ticket.prompt_tokens()) / rate);
    let arrival = view.horizon() + longest;
    match secured {
        SecuredSlots::Nothing => false,
        SecuredSlots::Free => true,
        SecuredSlots::Known => view.turnover.known_ends(arrival) < wanted,
        SecuredSlots::Learned if criteria.waste_weight >= 1.0 => true,
        SecuredSlots::Learned => view.turnover.likely_ends(arrival.since(view.now), 0.5) < wanted,
    }
}

/// Checks that the slot of `pair` is free or will be in time.
pub(crate) fn check_slot(
    view: &View<'_>,
    criteria: &Criteria<'_>,
    pair: &Pair,
    secured: SecuredSlots,
) -> Result<(), WaitReason> {
    let server = view.pool.get(pair.decode);
    let net = view.pool.net_free_slots() - i64::from(view.displaced);
    if net > 0 {
        let fits = server.free_slots_within(criteria.max_batch) > 0;
        return if fits {
            Ok(())
        } else {
            Err(WaitReason::Batch(pair.decode))
        };
    }
    if criteria.max_batch < server.member.slots {
        return if server.free_slots_within(criteria.max_batch) > 0 {
            Ok(())
        } else {
            Err(WaitReason::Slot)
        };
    }
    let wanted = (1 - net) as u32;
    let most = MAX_OVERCOMMIT * view.pool.open_decodes();
    if server.free_slots_within(criteria.max_batch) <= -i64::from(MAX_OVERCOMMIT) || wanted > most {
        return Err(WaitReason::Slot);
    }
    let arrival = view.ready_at(pair.prefill) + pair.prefill_time;
    let expected = match secured {
        SecuredSlots::Nothing => wanted,
        SecuredSlots::Free => 0,
        SecuredSlots::Known => view.turnover.known_ends(arrival),
        SecuredSlots::Learned => learned_ends(view, criteria, pair, arrival),
    };
    if expected >= wanted {
        Ok(())
    } else {
        Err(WaitReason::Slot)
    }
}

fn learned_ends(view: &View<'_>, criteria: &Criteria<'_>, pair: &Pair, arrival: Time) -> u32 {
    let risk = MAX_RISK * (1.0 - criteria.waste_weight);
    if risk <= 0.0 {
        return 0;
    }
    let time_left = arrival.since(view.now);
    let transfer = pair.first_token.since(arrival);
    let slack =
        (view.settings.prefill_retention.mul_f64(MAX_RETENTION_SHARE)).saturating_sub(transfer);
    let in_time = view.turnover.likely_ends(time_left, 0.5);
    in_time.min(view.turnover.likely_ends(time_left + slack, risk))
}

/// Another decode replica for a finished prefill, with a slot in which no request decodes or is
/// being imported.
pub(crate) fn decode(view: &mut View<'_>, criteria: &Criteria<'_>) -> Option<ReplicaKey> {
    let keys = view.pool.decodes().filter_map(|(zone, keys)| {
        let mut keys = keys
            .take(MAX_COMPARED)
            .filter(|key| view.pool.get(*key).unoccupied_slots(criteria.max_batch) > 0);
        let key = keys.find(|key| !is_avoided(view, criteria, *key))?;
        let tokens = criteria.ticket.prompt_tokens();
        Some((
            view.links
                .expected(view.now, (criteria.source, zone), tokens),
            key,
        ))
    });
    keys.min().map(|(_, key)| key)
}
