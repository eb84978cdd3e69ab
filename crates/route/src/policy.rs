//! What varies between policies: the order of waiting requests and the choice of replicas.

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

use crate::cache::Cache;
use crate::link::Links;
use crate::pool::Pool;
use crate::server::Key;
use crate::settings::Settings;
use crate::ticket::Ticket;
use crate::turnover::Turnover;

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
    /// The largest batch in which it meets its target for the time between tokens.
    pub limit: u32,
    /// How strongly wasted prefill weighs against goodput, from 0 to 1.
    pub thrift: f64,
}

/// What a policy sees of the cell.
#[derive(Debug)]
pub struct View<'a> {
    /// The present.
    pub now: Time,
    pub(crate) pool: &'a Pool,
    pub(crate) cache: &'a Cache,
    pub(crate) links: &'a Links,
    pub(crate) turnover: &'a Turnover,
    pub(crate) settings: &'a Settings,
    /// Placed requests whose decode replica was lost or full and is still to be found anew.
    pub(crate) stranded: u32,
    /// Prefills that requests passed over in this pass will bring to a replica.
    pub(crate) promised: &'a mut BTreeMap<Key, Duration>,
    /// A decode replica kept for a request that was passed over in this pass.
    pub(crate) kept: Option<Key>,
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

    /// Expected time of the prefill on `key`, of which `cached` blocks are cached there.
    pub(crate) fn span(&self, key: Key, ticket: &Ticket, cached: f64) -> Duration {
        let blocks = ticket.blocks().len().max(1) as f64;
        let share = 1.0 - (cached / blocks).min(1.0);
        let tokens = (f64::from(ticket.prompt_tokens()) * share).max(1.0);
        Duration::from_secs_f64(tokens / self.pool.get(key).rate.value().max(1.0))
    }

    /// When `key` can start another prefill.
    pub(crate) fn ready(&self, key: Key) -> Time {
        let promised = self.promised.get(&key).copied().unwrap_or_default();
        self.pool.get(key).ready().max(self.now) + promised
    }

    /// The latest time at which a replica may be ready that is given work now.
    pub(crate) fn horizon(&self) -> Time {
        self.now + self.settings.prefill_lead
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

/// Why a request has to wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// No prefill replica is ready, or a better one will be soon: others may go first.
    Replica,
    /// No decode slot is or will be free: nobody may go first.
    Slot,
    /// No decode replica with a small enough batch; the named one is kept for this request.
    Batch(Key),
}

/// How the shares of rows are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fair {
    /// The row that has had least for its share goes first.
    Stride,
    /// Rows go by slack; one that is far ahead of its share goes last.
    Window,
}

/// Which decode slots count as secured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Secured {
    /// None are needed: all is placed at once.
    Nothing,
    /// Those that are free now.
    Free,
    /// Also those that learned turnover makes free in time.
    Learned,
    /// Also those that known lengths make free in time.
    Known,
}

/// A policy.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Name in tables of measurements.
    pub name: &'static str,
    /// Order key of a waiting request; the least goes first.
    pub order: fn(&Ask<'_>) -> Time,
    /// Chooses a pair, or says why the request has to wait.
    pub pair: fn(&mut View<'_>, &Ask<'_>) -> Result<Pair, Wait>,
    /// Chooses another decode replica for a finished prefill.
    pub decode: fn(&mut View<'_>, &Ask<'_>) -> Option<Key>,
    /// Chooses a replica for a plain call.
    pub single: fn(&mut View<'_>, &Ask<'_>) -> Option<Key>,
    /// Which decode slots count as secured.
    pub secured: Secured,
    /// How the shares of rows are kept.
    pub fair: Fair,
    /// Waiting requests that are considered when the first cannot go.
    pub scan: usize,
    /// Whether late requests are refused as soon as the late ones before them take too long.
    pub foresight: bool,
}
