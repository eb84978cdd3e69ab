//! Which replica is to serve a request: the one with the lowest score.

use ident::Time;
use ident::Zone;

use crate::admission::MemoryDemand;
use crate::replica::Stage;
use crate::server::Key;
use crate::server::Server;

/// Places' worth of load that a share of failures of 1 counts for.
const FAILURE_WEIGHT: f64 = 3.0;
/// Places' worth of load that a replica of another data centre counts for more: bytes between
/// data centres are paid for.
const REMOTE_PENALTY: f64 = 0.3;
/// Places' worth of load that a replica which is still slow after its start counts for more.
const COLD_PENALTY: f64 = 0.5;
/// Spread of the random part of a score; keeps daemons from choosing alike.
const JITTER: f64 = 0.05;
/// Tokens that a request of another daemon is taken for.
const TYPICAL_RUN_TOKENS: f64 = 5_000.0;
/// Places' worth of load that a replica counts for whose last reservation failed.
const REFUSED_PENALTY: f64 = 1.0;
/// The same where several in a row failed: more than all else that speaks against another one.
const REPEATED_REFUSAL_PENALTY: f64 = 4.0;
/// Places' worth of load for each doubling of the usual time a unit of work, from the second one on:
/// work of one kind differs by a factor of two on sound replicas.
const SLOW_WEIGHT: f64 = 1.0;
/// Doublings that count at most; a slower replica is not worse than one that fails.
const MAX_SLOW_DOUBLINGS: f64 = 2.0;

/// Places' worth of load that a decode replica counts for more which reads a prompt itself: it makes
/// next to no tokens meanwhile.
const PREFILL_PENALTY: f64 = 0.3;

/// What a request asks of a replica.
#[derive(Debug, Clone, Copy)]
pub struct Criteria<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Part in serving a model; `None` for a plain application.
    pub stage: Option<Stage>,
    /// Replicas that it was sent to before.
    pub tried: &'a [Key],
    /// Data centre of this daemon.
    pub data_centre: Zone,
    /// What it asks of the memory of a decode replica, if that is to be looked at.
    pub demand: Option<MemoryDemand>,
}

impl Criteria<'_> {
    /// Whether `server` may be chosen.
    pub(crate) fn matches(&self, now: Time, key: Key, server: &Server) -> bool {
        server.is_available(now)
            && server.throttled_until <= now
            && server.replica.service == self.service
            && server.replica.stage == self.stage
            && !self.tried.contains(&key)
    }

    /// Whether `server`, whose engine holds `memory` tokens if that is known, has room.
    pub(crate) fn has_room(&self, now: Time, server: &Server, memory: Option<u64>) -> bool {
        match (self.demand, memory) {
            (Some(demand), Some(memory)) => demand.fits(now, server, memory),
            _ => true,
        }
    }
}

/// The candidate with the lowest score; `memory` is what one engine of the service holds, in tokens,
/// and `draw` gives evenly distributed numbers in `0.0..1.0`.
pub(crate) fn best(
    now: Time,
    criteria: &Criteria<'_>,
    candidates: &[(Key, &Server)],
    memory: Option<u64>,
    draw: impl Fn() -> f64,
) -> Option<Key> {
    let median = median_pace(now, candidates);
    let scored = candidates.iter().map(|(key, server)| {
        let load = relative_load(now, criteria, server, memory) + penalty(now, criteria, server);
        (
            *key,
            load + slowness_penalty(now, server, median) + draw() * JITTER,
        )
    });
    let best = scored.min_by(|(_, left), (_, right)| left.total_cmp(right));
    best.map(|(key, _)| key)
}

/// What speaks against a replica besides its load and its pace.
fn penalty(now: Time, criteria: &Criteria<'_>, server: &Server) -> f64 {
    let is_local = server.replica.data_centre == criteria.data_centre;
    let distance = if is_local { 0.0 } else { REMOTE_PENALTY };
    let cold = if server.replica.cold {
        COLD_PENALTY
    } else {
        0.0
    };
    let refused = match server.refusals(now) {
        0 => 0.0,
        1 => REFUSED_PENALTY,
        _ => REPEATED_REFUSAL_PENALTY,
    };
    let prefilling = if server.prefills > 0 {
        PREFILL_PENALTY
    } else {
        0.0
    };
    refused + prefilling + FAILURE_WEIGHT * server.failure_share(now) + distance + cold
}

/// Median time a unit of work among the candidates that told one lately.
fn median_pace(now: Time, candidates: &[(Key, &Server)]) -> Option<f64> {
    let paces = candidates.iter().filter_map(|(_, server)| server.pace(now));
    let mut paces: Vec<f64> = paces.collect();
    let middle = paces.len().checked_sub(1)? / 2;
    let (_, median, _) = paces.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

fn slowness_penalty(now: Time, server: &Server, median: Option<f64>) -> f64 {
    match (server.pace(now), median) {
        (Some(pace), Some(median)) if median > 0.0 => {
            let doublings = (pace / median).log2() - 1.0;
            SLOW_WEIGHT * doublings.clamp(0.0, MAX_SLOW_DOUBLINGS)
        }
        _ => 0.0,
    }
}

/// Part of the replica that is in use: of its memory for a decode replica, else of its places.
fn relative_load(now: Time, criteria: &Criteria<'_>, server: &Server, memory: Option<u64>) -> f64 {
    let slots = f64::from(server.replica.slots.max(1));
    let load = server.load(now);
    let queued = server
        .peer_prefill_tokens
        .map(|_| server.queued_tokens() as f64 / TYPICAL_RUN_TOKENS);
    match (server.replica.stage, memory, criteria.demand) {
        (Some(Stage::Prefill), ..) => queued.unwrap_or(load),
        (Some(Stage::Decode), Some(memory), Some(demand)) => {
            demand.peak_utilization(now, server, memory)
        }
        (Some(Stage::Decode), Some(memory), None) => {
            let peer_tokens = server.peer_requests(now) * TYPICAL_RUN_TOKENS;
            (server.tokens as f64 + peer_tokens) / (memory as f64)
        }
        (None, ..) | (Some(Stage::Decode), None, _) => load / slots,
    }
}
