//! Events of the simulation.

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

/// A scheduled event.
#[derive(Debug)]
pub enum SimEvent {
    /// The requested wake of a daemon.
    Wake { daemon: usize, run: u32 },
    /// An event reaches a daemon.
    DaemonEvent {
        daemon: usize,
        run: u32,
        event: Event,
    },
    /// An event of an order reaches its daemon; the order ends if `last` is set.
    Reply {
        ticket: Ticket,
        event: Event,
        last: bool,
    },
    /// An order reaches a replica.
    Order(Box<ArrivingOrder>),
    /// The next phase or tokens of a work at an engine are due.
    WorkStep {
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
        query: QueryId,
        request: StoreRequest,
    },
    /// An inspection reaches a replica.
    Inspect {
        daemon: usize,
        run: u32,
        replica: Replica,
        asked: Time,
    },
    /// An event reaches a caller.
    Caller { caller: usize, event: CallerEvent },
    /// An event reaches an operator.
    Operator {
        operator: usize,
        event: OperatorEvent,
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
    /// Checks whether everything has settled.
    CheckSettled,
}

/// An event of an operator.
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
    /// Connection and caller whose body it carries.
    pub origin: Option<(CallId, usize)>,
}

/// An event of a caller.
#[derive(Debug)]
pub enum CallerEvent {
    /// Makes the first attempt or a retry.
    Try,
    /// Opens a second connection.
    OpenSecond,
    /// Drops its connection and retries later.
    Drop,
    /// Abandons its request.
    Abandon,
    /// A connection reaches a daemon.
    Connect {
        daemon: usize,
        resume: Option<String>,
    },
    /// A response arrives.
    Received {
        call: CallId,
        message: CallerMessage,
    },
    /// A connection broke or could not be opened.
    Disconnected { call: Option<CallId> },
}
