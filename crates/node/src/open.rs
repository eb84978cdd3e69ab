//! A request that has no final answer yet.

use std::time::Duration;

use bytes::Bytes;
use ident::Handle;
use ident::Instance;
use ident::Key;
use ident::Pool;
use ident::Replica;
use ident::Time;
use ledger::holds::HoldKey;
use ledger::ids::CallId;
use ledger::ids::OrderId;
use ledger::reassembly::Reassembler;
use ledger::stage::Stage;
use route::phase::Phase;
use route::ticket::Ticket;
use slotmap::new_key_type;
use table::row::Row;

use crate::action::Action;
use crate::event::Failure;
use crate::event::Piece;

new_key_type! {
    /// An open request in its arena.
    pub struct OpenKey;
}

/// How long a stream goes on without its caller, who may come back with the resume token.
const CALLER_GRACE: Duration = Duration::from_secs(3);

/// Latency targets of a request's row.
#[derive(Debug, Clone, Copy)]
pub struct Targets {
    /// Time to first token, in microseconds.
    pub ttft: u64,
    /// Time between tokens, in microseconds.
    pub tbt: u64,
}

impl Targets {
    /// The targets of `row`.
    pub fn new(row: &Row) -> Self {
        Self {
            ttft: u64::from(row.ttft_ms) * 1_000,
            tbt: u64::from(row.tbt_ms) * 1_000,
        }
    }

    /// Targets that every request meets.
    pub const fn none() -> Self {
        Self {
            ttft: u64::MAX,
            tbt: u64::MAX,
        }
    }
}

/// What arrived of a stream while it was withheld.
#[derive(Debug, Clone)]
pub enum Withheld {
    /// A piece.
    Piece(OrderId, Piece),
    /// The end of the order.
    End(OrderId, Failure),
}

/// How far a request may have got towards a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// No byte of it left this daemon.
    Untouched,
    /// Its first order is on its way.
    Sent,
    /// A byte of it may have reached a replica.
    Touched,
}

/// Where a placed request runs.
#[derive(Debug, Clone, Copy)]
pub struct Place {
    /// The prefill replica; `None` for plain calls and streams taken over.
    pub prefill: Option<Replica>,
    /// The decode replica, or the replica of the plain call.
    pub run: Replica,
}

/// Another instance that asked what became of a request.
#[derive(Debug, Clone, Copy)]
pub struct Asker {
    /// The instance.
    pub instance: Instance,
    /// Its question.
    pub nonce: u64,
}

/// Points on the clock that the figures are made from.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    /// Arrival here.
    pub arrived: Time,
    /// Last order sent, or last piece of a stream.
    pub progress: Time,
    /// Last submission to the keeper.
    pub submitted: Time,
    /// First token told to the caller.
    pub first: Option<Time>,
    /// Last token told to the caller.
    pub last: Option<Time>,
    /// When the caller's connection closed.
    pub left: Option<Time>,
}

impl Times {
    /// The points of a request that arrives at `now`.
    pub const fn new(now: Time) -> Self {
        Self {
            arrived: now,
            progress: now,
            submitted: now,
            first: None,
            last: None,
            left: None,
        }
    }
}

/// One open request.
#[derive(Debug)]
pub struct Open {
    /// The caller's present connection.
    pub call: Option<CallId>,
    /// The connection under which the driver keeps the prompt or the plain call; `None` for a
    /// stream taken over.
    pub origin: Option<CallId>,
    /// Its idempotency key.
    pub key: Option<Key>,
    /// Its customer.
    pub customer: String,
    /// Its pool.
    pub pool: Pool,
    /// Whether it may be sent again after it was sent.
    pub repeatable: bool,
    /// Where it is.
    pub stage: Stage,
    /// What the keeper was told of it; its handle is the present attempt.
    pub ticket: Ticket,
    /// Where it runs.
    pub place: Option<Place>,
    /// The last phase told to the keeper.
    pub phase: Option<Phase>,
    /// The order that starts or streams its present work.
    pub order: Option<OrderId>,
    /// Its memory on the prefill replica.
    pub prefill_hold: Option<HoldKey>,
    /// Its memory on the decode replica.
    pub decode_hold: Option<HoldKey>,
    /// Fencing number of this owner.
    pub fence: u64,
    /// Tokens in order.
    pub sequence: Reassembler,
    /// How far it may have got.
    pub reach: Reach,
    /// When its present attempt began to wait.
    pub queued: Time,
    /// How long an attempt may wait without a decision of the keeper.
    pub patience: Duration,
    /// Whether the head of its stream was told to the present connection.
    pub headed: bool,
    /// Pieces withheld until the stream is verified; `None` if it needs no verification.
    pub withheld: Option<Vec<Withheld>>,
    /// Attach orders that failed in a row.
    pub attach_tries: u32,
    /// When the stream is read again after a failure.
    pub attach_at: Option<Time>,
    /// Prompt tokens computed by the present attempt and not yet used.
    pub computed: u32,
    /// Priority of its row, 0 first.
    pub priority: u8,
    /// Targets of its row.
    pub targets: Targets,
    /// Clock points.
    pub times: Times,
    /// Instances that asked for it.
    pub askers: Vec<Asker>,
}

