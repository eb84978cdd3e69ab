//! Connections of callers and operators.

use ident::Handle;
use node::action::Task;
use node::event::Event;
use node::ids::CallId;
use rand::RngExt;

use super::Simulation;
use super::sim_event::CallerEvent;
use super::sim_event::OperatorEvent;
use super::sim_event::SimEvent;

/// Client side of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Peer {
    /// A caller that sends a request.
    Caller(usize),
    /// A caller that presents a resume token.
    Reader(usize),
    /// An operator.
    Operator(usize),
}

/// State of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The last response has not been sent.
    Open,
    /// The last response was sent.
    Answered,
    /// The client closed it, or the daemon died.
    Closed,
    /// The daemon died, and responses in flight are lost.
    Dropped,
}

/// One connection.
#[derive(Debug, Clone, Copy)]
pub struct Conn {
    pub peer: Peer,
    pub daemon: usize,
    run: u32,
    /// Whether the daemon has received its first event.
    pub seen: bool,
    /// Whether a byte of the request has reached a replica.
    pub reached_replica: bool,
    /// The attempt named in the last response head.
    pub handle: Option<Handle>,
    /// Index of the next expected token.
    pub next: u32,
    pub state: State,
    /// Delay of each response, in microseconds.
    pub delay: u64,
}

impl Conn {
    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }
}

impl Simulation {
    /// Opens a connection to `daemon`, which must be running.
    pub(super) fn open_conn(&mut self, daemon: usize, peer: Peer, next: u32) -> CallId {
        self.counter += 1;
        let call = CallId(self.counter);
        let conn = Conn {
            peer,
            daemon,
            run: self.daemons[daemon].run,
            seen: false,
            reached_replica: false,
            handle: None,
            next,
            state: State::Open,
            delay: self.rng.random_range(500..3_000),
        };
        self.conns.insert(call, conn);
        call
    }

    /// Closes a connection from the client side.
    pub(super) fn close_conn(&mut self, call: CallId) {
        let Some(conn) = self.conns.get_mut(&call).filter(|conn| conn.is_open()) else {
            return;
        };
        conn.state = State::Closed;
        let (daemon, run) = (conn.daemon, conn.run);
        let event = Event::Disconnected { call };
        self.trace_line(|| format!("{call:?} at entry-{daemon} closes"));
        self.schedule_micros(500, SimEvent::DaemonEvent { daemon, run, event });
    }

    /// Returns the open connections of the current process of `daemon`.
    pub(super) fn open_conns(&self, daemon: usize) -> Vec<CallId> {
        let run = self.daemons[daemon].run;
        self.conns
            .iter()
            .filter(|(_, conn)| conn.daemon == daemon && conn.run == run && conn.is_open())
            .map(|(call, _)| *call)
            .collect()
    }

    pub(super) fn break_conns(&mut self, daemon: usize) {
        for call in self.open_conns(daemon) {
            let dropped = self.rng.random_bool(0.5);
            let Some(conn) = self.conns.get_mut(&call) else {
                continue;
            };
            conn.state = if dropped {
                State::Dropped
            } else {
                State::Closed
            };
            let event = match conn.peer {
                Peer::Caller(caller) | Peer::Reader(caller) => SimEvent::Caller {
                    caller,
                    event: CallerEvent::Disconnected { call: Some(call) },
                },
                Peer::Operator(operator) => SimEvent::Operator {
                    operator,
                    event: OperatorEvent::Disconnected,
                },
            };
            self.schedule_micros(4_000, event);
        }
    }

    /// Returns the connection and caller whose body `task` carries, if that connection is open.
    pub(super) fn origin_of(&self, task: &Task) -> Option<(CallId, usize)> {
        let (Task::Prefill { call, .. } | Task::Plain { call }) = task else {
            return None;
        };
        match self.conns.get(call).filter(|conn| conn.is_open())?.peer {
            Peer::Caller(caller) => Some((*call, caller)),
            Peer::Reader(_) | Peer::Operator(_) => None,
        }
    }

    /// Whether responses to `call` are lost on the way.
    pub(super) fn is_lost(&self, call: CallId) -> bool {
        self.conns
            .get(&call)
            .is_none_or(|conn| conn.state == State::Dropped)
    }
}
