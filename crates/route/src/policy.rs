//! What varies between policies: the order of waiting requests and the choice of replicas.

pub mod least_loaded;
pub mod reserved;
pub mod round_robin;
pub mod two_choices;

use std::time::Duration;

use ident::Time;
use ident::Zone;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::cache::Cache;
use crate::link::Links;
use crate::server::Key;
use crate::server::Pool;
use crate::ticket::Ticket;

/// One request to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// The request.
    pub ticket: &'a Ticket,
    /// When its target for the first token ends.
    pub due: Time,
    /// When its longest wait ends.
    pub expiry: Time,
    /// The shortest time to its first token on an idle cell.
    pub fastest: Duration,
    /// Where the KV cache is; the owner's data centre before the prefill.
    pub source: Zone,
}

/// What a policy sees of the cell.
#[derive(Debug)]
pub struct View<'a> {
    /// The present.
    pub now: Time,
    pub(crate) pool: &'a Pool,
    pub(crate) cache: &'a Cache,
    pub(crate) links: &'a Links,
    pub(crate) lead: Duration,
    pub(crate) turn: u64,
    pub(crate) random: &'a mut Pcg64Mcg,
}

impl View<'_> {
    /// A random number below `bound`; zero if `bound` is zero.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        match bound {
            0 => 0,
            _ => (self.random.next_u64() % bound as u64) as usize,
        }
    }

    /// Prefix blocks that `key` is expected to hold.
    pub(crate) fn cached(&self, key: Key, ticket: &Ticket) -> f64 {
        self.cache.expected(key, ticket.blocks())
    }

    /// Expected time of the prefill on `key`.
    pub(crate) fn span(&self, key: Key, ticket: &Ticket) -> Duration {
        let blocks = ticket.blocks().len().max(1) as f64;
        let share = 1.0 - (self.cached(key, ticket) / blocks).min(1.0);
        let tokens = (f64::from(ticket.prompt_tokens()) * share).max(1.0);
        Duration::from_secs_f64(tokens / self.pool.get(key).rate.value().max(1.0))
    }
}

/// A pair that a policy chose, with the figures behind it.
#[derive(Debug, Clone, Copy)]
pub struct Pair {
    /// Runs the prefill.
    pub prefill: Key,
    /// Decodes.
    pub decode: Key,
    /// Expected time of the prefill alone.
    pub span: Duration,
    /// When the first token is expected.
    pub first: Time,
    /// Prefix blocks expected in the prefill replica's cache.
    pub cached: f64,
    /// Pairs compared.
    pub candidates: u32,
}

/// A policy.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Name in tables of measurements.
    pub name: &'static str,
    /// Order key of a waiting request; the least goes first.
    pub order: fn(&Ask<'_>) -> Time,
    /// Chooses a pair, or none while the request has to wait.
    pub pair: fn(&mut View<'_>, &Ask<'_>) -> Option<Pair>,
    /// Chooses another decode replica for a finished prefill.
    pub decode: fn(&mut View<'_>, &Ask<'_>) -> Option<Key>,
    /// Chooses a replica for a plain call.
    pub single: fn(&mut View<'_>, &Ask<'_>) -> Option<Key>,
    /// Whether slots are claimed before work is placed; without, all is placed at once.
    pub secured: bool,
}
