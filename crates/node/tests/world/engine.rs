//! Stand-ins for model engines and plain applications.

use std::collections::BTreeMap;
use std::time::Duration;

use ident::Handle;
use ident::Incarnation;
use ident::Replica;
use ident::Time;
use node::event::Failure;
use node::event::HeldAttempt;
use node::event::Inspection;
use node::ids::OrderId;
use route::replica::Report;
use route::replica::Role;

/// How long an engine keeps a finished prefill.
pub const RESULT_LIFE: Duration = Duration::from_millis(800);
/// How long a finished stream stays readable.
pub const READABLE: Duration = Duration::from_secs(30);
/// How long a cancelled handle is refused.
const CANCELLED: Duration = Duration::from_mins(1);
const HTTP_CONFLICT: u16 = 409;

/// An order as it is known outside of its daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// The daemon.
    pub host: usize,
    /// Its process, by number.
    pub run: u32,
    /// The order.
    pub order: OrderId,
}

/// Where a work is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Prefill in progress.
    Prefill,
    /// Finished prefill.
    Kept,
    /// Import of the KV cache.
    Import,
    /// In the batch.
    Decode,
    /// Over; its text is kept.
    Done,
}

/// One attempt that an engine works on.
#[derive(Debug, Clone)]
pub struct Work {
    pub owner: Incarnation,
    pub fence: u64,
    pub phase: Phase,
    /// Whose request it is.
    pub caller: usize,
    pub reader: Option<Ticket>,
    /// Next token for the reader.
    pub next: u32,
    /// Tokens made so far.
    pub produced: u32,
    /// Tokens of the whole answer.
    pub length: u32,
}

#[derive(Debug, Default, Clone, Copy)]
struct Past {
    fence: u64,
    cancelled: Option<Time>,
}

/// A replica.
#[derive(Debug)]
pub struct Engine {
    pub name: String,
    pub replica: Replica,
    pub pool: String,
    pub role: Role,
    pub slots: u32,
    /// Whether it refuses old fencing numbers.
    pub fences: bool,
    pub boot: u64,
    pub works: BTreeMap<Handle, Work>,
    past: BTreeMap<Handle, Past>,
    /// Calls of a plain application in progress.
    pub calls: u32,
    /// Until when it does nothing.
    pub stalled: Time,
    /// Until when its answers are lost.
    pub loses: Time,
    /// Until when it refuses new work.
    pub refuses: Time,
    /// Since when it is known to be marked to drain.
    pub drained: Option<Time>,
}

impl Engine {
    /// A replica of `pool`.
    pub fn new(name: &str, pool: &str, role: Role, slots: u32, fences: bool) -> Self {
        Self {
            name: name.to_owned(),
            replica: Replica::new(name),
            pool: pool.to_owned(),
            role,
            slots,
            fences,
            boot: 1,
            works: BTreeMap::new(),
            past: BTreeMap::new(),
            calls: 0,
            stalled: Time::ZERO,
            loses: Time::ZERO,
            refuses: Time::ZERO,
            drained: None,
        }
    }

    /// Notes an order and refuses it if its fencing number is too low.
    pub fn admit(&mut self, handle: Handle, fence: u64) -> Result<(), Failure> {
        let past = self.past.entry(handle).or_default();
        if self.fences && fence < past.fence {
            return Err(refused(HTTP_CONFLICT, Some(past.fence)));
        }
        past.fence = past.fence.max(fence);
        Ok(())
    }

    /// Notes an order that brings work; a cancelled handle is refused whatever its number.
    pub fn admit_work(&mut self, now: Time, handle: Handle, fence: u64) -> Result<(), Failure> {
        let cancelled = self.past.get(&handle).and_then(|past| past.cancelled);
        match cancelled {
            Some(at) if now < at + CANCELLED => Err(refused(HTTP_CONFLICT, None)),
            _ => self.admit(handle, fence),
        }
    }

    /// Releases all that `handle` holds; returns its reader.
    pub fn cancel(&mut self, now: Time, handle: Handle) -> Option<Ticket> {
        self.past.entry(handle).or_default().cancelled = Some(now);
        self.works.remove(&handle).and_then(|work| work.reader)
    }

    /// Requests that hold a decode slot.
    pub fn taken(&self) -> u32 {
        let holds = |work: &&Work| matches!(work.phase, Phase::Import | Phase::Decode);
        self.works.values().filter(holds).count() as u32
    }

    /// Requests that hold memory.
    pub fn held(&self) -> u32 {
        let holds = |work: &&Work| work.phase != Phase::Done;
        self.works.values().filter(holds).count() as u32
    }

    /// Starts anew with empty memory; returns the readers that are cut off.
    pub fn reboot(&mut self) -> Vec<Ticket> {
        self.boot += 1;
        self.past.clear();
        self.calls = 0;
        let works = std::mem::take(&mut self.works);
        works.into_values().filter_map(|work| work.reader).collect()
    }

    /// What it says of itself.
    pub fn inspect(&self) -> Inspection {
        let running = if self.role == Role::Plain {
            self.calls
        } else {
            self.taken()
        };
        let report = Report {
            age: Duration::ZERO,
            boot: self.boot,
            running,
            waiting: 0,
            queued_tokens: 0,
            works: self.held(),
            events: Vec::new(),
        };
        let works = self.works.iter().map(|(handle, work)| HeldAttempt {
            handle: *handle,
            owner: work.owner,
            fence: work.fence,
            done: work.phase == Phase::Done,
        });
        Inspection {
            report,
            works: works.collect(),
        }
    }
}

/// A refusal with `status`.
pub const fn refused(status: u16, fence: Option<u64>) -> Failure {
    Failure::Refused { status, fence }
}
