//! Policies: the order of waiting requests and the choice of replicas.

pub mod affine;
pub mod baseline;
pub mod deadline;
pub mod oracle;
pub mod predicted;
pub mod reserved;

use std::collections::BTreeMap;
use std::time::Duration;

use ident::Time;
use ident::Zone;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::link::Links;
use crate::pool::Pool;
use crate::prefix_index::PrefixIndex;
use crate::server::ReplicaKey;
use crate::settings::Settings;
use crate::ticket::Ticket;
use crate::turnover::Turnover;

/// The properties of a request that a policy decides on.
#[derive(Debug, Clone, Copy)]
pub struct Criteria<'a> {
    /// The request's ticket.
    pub ticket: &'a Ticket,
    /// When its target for the first token ends.
    pub due: Time,
    /// When its maximum wait ends.
    pub expiry: Time,
    /// Shortest time to its first token in an idle pool.
    pub min_ttft: Duration,
    /// Where the KV cache is; before the prefill, the owner's data centre.
    pub source: Zone,
    /// The largest batch in which its target for the time between tokens is met.
    pub max_batch: u32,
    /// Weight of wasted prefill against goodput, from 0 to 1.
    pub waste_weight: f64,
}

/// The state of the pool that a policy reads.
#[derive(Debug)]
pub struct View<'a> {
    /// The current time.
    pub now: Time,
    pub(crate) pool: &'a Pool,
    pub(crate) prefix_index: &'a PrefixIndex,
    pub(crate) links: &'a Links,
    pub(crate) turnover: &'a Turnover,
    pub(crate) settings: &'a Settings,
    /// Placed requests that need another decode replica, as theirs was lost or full.
    pub(crate) displaced: u32,
    /// Prefill time that requests skipped in this pass will add to a replica.
    pub(crate) deferred_prefills: &'a mut BTreeMap<ReplicaKey, Duration>,
    /// A decode replica reserved for a request that was skipped in this pass.
    pub(crate) reserved_decode: Option<ReplicaKey>,
    pub(crate) sequence: u64,
    pub(crate) random: &'a mut Pcg64Mcg,
}

impl View<'_> {
    /// A random number below `bound`, or zero if `bound` is zero.
    pub(crate) fn random_below(&mut self, bound: usize) -> usize {
        match bound {
            0 => 0,
            _ => (self.random.next_u64() % bound as u64) as usize,
        }
    }

    /// Prefix blocks that `key` is expected to cache.
    pub(crate) fn cached_blocks(&self, key: ReplicaKey, ticket: &Ticket) -> f64 {
        self.prefix_index.expected(key, ticket.blocks())
    }

    /// Expected prefill time on `key`, which caches `cached` blocks.
    pub(crate) fn prefill_time(&self, key: ReplicaKey, ticket: &Ticket, cached: f64) -> Duration {
        let blocks = ticket.blocks().len().max(1) as f64;
        let share = 1.0 - (cached / blocks).min(1.0);
        let tokens = (f64::from(ticket.prompt_tokens()) * share).max(1.0);
        Duration::from_secs_f64(tokens / self.pool.get(key).rate.value().max(1.0))
    }

    /// When `key` can start another prefill.
    pub(crate) fn ready_at(&self, key: ReplicaKey) -> Time {
        let deferred_prefills = self
            .deferred_prefills
            .get(&key)
            .copied()
            .unwrap_or_default();
        self.pool.get(key).ready().max(self.now) + deferred_prefills
    }

    /// The latest time at which a replica that gets work now may become ready.
    pub(crate) fn horizon(&self) -> Time {
        self.now + self.settings.prefill_lead
    }
}

/// A pair of replicas with the estimates behind the choice.
#[derive(Debug, Clone, Copy)]
pub struct Pair {
    /// The prefill replica.
    pub prefill: ReplicaKey,
    /// The decode replica.
    pub decode: ReplicaKey,
    /// Expected time of the prefill alone.
    pub prefill_time: Duration,
    /// When the first token is expected.
    pub first_token: Time,
    /// Prefix blocks expected in the prefill replica's cache.
    pub cached: f64,
    /// Number of pairs compared.
    pub candidates: u32,
}

/// Why a request has to wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitReason {
    /// No prefill replica is ready, or a better one will be soon; other requests may go first.
    Replica,
    /// No decode slot is or will be free; no request may go first.
    Slot,
    /// No decode replica has a small enough batch; the named one is reserved for this request.
    Batch(ReplicaKey),
}

/// How the shares of rows are enforced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fairness {
    /// The row that received least relative to its share goes first.
    Stride,
    /// Requests are ordered by slack; a row far ahead of its share goes last.
    Window,
}

/// Which decode slots count as secured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SecuredSlots {
    /// None are needed: every request is placed at once.
    Nothing,
    /// Slots that are free now.
    Free,
    /// Also slots that the learned turnover frees in time.
    Learned,
    /// Also slots that known lengths free in time.
    Known,
}

/// Rules for the order and placement of requests.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Name in result tables.
    pub name: &'static str,
    /// Sort key of a waiting request; the smallest goes first.
    pub order: fn(&Criteria<'_>) -> Time,
    /// Chooses a pair, or returns why the request has to wait.
    pub pair: fn(&mut View<'_>, &Criteria<'_>) -> Result<Pair, WaitReason>,
    /// Chooses another decode replica for a finished prefill.
    pub decode: fn(&mut View<'_>, &Criteria<'_>) -> Option<ReplicaKey>,
    /// Chooses a replica for a plain call.
    pub single: fn(&mut View<'_>, &Criteria<'_>) -> Option<ReplicaKey>,
    /// Which decode slots count as secured.
    pub secured: SecuredSlots,
    /// How the shares of rows are enforced.
    pub fair: Fairness,
    /// Waiting requests to try when the first cannot be placed.
    pub scan_limit: usize,
    /// Whether a late request is refused as soon as the late ones before it take too long.
    pub refuse_early: bool,
}
