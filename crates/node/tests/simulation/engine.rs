//! Simulated engines and plain backend servers.

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

/// Time for which an engine keeps a finished prefill.
pub const RESULT_RETENTION: Duration = Duration::from_millis(800);
/// Time for which a finished stream stays readable.
pub const STREAM_RETENTION: Duration = Duration::from_secs(30);
/// Time for which an engine refuses a cancelled handle.
const CANCEL_RETENTION: Duration = Duration::from_mins(1);
const HTTP_CONFLICT: u16 = 409;

/// Identifies an order among all daemons and their processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// The daemon.
    pub daemon: usize,
    /// Number of its process.
    pub run: u32,
    /// The order.
    pub order: OrderId,
}

/// Stage of an attempt at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Prefill in progress.
    Prefill,
    /// Finished prefill.
    Kept,
    /// Import of the KV cache.
    Import,
    /// Decoding, as part of the batch.
    Decode,
    /// Finished; the text is kept.
    Done,
}

/// One attempt that an engine works on.
#[derive(Debug, Clone)]
pub struct Work {
    pub owner: Incarnation,
    pub fence: u64,
    pub phase: Phase,
    /// The caller of the request.
    pub caller: usize,
    pub reader: Option<Ticket>,
    /// Index of the next token for the reader.
    pub next: u32,
    /// Tokens generated so far.
    pub produced: u32,
    /// Length of the whole answer, in tokens.
    pub length: u32,
}

#[derive(Debug, Default, Clone, Copy)]
struct HandleHistory {
    fence: u64,
    cancelled: Option<Time>,
}

/// A replica: an engine, or a plain backend server.
#[derive(Debug)]
pub struct Engine {
    pub name: String,
    pub replica: Replica,
    pub pool: String,
    pub role: Role,
    pub slots: u32,
    /// Whether it refuses orders with an old fencing number.
    pub fences: bool,
    pub boot: u64,
    pub works: BTreeMap<Handle, Work>,
    history: BTreeMap<Handle, HandleHistory>,
    /// Plain calls in progress.
    pub calls: u32,
    /// End of the time in which it processes nothing.
    pub stalled_until: Time,
    /// End of the time in which its answers are lost.
    pub loses_answers_until: Time,
    /// End of the time in which it refuses new work.
    pub refuses_until: Time,
    /// When the acceptance of its drain reached an operator.
    pub drained_since: Option<Time>,
}

impl Engine {
    /// Creates an empty replica of `pool`.
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
            history: BTreeMap::new(),
            calls: 0,
            stalled_until: Time::ZERO,
            loses_answers_until: Time::ZERO,
            refuses_until: Time::ZERO,
            drained_since: None,
        }
    }

    /// Records the fencing number of an order, or refuses the order if the number is too low.
    pub fn admit(&mut self, handle: Handle, fence: u64) -> Result<(), Failure> {
        let history = self.history.entry(handle).or_default();
        if self.fences && fence < history.fence {
            return Err(refused(HTTP_CONFLICT, Some(history.fence)));
        }
        history.fence = history.fence.max(fence);
        Ok(())
    }

    /// Like [`Self::admit`], for new work; also refuses a cancelled handle, whatever the number.
    pub fn admit_work(&mut self, now: Time, handle: Handle, fence: u64) -> Result<(), Failure> {
        let cancelled = self
            .history
            .get(&handle)
            .and_then(|history| history.cancelled);
        match cancelled {
            Some(at) if now < at + CANCEL_RETENTION => Err(refused(HTTP_CONFLICT, None)),
            _ => self.admit(handle, fence),
        }
    }

    /// Releases the work of `handle` and returns its reader.
    pub fn cancel(&mut self, now: Time, handle: Handle) -> Option<Ticket> {
        self.history.entry(handle).or_default().cancelled = Some(now);
        self.works.remove(&handle).and_then(|work| work.reader)
    }

    /// Counts the requests that hold a decode slot.
    pub fn used_slots(&self) -> u32 {
        let holds = |work: &&Work| matches!(work.phase, Phase::Import | Phase::Decode);
        self.works.values().filter(holds).count() as u32
    }

    /// Counts the requests that hold memory.
    pub fn works_in_memory(&self) -> u32 {
        let holds = |work: &&Work| work.phase != Phase::Done;
        self.works.values().filter(holds).count() as u32
    }

    /// Restarts with empty memory and returns the readers whose streams are cut.
    pub fn reboot(&mut self) -> Vec<Ticket> {
        self.boot += 1;
        self.history.clear();
        self.calls = 0;
        let works = std::mem::take(&mut self.works);
        works.into_values().filter_map(|work| work.reader).collect()
    }

    /// Returns its report and the works that it holds.
    pub fn inspect(&self) -> Inspection {
        let running = if self.role == Role::Plain {
            self.calls
        } else {
            self.used_slots()
        };
        let report = Report {
            age: Duration::ZERO,
            boot: self.boot,
            running,
            waiting: 0,
            queued_tokens: 0,
            works: self.works_in_memory(),
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

/// Returns a refusal with `status`.
pub const fn refused(status: u16, fence: Option<u64>) -> Failure {
    Failure::Refused { status, fence }
}
