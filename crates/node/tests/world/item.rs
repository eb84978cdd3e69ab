//! What can happen in a world.

use ident::Handle;
use ident::Incarnation;
use ident::Replica;
use ident::Time;
use node::action::CallerMessage;
use node::action::StoreRequest;
use node::action::Task;
use node::event::Event;
use node::ids::CallId;
use node::ids::QueryId;

use super::engine::Ticket;

/// Something that is to happen.
#[derive(Debug)]
pub enum Item {
    /// A daemon wanted to be woken.
    Wake { host: usize, run: u32 },
    /// An event reaches a daemon.
    Event { host: usize, run: u32, event: Event },
    /// An event of an order reaches its daemon; `last` ends the order.
    Reply {
        ticket: Ticket,
        event: Event,
        last: bool,
    },
    /// An order reaches a replica.
    Order(Box<Arriving>),
    /// A work on an engine goes on.
    Work {
        engine: usize,
        boot: u64,
        handle: Handle,
    },
    /// A plain call ends.
    Plain {
        engine: usize,
        boot: u64,
        ticket: Ticket,
        caller: usize,
    },
    /// A query reaches the store.
    Query {
        host: usize,
        run: u32,
        query: QueryId,
        ask: StoreRequest,
    },
    /// A replica is asked for its state.
    Inspect {
        host: usize,
        run: u32,
        replica: Replica,
        asked: Time,
    },
    /// Something reaches a caller.
    Caller { caller: usize, note: Note },
    /// Something reaches an operator.
    Operator { operator: usize, verdict: Verdict },
    /// An operator changes a row.
    Edit { host: usize, which: usize },
    /// A fault of the plan begins.
    Stroke(usize),
    /// A daemon starts.
    Start(usize),
    /// The platform's list reaches a daemon.
    List(usize),
    /// All faults end.
    Heal,
    /// Has everything settled?
    Look,
}

/// What an operator hears.
#[derive(Debug)]
pub enum Verdict {
    Begin,
    Said(node::action::Verdict),
    Broken,
}

/// An order on its way to a replica.
#[derive(Debug)]
pub struct Arriving {
    pub ticket: Ticket,
    pub engine: usize,
    pub handle: Handle,
    pub owner: Incarnation,
    pub fence: u64,
    pub task: Task,
    /// Whose body it carries, and under which connection.
    pub origin: Option<(CallId, usize)>,
}

/// What a caller notices.
#[derive(Debug)]
pub enum Note {
    /// It begins, or tries again.
    Try,
    /// It opens a second connection.
    Double,
    /// It drops its connection and comes back.
    Drop,
    /// It goes away for good.
    Vanish,
    /// Its connection reaches a daemon.
    Connect { host: usize, resume: Option<String> },
    /// Its connection said something.
    Told { call: CallId, tell: CallerMessage },
    /// Its connection broke, or was never made.
    Broken { call: Option<CallId> },
}
