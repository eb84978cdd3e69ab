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
const KEEP_PART: f64 = 0.85;
/// How much less of it, for a row that weighs only wasted prefill.
const THRIFT_PART: f64 = 0.2;
/// Chance that a slot does not come free in time, for a row that weighs only goodput.
const MAX_RISK: f64 = 0.02;
/// Requests beyond its slots that may be on their way to a replica, and for each to the cell.
const MAX_OVER: u32 = 1;
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
    if is_full(view, ask, Secured::Learned) {
        return Err(Wait::Slot);
    }
    let mut sites = Sites::new(view, ask);
    let horizon = view.horizon();
    let mut keys = ready(view, ask);
    keys.retain(|key| view.ready(*key) <= horizon);
    let priced = keys
        .iter()
        .filter_map(|key| price(view, ask, *key, &mut sites));
    let mut pairs: Vec<Pair> = priced.collect();
    keep_lasting(view, ask, &mut pairs);
    let best = pairs
        .iter()
        .min_by_key(|pair| pair.first)
        .ok_or(Wait::Replica)?;
    secure(view, ask, best, Secured::Learned)?;
    Ok(Pair {
        candidates: pairs.len() as u32,
        ..*best
    })
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

/// The best decode replica of each data centre, and which of them is reached first.
#[derive(Debug, Default)]
pub(crate) struct Sites {
    best: Vec<(Zone, Key)>,
    reached: Vec<(Zone, Option<(Key, Duration)>)>,
}

impl Sites {
    /// The sites for `ask`.
    pub(crate) fn new(view: &View<'_>, ask: &Ask<'_>) -> Self {
        let mut best = Vec::new();
        for (zone, keys) in view.pool.decodes() {
            let keys = keys
                .take(MAX_COMPARED)
                .filter(|key| view.kept != Some(*key));
            let keys = keys.filter(|key| !avoided(view, ask, *key));
            best.extend(
                keys.max_by_key(|key| room(view, ask, *key))
                    .map(|key| (zone, key)),
            );
        }
        Self {
            best,
            reached: Vec::new(),
        }
    }

    /// The site with a free slot that is reached first from `from`, or any if none has one.
    fn reach(&mut self, view: &View<'_>, ask: &Ask<'_>, from: Zone) -> Option<(Key, Duration)> {
        let known = self.reached.iter().find(|(zone, _)| *zone == from);
        if let Some((_, reached)) = known {
            return *reached;
        }
        let tokens = ask.ticket.prompt_tokens();
        let times = self.best.iter().map(|(zone, key)| {
            let time = view.links.expected(view.now, (from, *zone), tokens);
            (view.pool.get(*key).room(ask.limit) <= 0, time, *key)
        });
        let reached = times.min().map(|(_, time, key)| (key, time));
        self.reached.push((from, reached));
        reached
    }
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
pub(crate) fn price(
    view: &View<'_>,
    ask: &Ask<'_>,
    prefill: Key,
    sites: &mut Sites,
) -> Option<Pair> {
    let server = view.pool.get(prefill);
    let (decode, transfer) = sites.reach(view, ask, server.member.zone)?;
    let cached = view.cached(prefill, ask.ticket);
    let span = view.span(prefill, ask.ticket, cached);
    let done = view.ready(prefill) + span;
    let first = done.max(server.sent_until) + transfer;
    Some(Pair {
        prefill,
        decode,
        span,
        first,
        cached,
        candidates: 1,
    })
}

/// Drops the pairs whose prefill result would be lost before its transfer ends.
///
/// If that leaves none because links were bad, one transfer at a time may try them again.
pub(crate) fn keep_lasting(view: &View<'_>, ask: &Ask<'_>, pairs: &mut Vec<Pair>) {
    let part = KEEP_PART - THRIFT_PART * ask.thrift;
    let longest = view.settings.prefill_retention.mul_f64(part);
    let lasts = |pair: &Pair| {
        let done = view.ready(pair.prefill) + pair.span;
        pair.first.since(done) <= longest
    };
    if pairs.iter().any(lasts) {
        pairs.retain(lasts);
        return;
    }
    pairs.retain(|pair| {
        let from = view.pool.get(pair.prefill);
        let path = (from.member.zone, view.pool.get(pair.decode).member.zone);
        from.sent_until <= view.now && view.links.may_probe(view.now, path)
    });
}

/// Whether no decode slot can be free by the time any prefill ends, which spares the comparison.
pub(crate) fn is_full(view: &View<'_>, ask: &Ask<'_>, secured: Secured) -> bool {
    let net = view.pool.net_free() - i64::from(view.stranded);
    if net > 0 {
        return false;
    }
    let wanted = (1 - net) as u32;
    let rate = view.settings.min_prefill_rate;
    let longest = Duration::from_secs_f64(f64::from(ask.ticket.prompt_tokens()) / rate);
    let arrival = view.horizon() + longest;
    match secured {
        Secured::Nothing => false,
        Secured::Free => true,
        Secured::Known => view.turnover.known(arrival) < wanted,
        Secured::Learned if ask.thrift >= 1.0 => true,
        Secured::Learned => view.turnover.likely(arrival.since(view.now), 0.5) < wanted,
    }
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
    if ask.limit < server.member.slots {
        return if server.room(ask.limit) > 0 {
            Ok(())
        } else {
            Err(Wait::Slot)
        };
    }
    let wanted = (1 - net) as u32;
    let most = MAX_OVER * view.pool.open_decodes();
    if server.room(ask.limit) <= -i64::from(MAX_OVER) || wanted > most {
        return Err(Wait::Slot);
    }
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
    let patience = (view.settings.prefill_retention.mul_f64(KEEP_PART)).saturating_sub(transfer);
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
