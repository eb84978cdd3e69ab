//! Selects the replica with the lowest score for a request.

use ident::Time;
use ident::Zone;

use crate::admission::MemoryDemand;
use crate::answer::Answer;
use crate::replica::Stage;
use crate::server::Key;
use crate::server::Server;

/// Penalty for a failure share of 1. Penalties are in units of load: 1 is a full replica, or one
/// queued prompt at a prefill replica.
const FAILURE_WEIGHT: f64 = 3.0;
/// Penalty of a replica in another data centre: traffic between data centres costs money.
const REMOTE_PENALTY: f64 = 0.3;
/// Penalty of a replica that is cold.
const COLD_PENALTY: f64 = 0.5;
/// Range of the random part of a score, which keeps daemons from making the same choice.
const JITTER: f64 = 0.05;
/// Tokens assumed for a request of another daemon.
const TYPICAL_RUN_TOKENS: f64 = 5_000.0;
/// Penalty of a replica whose last reservation failed.
const REFUSED_PENALTY: f64 = 1.0;
/// Penalty of a replica where several successive reservations failed; exceeds any other penalty.
const REPEATED_REFUSAL_PENALTY: f64 = 4.0;
/// Penalty for each doubling of the median time per unit of work, beyond the first: on healthy
/// replicas, work of one kind differs by a factor of two.
const SLOW_WEIGHT: f64 = 1.0;
/// Maximum number of doublings that count; a slower replica is not worse than one that fails.
const MAX_SLOW_DOUBLINGS: f64 = 2.0;
/// Penalty of a decode replica with the median time per token: of two that are equally filled, the
/// faster one ends the answer sooner. A run of usual size weighs as much.
const TOKEN_SLOWNESS_WEIGHT: f64 = 0.2;
/// Largest ratio to the median that counts; what a slower replica does to deadlines and pauses
/// counts by itself.
const MAX_TOKEN_SLOWNESS: f64 = 2.0;
/// Largest slowdown of a plain replica that counts; a slower one is not worse than one that fails.
const MAX_PLAIN_SLOWDOWN: f64 = 3.0;
/// Penalty of a decode replica that is prefilling a prompt: it generates almost no tokens
/// meanwhile.
const PREFILL_PENALTY: f64 = 0.3;

/// Software versions that may serve a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Version<'a> {
    /// Any.
    Any,
    /// Any that the list of replicas shows: no stream that may be resumed begins at a version that
    /// only this daemon has met.
    Listed,
    /// This one.
    Exactly(&'a str),
}

impl<'a> Version<'a> {
    /// The version `software`, or [`Version::Any`] without one.
    pub fn exactly_or_any(software: Option<&'a str>) -> Self {
        software.map_or(Self::Any, Self::Exactly)
    }

    /// Whether a replica of the version `software`, `None` if it is not listed, may serve.
    pub fn allows(self, software: Option<&str>) -> bool {
        match self {
            Self::Any => true,
            Self::Listed => software.is_some(),
            Self::Exactly(version) => software == Some(version),
        }
    }
}

/// Requirements of a request for its replica.
#[derive(Debug, Clone, Copy)]
pub struct Criteria<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Stage of serving a model; `None` for a plain application.
    pub stage: Option<Stage>,
    /// Replicas that the request has already been sent to.
    pub tried: &'a [Key],
    /// Data centres in which the request may be served; `None` if it may be served anywhere.
    pub homes: Option<&'a [Zone]>,
    /// Software versions that may serve the request.
    pub software: Version<'a>,
    /// Software versions that may not serve the request.
    pub reserved: &'a [String],
    /// Preferred data centre.
    pub data_centre: Zone,
    /// Memory needed at a decode replica, if it is to be checked.
    pub demand: Option<MemoryDemand>,
    /// The answer that a decode replica is to make, if its speed is to be considered.
    pub answer: Option<&'a Answer>,
    /// Tokens of the prompt, for prefill replicas; 0 if it is not known.
    pub prompt_tokens: u64,
}

impl Criteria<'_> {
    /// Whether `server` is eligible.
    pub(crate) fn matches(&self, now: Time, key: Key, server: &Server) -> bool {
        server.accepts_work(now)
            && server.replica.service == self.service
            && server.replica.stage == self.stage
            && self.is_home(server)
            && self.is_compatible(server)
            && !self.tried.contains(&key)
            && self
                .answer
                .is_none_or(|answer| answer.accepts(server.token_pace(now)))
    }

    /// Whether the request may be served in the data centre of `server`.
    pub(crate) fn is_home(&self, server: &Server) -> bool {
        let data_centre = &server.replica.data_centre;
        self.homes.is_none_or(|homes| homes.contains(data_centre))
    }

    /// Whether the software version of `server` may serve the request.
    pub(crate) fn is_compatible(&self, server: &Server) -> bool {
        let software = server.replica.software.as_ref();
        let is_reserved = software.is_some_and(|software| self.reserved.contains(software));
        !is_reserved && self.software.allows(software.map(String::as_str))
    }

    /// Whether `server` has room. `memory` is the size of its engine's memory in tokens, if known.
    pub(crate) fn has_room(&self, now: Time, server: &Server, memory: Option<u64>) -> bool {
        match (self.demand_at(now, server), memory) {
            (Some(demand), Some(memory)) => demand.fits(now, server, memory),
            _ => true,
        }
    }

    /// The memory needed at `server`, by its speed if that is known.
    fn demand_at(&self, now: Time, server: &Server) -> Option<MemoryDemand> {
        let demand = self.demand?;
        match (self.answer, server.token_pace(now)) {
            (Some(answer), Some(pace)) => Some(MemoryDemand {
                curve: answer.curve(pace),
                ..demand
            }),
            _ => Some(demand),
        }
    }

    /// Probability that the answer is late at `server`. A replica of unknown speed counts as one of
    /// the `median`'s; 0 if that is not known either.
    fn share_late(&self, now: Time, server: &Server, median: Option<f64>) -> f64 {
        match (self.answer, server.token_pace(now).or(median)) {
            (Some(answer), Some(pace)) => answer.share_late(pace),
            _ => 0.0,
        }
    }
}

