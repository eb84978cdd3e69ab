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
const DISTANCE: f64 = 0.3;
/// Places' worth of load that a replica which is still slow after its start counts for more.
const COLD: f64 = 0.5;
/// Spread of the random part of a score; keeps daemons from choosing alike.
const JITTER: f64 = 0.05;
/// Tokens that a request of another daemon is taken for.
const USUAL_TOKENS: f64 = 5_000.0;
/// Places' worth of load that a replica counts for whose last reservation failed.
const FULL: f64 = 1.0;
/// The same where several in a row failed: more than all else that speaks against another one.
const FULL_AGAIN: f64 = 4.0;
/// Places' worth of load for each doubling of the usual time a unit of work, from the second one on:
/// work of one kind differs by a factor of two on sound replicas.
const SLOW_WEIGHT: f64 = 1.0;
/// Doublings that count at most; a slower replica is not worse than one that fails.
const SLOW_MOST: f64 = 2.0;

/// Places' worth of load that a decode replica counts for more which reads a prompt itself: it makes
/// next to no tokens meanwhile.
const READS: f64 = 0.3;

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
    pub(crate) fn fits(&self, now: Time, key: Key, server: &Server) -> bool {
        server.usable(now)
            && server.throttled_until <= now
            && server.replica.service == self.service
            && server.replica.stage == self.stage
            && !self.tried.contains(&key)
    }

    /// Whether `server`, whose engine holds `memory` tokens if that is known, has room.
    pub(crate) fn has_room(&self, now: Time, server: &Server, memory: Option<u64>) -> bool {
        match (self.demand, memory) {
            (Some(ask), Some(memory)) => ask.fits(now, server, memory),
            _ => true,
        }
    }
}

/// The candidate with the lowest score; `memory` is what one engine of the service holds, in tokens,
/// and `draw` gives evenly distributed numbers in `0.0..1.0`.
pub(crate) fn best(
    now: Time,
    want: &Criteria<'_>,
    candidates: &[(Key, &Server)],
    memory: Option<u64>,
    draw: impl Fn() -> f64,
) -> Option<Key> {
    let usual = usual_pace(now, candidates);
    let scored = candidates.iter().map(|(key, server)| {
        let load = used(now, want, server, memory) + against(now, want, server);
        (*key, load + slowness(now, server, usual) + draw() * JITTER)
    });
    let best = scored.min_by(|(_, left), (_, right)| left.total_cmp(right));
    best.map(|(key, _)| key)
}

/// What speaks against a replica besides its load and its pace.
fn against(now: Time, want: &Criteria<'_>, server: &Server) -> f64 {
    let near = server.replica.data_centre == want.data_centre;
    let distance = if near { 0.0 } else { DISTANCE };
    let cold = if server.replica.cold { COLD } else { 0.0 };
    let full = match server.refusals(now) {
        0 => 0.0,
        1 => FULL,
        _ => FULL_AGAIN,
    };
    let reads = if server.reads > 0 { READS } else { 0.0 };
    full + reads + FAILURE_WEIGHT * server.failure_share(now) + distance + cold
}

/// Median time a unit of work among the candidates that told one lately.
fn usual_pace(now: Time, candidates: &[(Key, &Server)]) -> Option<f64> {
    let known = candidates.iter().filter_map(|(_, server)| server.pace(now));
    let mut known: Vec<f64> = known.collect();
    let middle = known.len().checked_sub(1)? / 2;
    let (_, median, _) = known.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

fn slowness(now: Time, server: &Server, usual: Option<f64>) -> f64 {
    match (server.pace(now), usual) {
        (Some(pace), Some(usual)) if usual > 0.0 => {
            let doublings = (pace / usual).log2() - 1.0;
            SLOW_WEIGHT * doublings.clamp(0.0, SLOW_MOST)
        }
        _ => 0.0,
    }
}

/// Part of the replica that is in use: of its memory for a decode replica, else of its places.
fn used(now: Time, want: &Criteria<'_>, server: &Server, memory: Option<u64>) -> f64 {
    let slots = f64::from(server.replica.slots.max(1));
    let load = server.load(now);
    let queued = server.unread.map(|_| server.queued() as f64 / USUAL_TOKENS);
    match (server.replica.stage, memory, want.demand) {
        (Some(Stage::Prefill), ..) => queued.unwrap_or(load),
        (Some(Stage::Decode), Some(memory), Some(ask)) => ask.used(now, server, memory),
        (Some(Stage::Decode), Some(memory), None) => {
            let others = server.foreign(now) * USUAL_TOKENS;
            (server.tokens as f64 + others) / (memory as f64)
        }
        (None, ..) | (Some(Stage::Decode), None, _) => load / slots,
    }
}
