//! Connections of callers and operators.

use ident::Handle;
use node::action::Task;
use node::event::Event;
use node::ids::CallId;
use rand::RngExt;

use super::World;
use super::item::Item;
use super::item::Note;
use super::item::Verdict;

/// Who is at the other end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Peer {
    /// A caller with a request.
    Caller(usize),
    /// A caller with a resume token.
    Reader(usize),
    /// An operator.
    Operator(usize),
}

/// Where a connection is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It has no last answer.
    Open,
    /// Its last answer was told.
    Answered,
    /// It was closed from outside, or its daemon died.
    Closed,
    /// Its daemon died, and what was under way is lost.
    Dropped,
}

/// One connection.
#[derive(Debug, Clone, Copy)]
pub struct Conn {
    pub peer: Peer,
    pub host: usize,
    run: u32,
    /// Whether its daemon has seen it.
    pub seen: bool,
    /// Whether a byte of its request has reached a replica.
    pub touched: bool,
    /// The attempt whose head it was last told.
    pub handle: Option<Handle>,
    /// Index of the token that is due next.
    pub next: u32,
    pub state: State,
    /// Time that each answer takes, in microseconds.
    pub delay: u64,
}

impl Conn {
    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }
}

impl World {
    /// Opens a connection to `host`, whose process must be there.
    pub(super) fn open_conn(&mut self, host: usize, peer: Peer, next: u32) -> CallId {
        self.counter += 1;
        let call = CallId(self.counter);
        let conn = Conn {
            peer,
            host,
            run: self.hosts[host].run,
            seen: false,
            touched: false,
            handle: None,
            next,
            state: State::Open,
            delay: self.rng.random_range(500..3_000),
        };
        self.conns.insert(call, conn);
        call
    }

    /// Closes a connection from outside.
    pub(super) fn close_conn(&mut self, call: CallId) {
        let Some(conn) = self.conns.get_mut(&call).filter(|conn| conn.is_open()) else {
            return;
        };
        conn.state = State::Closed;
        let (host, run) = (conn.host, conn.run);
        let event = Event::Disconnected { call };
        self.note(|| format!("{call:?} at entry-{host} closes"));
        self.after_micros(500, Item::Event { host, run, event });
    }

    /// Connections of the present process of `host` that have no last answer.
    pub(super) fn open_conns(&self, host: usize) -> Vec<CallId> {
        let run = self.hosts[host].run;
        self.conns
            .iter()
            .filter(|(_, conn)| conn.host == host && conn.run == run && conn.is_open())
            .map(|(call, _)| *call)
            .collect()
    }

    pub(super) fn break_conns(&mut self, host: usize) {
        for call in self.open_conns(host) {
            let dropped = self.rng.random_bool(0.5);
            let Some(conn) = self.conns.get_mut(&call) else {
                continue;
            };
            conn.state = if dropped {
                State::Dropped
            } else {
                State::Closed
            };
            let item = match conn.peer {
                Peer::Caller(caller) | Peer::Reader(caller) => Item::Caller {
                    caller,
                    note: Note::Broken { call: Some(call) },
                },
                Peer::Operator(operator) => Item::Operator {
                    operator,
                    verdict: Verdict::Broken,
                },
            };
            self.after_micros(4_000, item);
        }
    }

    /// Whose body an order carries, and under which connection, if the daemon still keeps it.
    pub(super) fn origin_of(&self, task: &Task) -> Option<(CallId, usize)> {
        let (Task::Prefill { call, .. } | Task::Plain { call }) = task else {
            return None;
        };
        match self.conns.get(call).filter(|conn| conn.is_open())?.peer {
            Peer::Caller(caller) => Some((*call, caller)),
            Peer::Reader(_) | Peer::Operator(_) => None,
        }
    }

    /// Whether something told to `call` reaches its caller.
    pub(super) fn is_lost(&self, call: CallId) -> bool {
        self.conns
            .get(&call)
            .is_none_or(|conn| conn.state == State::Dropped)
    }
}