/// Returns the candidate with the lowest score. `memory` is the size of an engine's memory in
/// tokens, and `draw` returns random numbers uniform in `0.0..1.0`.
pub(crate) fn best(
    now: Time,
    criteria: &Criteria<'_>,
    candidates: &[(Key, &Server)],
    memory: Option<u64>,
    draw: impl Fn() -> f64,
) -> Option<Key> {
    let median_pace = median(candidates.iter().filter_map(|(_, server)| server.pace(now)));
    let token_paces = candidates
        .iter()
        .filter_map(|(_, server)| server.token_pace(now));
    let median_token_pace = median(token_paces);
    let scored = candidates.iter().map(|(key, server)| {
        let load = match (criteria.stage, median_token_pace) {
            (Some(Stage::Prefill), Some(median)) => prefill_load(now, criteria, server, median),
            _ => relative_load(now, criteria, server, memory),
        };
        let token_slowness = criteria.answer.map_or(0.0, |_| {
            token_slowness_penalty(now, server, median_token_pace)
        });
        let slowness = slowness_penalty(now, server, median_pace) + token_slowness;
        let score =
            load + penalty(now, criteria, server, median_token_pace) + slowness + draw() * JITTER;
        (*key, score)
    });
    let best = scored.min_by(|(_, left), (_, right)| left.total_cmp(right));
    best.map(|(key, _)| key)
}

/// Penalties other than for load and slowness. `median` is the candidates' median time per token.
fn penalty(now: Time, criteria: &Criteria<'_>, server: &Server, median: Option<f64>) -> f64 {
    let is_local = server.replica.data_centre == criteria.data_centre;
    let distance = if is_local { 0.0 } else { REMOTE_PENALTY };
    let cold = if server.is_cold(now) {
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
    let failing = server.failure_share(now);
    let late = criteria.share_late(now, server, median);
    let unserved = failing + late - failing * late;
    refused + prefilling + FAILURE_WEIGHT * unserved + distance + cold
}

/// Median of `values`; `None` if there are none.
fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    let middle = values.len().checked_sub(1)? / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

/// Load of a prefill replica: the expected time to the end of the prompt, in units of a typical
/// prompt at the `median` pace. An unknown pace counts as the median.
fn prefill_load(now: Time, criteria: &Criteria<'_>, server: &Server, median: f64) -> f64 {
    let pace = server.token_pace(now).unwrap_or(median) / median;
    let prompt = criteria.prompt_tokens as f64 / TYPICAL_RUN_TOKENS;
    (relative_load(now, criteria, server, None) + prompt) * pace
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

/// Penalty for the time per token of an answer. A replica of unknown speed counts as one of the
/// median's.
fn token_slowness_penalty(now: Time, server: &Server, median: Option<f64>) -> f64 {
    match (server.token_pace(now), median) {
        (Some(pace), Some(median)) if median > 0.0 => {
            TOKEN_SLOWNESS_WEIGHT * (pace / median).min(MAX_TOKEN_SLOWNESS)
        }
        (None, Some(_)) => TOKEN_SLOWNESS_WEIGHT,
        _ => 0.0,
    }
}

/// Load of a replica: the used fraction of the memory for a decode replica and of the slots for a
/// plain one, and the number of queued prompts for a prefill replica.
fn relative_load(now: Time, criteria: &Criteria<'_>, server: &Server, memory: Option<u64>) -> f64 {
    let slots = f64::from(server.replica.slots.max(1));
    let load = server.load(now);
    let queued = server
        .peer_prefill_tokens
        .map(|_| server.queued_tokens() as f64 / TYPICAL_RUN_TOKENS);
    match (
        server.replica.stage,
        memory,
        criteria.demand_at(now, server),
    ) {
        (Some(Stage::Prefill), ..) => queued.unwrap_or(load),
        (Some(Stage::Decode), Some(memory), Some(demand)) => {
            demand.peak_utilization(now, server, memory)
        }
        (Some(Stage::Decode), Some(memory), None) => {
            let peer_tokens = server.peer_requests(now) * TYPICAL_RUN_TOKENS;
            (server.tokens as f64 + peer_tokens) / (memory as f64)
        }
        (None, ..) => plain_load(load, server.slowdown(now)) / slots,
        (Some(Stage::Decode), None, _) => load / slots,
    }
}

/// Requests in progress at a replica of usual speed for which a further request would take as long as
/// at one with `load` requests where work takes `slowdown` times as long.
fn plain_load(load: f64, slowdown: Option<f64>) -> f64 {
    slowdown.map_or(load, |slowdown| {
        (load + 1.0) * slowdown.min(MAX_PLAIN_SLOWDOWN) - 1.0
    })
}
