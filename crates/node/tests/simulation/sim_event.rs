//! What can happen in a world.

use ident::Handle;
use ident::Incarnation;
use ident::Replica;
use ident::Time;
use node::action::Ask;
use node::action::Task;
use node::action::Tell;
use node::event::Event;
use node::ids::Call;
use node::ids::Query;

use super::engine::Ticket;

/// Something that is to happen.
#[derive(Debug)]
pub enum SimEvent {
    /// A daemon wanted to be woken.
    Wake { daemon: usize, run: u32 },
    /// An event reaches a daemon.
    DaemonEvent {
        daemon: usize,
        run: u32,
        event: Event,
    },
    /// An event of an order reaches its daemon; `last` ends the order.
    Reply {
        ticket: Ticket,
        event: Event,
        last: bool,
    },
    /// An order reaches a replica.
    Order(Box<ArrivingOrder>),
    /// A work on an engine goes on.
    AttemptStep {
        engine: usize,
        boot: u64,
        handle: Handle,
    },
    /// A plain call ends.
    PlainCallEnd {
        engine: usize,
        boot: u64,
        ticket: Ticket,
        caller: usize,
    },
    /// A query reaches the store.
    Query {
        daemon: usize,
        run: u32,
        query: Query,
        ask: Ask,
    },
    /// A replica is asked for its state.
    Inspect {
        daemon: usize,
        run: u32,
        replica: Replica,
        asked: Time,
    },
    /// Something reaches a caller.
    Caller { caller: usize, event: CallerEvent },
    /// Something reaches an operator.
    Operator {
        operator: usize,
        verdict: OperatorEvent,
    },
    /// An operator changes a row.
    Edit { daemon: usize, selector: usize },
    /// A fault of the plan begins.
    Fault(usize),
    /// A daemon starts.
    Start(usize),
    /// The platform's list reaches a daemon.
    List(usize),
    /// All faults end.
    EndFaults,
    /// Has everything settled?
    CheckSettled,
}

/// What an operator hears.
#[derive(Debug)]
pub enum OperatorEvent {
    Begin,
    Received(node::action::Verdict),
    Disconnected,
}

/// An order on its way to a replica.
#[derive(Debug)]
pub struct ArrivingOrder {
    pub ticket: Ticket,
    pub engine: usize,
    pub handle: Handle,
    pub owner: Incarnation,
    pub fence: u64,
    pub task: Task,
    /// Whose body it carries, and under which connection.
    pub origin: Option<(Call, usize)>,
}

/// What a caller notices.
#[derive(Debug)]
pub enum CallerEvent {
    /// It begins, or tries again.
    Try,
    /// It opens a second connection.
    OpenSecond,
    /// It drops its connection and comes back.
    Drop,
    /// It goes away for good.
    Abandon,
    /// Its connection reaches a daemon.
    Connect {
        daemon: usize,
        resume: Option<String>,
    },
    /// Its connection said something.
    Received { call: Call, tell: Tell },
    /// Its connection broke, or was never made.
    Disconnected { call: Option<Call> },
}
