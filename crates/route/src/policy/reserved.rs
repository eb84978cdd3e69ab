//! Reservation policy: a free decode slot is claimed before the prefill starts.

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
use crate::server::ReplicaKey;

/// Most replicas compared in each index.
pub(crate) const MAX_COMPARED: usize = 8;

/// The reservation policy.
pub const fn policy() -> Policy {
    Policy {
        name: "reserved",
        order,
        pair,
        decode,
        single,
        secured: SecuredSlots::Free,
        fair: Fairness::Stride,
        scan_limit: 1,
        refuse_early: false,
    }
}

/// Least slack first: the latest start time that still meets the target.
pub(crate) fn order(criteria: &Criteria<'_>) -> Time {
    criteria.due - criteria.min_ttft
}

fn pair(view: &mut View<'_>, criteria: &Criteria<'_>) -> Result<Pair, WaitReason> {
    if view.pool.net_free_slots() <= 0 {
        return Err(WaitReason::Slot);
    }
    let horizon = view.horizon();
    let ready = view
        .pool
        .prefills()
        .take_while(|(ready, _)| *ready <= horizon);
    let ready = ready.map(|(_, key)| key).take(MAX_COMPARED);
    let holders = view
        .prefix_index
        .holders(criteria.ticket.blocks())
        .filter(|key| is_ready(view, *key, horizon));
    let mut best: Option<Pair> = None;
    let mut candidates = 0;
    for prefill in ready
        .chain(holders)
        .filter(|key| !is_avoided(view, criteria, *key))
    {
        candidates += 1;
        let pair = estimate_pair(view, criteria, prefill);
        best = match (best, pair) {
            (Some(best), Some(pair)) if pair.first_token < best.first_token => Some(pair),
            (None, pair) => pair,
            (best, _) => best,
        };
    }
    best.map(|pair| Pair { candidates, ..pair })
        .ok_or(WaitReason::Replica)
}

fn is_ready(view: &View<'_>, key: ReplicaKey, horizon: Time) -> bool {
    let server = view.pool.get(key);
    server.is_open() && server.ready() <= horizon
}

/// Whether `key` failed an earlier attempt and another replica can replace it.
pub(crate) fn is_avoided(view: &View<'_>, criteria: &Criteria<'_>, key: ReplicaKey) -> bool {
    let avoid = &criteria.ticket.avoid;
    let server = view.pool.get(key);
    if !avoid.contains(&server.member.replica) {
        return false;
    }
    view.pool.iter().any(|(_, other)| {
        let member = &other.member;
        other.is_open() && member.role == server.member.role && !avoid.contains(&member.replica)
    })
}

fn estimate_pair(view: &View<'_>, criteria: &Criteria<'_>, prefill: ReplicaKey) -> Option<Pair> {
    let server = view.pool.get(prefill);
    let cached = view.cached_blocks(prefill, criteria.ticket);
    let prefill_time = view.prefill_time(prefill, criteria.ticket, cached);
    let done = server.ready().max(view.now) + prefill_time;
    let (decode, transfer) = nearest(view, criteria, server.member.zone)?;
    Some(Pair {
        prefill,
        decode,
        prefill_time,
        first_token: done + transfer,
        cached,
        candidates: 1,
    })
}

/// The decode replica with a free slot that the KV cache reaches first from `from`.
fn nearest(view: &View<'_>, criteria: &Criteria<'_>, from: Zone) -> Option<(ReplicaKey, Duration)> {
    let mut best: Option<(ReplicaKey, Duration)> = None;
    for (zone, mut keys) in view.pool.decodes() {
        let free = keys
            .find(|key| view.pool.get(*key).free_slots() > 0 && !is_avoided(view, criteria, *key));
        let Some(key) = free else {
            continue;
        };
        let time = view
            .links
            .expected(view.now, (from, zone), criteria.ticket.prompt_tokens());
        if best.is_none_or(|(_, least)| time < least) {
            best = Some((key, time));
        }
    }
    best
}

fn decode(view: &mut View<'_>, criteria: &Criteria<'_>) -> Option<ReplicaKey> {
    nearest(view, criteria, criteria.source).map(|(key, _)| key)
}

pub(crate) fn single(view: &mut View<'_>, criteria: &Criteria<'_>) -> Option<ReplicaKey> {
    let open = view.pool.plains().map(|(_, key)| key).take(MAX_COMPARED);
    let free = open
        .filter(|key| view.pool.get(*key).free_slots() > 0 && !is_avoided(view, criteria, *key));
    free.min_by(|a, b| expected_wait(view, *a).total_cmp(&expected_wait(view, *b)))
}

fn expected_wait(view: &View<'_>, key: ReplicaKey) -> f64 {
    let server = view.pool.get(key);
    server.call_time.value() * f64::from(server.load() + 1)
}