impl Open {
    /// A request that waits for its first attempt: repeatable, without key, targets or prompt.
    pub fn new(call: CallId, customer: &str, pool: Pool, ticket: Ticket, now: Time) -> Self {
        Self {
            call: Some(call),
            origin: None,
            key: None,
            customer: customer.to_owned(),
            pool,
            repeatable: true,
            stage: Stage::Waiting,
            ticket,
            place: None,
            phase: None,
            order: None,
            prefill_hold: None,
            decode_hold: None,
            fence: 0,
            sequence: Reassembler::new(0),
            reach: Reach::Untouched,
            queued: now,
            patience: Duration::ZERO,
            headed: false,
            withheld: None,
            attach_tries: 0,
            attach_at: None,
            computed: 0,
            priority: 0,
            targets: Targets::none(),
            times: Times::new(now),
            askers: Vec::new(),
        }
    }

    /// The present attempt.
    pub const fn handle(&self) -> Handle {
        self.ticket.handle
    }

    /// Notes that an order goes out.
    pub fn dispatch(&mut self, now: Time) {
        self.times.progress = now;
        if self.reach == Reach::Untouched {
            self.reach = Reach::Sent;
        }
    }

    /// Notes how an order ended; `unsent` if no byte of it can have left.
    pub fn landed(&mut self, unsent: bool) {
        self.reach = match self.reach {
            Reach::Untouched | Reach::Sent if unsent => Reach::Untouched,
            _ => Reach::Touched,
        };
    }

    /// Whether a byte of it may have reached a replica.
    pub fn is_touched(&self) -> bool {
        self.reach != Reach::Untouched
    }

    /// Moves to `next`; a transition that no request may make is a fault, and is not made.
    pub fn enter(&mut self, next: Stage, out: &mut Vec<Action>) {
        match self.stage.advance(next, self.ticket.handle) {
            Ok(stage) => self.stage = stage,
            Err(error) => out.push(Action::Fault {
                cause: error.to_string(),
            }),
        }
    }

    /// The name used in log lines: the key, or the handle if there is no key.
    pub fn label(&self) -> String {
        match &self.key {
            Some(key) => key.to_string(),
            None => format!("{}/{}", self.customer, self.handle()),
        }
    }

    /// Whether its key names its runner, so that other instances know where to ask.
    pub fn is_keyed(&self) -> bool {
        self.key.as_ref().and_then(Key::prefix).is_some()
    }

    /// Whether its caller went away and did not come back in time; a plain call runs on.
    pub fn is_left(&self, now: Time) -> bool {
        let since = self.times.left.filter(|_| self.call.is_none());
        since.is_some_and(|left| now >= left + CALLER_GRACE) && self.stage != Stage::Call
    }

    /// Whether it is a language-model request.
    pub const fn is_model(&self) -> bool {
        matches!(self.ticket.work, route::ticket::Work::Model { .. })
    }
}

/// An answer that is told to askers and kept for repeats.
#[derive(Debug, Clone)]
pub enum End {
    /// A plain answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Bytes,
    },
    /// A stream, complete.
    Streamed {
        /// Tokens in the whole answer.
        tokens: u32,
    },
    /// A newer connection or another instance reads the stream.
    Superseded,
    /// No answer.
    Refused(crate::action::Refusal),
}
