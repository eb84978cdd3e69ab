//! Second policy: slots that turnover makes free in time count as secured, targets for the time
//! between tokens limit batches, and shares yield to slack while rows stay near them.

use std::time::Duration;

use ident::Time;
use ident::Zone;

use crate::policy::Ask;
use crate::policy::Fair;
use crate::policy::Pair;
use crate::policy::Policy;
use crate::policy::Secured;
use crate::policy::View;
use crate::policy::Wait;
use crate::policy::reserved;
use crate::policy::reserved::MAX_COMPARED;
use crate::policy::reserved::avoided;
use crate::server::Key;

/// Part of the life of a prefill result that a transfer may be expected to take.
const KEEP_PART: f64 = 0.8;
/// Chance that a slot does not come free in time, for a row that weighs only goodput.
const MAX_RISK: f64 = 0.02;
/// Requests beyond its slots that may be on their way to a replica.
const MAX_OVER: i64 = 1;
/// Free slots that a replica with the other kind of target must be ahead to be chosen.
const MIXING: i64 = 3;

/// The policy.
pub const fn policy() -> Policy {
    Policy {
        name: "predicted",
        order: reserved::order,
        pair,
        decode,
        single: reserved::single,
        secured: Secured::Learned,
        fair: Fair::Window,
        scan: 1,
        foresight: true,
    }
}

fn pair(view: &mut View<'_>, ask: &Ask<'_>) -> Result<Pair, Wait> {
    let sites = sites(view, ask);
    let horizon = view.horizon();
    let mut best: Option<Pair> = None;
    let mut candidates = 0;
    for prefill in ready(view, ask) {
        candidates += 1;
        let pair = price(view, ask, prefill, &sites).filter(|_| view.ready(prefill) <= horizon);
        best = match (best, pair) {
            (Some(best), Some(pair)) if pair.first < best.first => Some(pair),
            (None, pair) => pair,
            (best, _) => best,
        };
    }
    let best = best
        .map(|pair| Pair { candidates, ..pair })
        .ok_or(Wait::Replica)?;
    secure(view, ask, &best, Secured::Learned)?;
    Ok(best)
}

/// Prefill replicas worth comparing: the first ones ready and those that hold the prefix.
pub(crate) fn ready(view: &View<'_>, ask: &Ask<'_>) -> Vec<Key> {
    let ready = view.pool.prefills().map(|(_, key)| key).take(MAX_COMPARED);
    let mut keys: Vec<Key> = view.cache.holders(ask.ticket.blocks()).collect();
    keys.retain(|key| view.pool.get(*key).is_open());
    for key in ready {
        if !keys.contains(&key) {
            keys.push(key);
        }
    }
    keys.retain(|key| !avoided(view, ask, *key));
    keys
}

/// The best decode replica of each data centre.
pub(crate) fn sites(view: &View<'_>, ask: &Ask<'_>) -> Vec<(Zone, Key)> {
    let best = |keys: &mut dyn Iterator<Item = Key>| {
        let keys = keys
            .take(MAX_COMPARED)
            .filter(|key| !avoided(view, ask, *key));
        let keys = keys.filter(|key| view.kept != Some(*key));
        keys.max_by_key(|key| room(view, ask, *key))
    };
    let sites = view
        .pool
        .decodes()
        .filter_map(|(zone, mut keys)| Some((zone, best(&mut keys)?)));
    sites.collect()
}

/// Free slots on `key`, with a preference for replicas of requests with the same kind of target.
fn room(view: &View<'_>, ask: &Ask<'_>, key: Key) -> i64 {
    let server = view.pool.get(key);
    let strict = ask.limit < server.member.slots;
    let room = server.room(ask.limit);
    if strict == server.is_strict() || room <= 0 {
        room
    } else {
        room - MIXING
    }
}

/// The pair with `prefill` and the decode replica that its KV cache reaches first.
///
/// There is none while transfers queue so long before the replica that its result would be lost.
pub(crate) fn price(
    view: &View<'_>,
    ask: &Ask<'_>,
    prefill: Key,
    sites: &[(Zone, Key)],
) -> Option<Pair> {
    let server = view.pool.get(prefill);
    let (decode, transfer) = reach(view, ask, server.member.zone, sites)?;
    let span = view.span(prefill, ask.ticket);
    let done = view.ready(prefill) + span;
    let first = done.max(server.sent_until) + transfer;
    let cached = view.cached(prefill, ask.ticket);
    let pair = Pair {
        prefill,
        decode,
        span,
        first,
        cached,
        candidates: 1,
    };
    (first.since(done) <= view.settings.keep.mul_f64(KEEP_PART)).then_some(pair)
}

/// The site with a free slot that is reached first from `from`, or any if none has one.
fn reach(
    view: &View<'_>,
    ask: &Ask<'_>,
    from: Zone,
    sites: &[(Zone, Key)],
) -> Option<(Key, Duration)> {
    let tokens = ask.ticket.prompt_tokens();
    let times = sites.iter().map(|(zone, key)| {
        let time = view.links.expected(view.now, (from, *zone), tokens);
        (view.pool.get(*key).room(ask.limit) <= 0, time, *key)
    });
    times.min().map(|(_, time, key)| (key, time))
}

/// Whether the slot of `pair` is free or will be in time.
pub(crate) fn secure(
    view: &View<'_>,
    ask: &Ask<'_>,
    pair: &Pair,
    secured: Secured,
) -> Result<(), Wait> {
    let server = view.pool.get(pair.decode);
    let net = view.pool.net_free() - i64::from(view.stranded);
    if net > 0 {
        let fits = server.room(ask.limit) > 0;
        return if fits {
            Ok(())
        } else {
            Err(Wait::Batch(pair.decode))
        };
    }
    if server.room(ask.limit) <= -MAX_OVER {
        return Err(Wait::Slot);
    }
    let wanted = (1 - net) as u32;
    let arrival = view.ready(pair.prefill) + pair.span;
    let likely = match secured {
        Secured::Nothing => wanted,
        Secured::Free => 0,
        Secured::Known => view.turnover.known(arrival),
        Secured::Learned => learned(view, ask, pair, arrival),
    };
    if likely >= wanted {
        Ok(())
    } else {
        Err(Wait::Slot)
    }
}

fn learned(view: &View<'_>, ask: &Ask<'_>, pair: &Pair, arrival: Time) -> u32 {
    let risk = MAX_RISK * (1.0 - ask.thrift);
    if risk <= 0.0 {
        return 0;
    }
    let span = arrival.since(view.now);
    let transfer = pair.first.since(arrival);
    let patience = (view.settings.keep.mul_f64(KEEP_PART)).saturating_sub(transfer);
    let in_time = view.turnover.likely(span, 0.5);
    in_time.min(view.turnover.likely(span + patience, risk))
}

/// Another decode replica for a finished prefill: one that has a slot free of requests that are
/// already decoding.
pub(crate) fn decode(view: &mut View<'_>, ask: &Ask<'_>) -> Option<Key> {
    let keys = view.pool.decodes().filter_map(|(zone, keys)| {
        let mut keys = keys
            .take(MAX_COMPARED)
            .filter(|key| view.pool.get(*key).vacant(ask.limit) > 0);
        let key = keys.find(|key| !avoided(view, ask, *key))?;
        let tokens = ask.ticket.prompt_tokens();
        Some((
            view.links.expected(view.now, (ask.source, zone), tokens),
            key,
        ))
    });
    keys.min().map(|(_, key)| key)
}
