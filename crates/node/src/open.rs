//! Open requests: those without a final answer.

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
    /// Identifies an open request.
    pub struct OpenId;
}

/// Time that a stream continues without its caller, who may reconnect with the resume token.
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
    /// Returns the targets of `row`.
    pub fn new(row: &Row) -> Self {
        Self {
            ttft: u64::from(row.ttft_ms) * 1_000,
            tbt: u64::from(row.tbt_ms) * 1_000,
        }
    }

    /// Returns targets that every request meets.
    pub const fn none() -> Self {
        Self {
            ttft: u64::MAX,
            tbt: u64::MAX,
        }
    }
}

/// Stream event that arrived while the stream was withheld.
#[derive(Debug, Clone)]
pub enum Withheld {
    /// A piece.
    Piece(OrderId, Piece),
    /// The failure of the order.
    End(OrderId, Failure),
}

/// Whether a request may have reached a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// No byte of it was sent.
    Unsent,
    /// Its first order is in flight.
    Sent,
    /// A byte of it may have reached a replica.
    MayHaveReached,
}

/// Replicas of a placed request.
#[derive(Debug, Clone, Copy)]
pub struct Placement {
    /// The prefill replica; `None` for plain calls and adopted streams.
    pub prefill: Option<Replica>,
    /// The decode replica, or the replica of a plain call.
    pub serving: Replica,
}

/// A peer that waits for the outcome of a request.
#[derive(Debug, Clone, Copy)]
pub struct WaitingPeer {
    /// The instance.
    pub instance: Instance,
    /// Nonce of its query.
    pub nonce: u64,
}

/// Timestamps for latency metrics and timeouts.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    /// Arrival at this daemon.
    pub arrived: Time,
    /// Last order or last piece of a stream.
    pub progress: Time,
    /// Last submission to the keeper.
    pub submitted: Time,
    /// First token sent to the caller.
    pub first: Option<Time>,
    /// Last token sent to the caller.
    pub last: Option<Time>,
    /// Close of the caller's connection.
    pub disconnected: Option<Time>,
}

impl Times {
    /// Returns the timestamps of a request that arrives at `now`.
    pub const fn new(now: Time) -> Self {
        Self {
            arrived: now,
            progress: now,
            submitted: now,
            first: None,
            last: None,
            disconnected: None,
        }
    }
}

/// State of an open request.
#[derive(Debug)]
pub struct OpenRequest {
    /// Current connection of the caller.
    pub call: Option<CallId>,
    /// Connection under which the driver stores the prompt or the plain call; `None` for an adopted
    /// stream.
    pub body_call: Option<CallId>,
    /// Idempotency key.
    pub key: Option<Key>,
    /// Customer of the request.
    pub customer: String,
    /// Pool of the request.
    pub pool: Pool,
    /// Whether it may be sent again after it reached a replica.
    pub repeatable: bool,
    /// Current stage.
    pub stage: Stage,
    /// Ticket submitted to the keeper; its handle is the current attempt.
    pub ticket: Ticket,
    /// Replicas assigned by the keeper.
    pub placement: Option<Placement>,
    /// Last phase reported to the keeper.
    pub phase: Option<Phase>,
    /// Order that starts or streams the current work.
    pub order: Option<OrderId>,
    /// Memory on the prefill replica.
    pub prefill_hold: Option<HoldKey>,
    /// Memory on the decode replica.
    pub decode_hold: Option<HoldKey>,
    /// Fencing number of this daemon as owner.
    pub fence: u64,
    /// Restores the order of tokens.
    pub reassembler: Reassembler,
    /// Whether it may have reached a replica.
    pub reach: Reach,
    /// Time at which the current attempt began to wait.
    pub queued_at: Time,
    /// Maximum wait of an attempt for a decision of the keeper.
    pub max_wait: Duration,
    /// Whether the head of the stream was sent on the current connection.
    pub head_sent: bool,
    /// Events withheld until the stream is verified; `None` if no verification is pending.
    pub withheld: Option<Vec<Withheld>>,
    /// Number of consecutive failed attach orders.
    pub attach_failures: u32,
    /// Time of the next attach order after a failure.
    pub reattach_at: Option<Time>,
    /// Prompt tokens computed by the current attempt and not used yet.
    pub computed: u32,
    /// Priority of the table row; 0 is the highest.
    pub priority: u8,
    /// Latency targets of the table row.
    pub targets: Targets,
    /// Timestamps of the request.
    pub times: Times,
    /// Peers that wait for its outcome.
    pub waiting_peers: Vec<WaitingPeer>,
}

impl OpenRequest {
    /// Creates a request that waits for its first attempt: repeatable, without key, targets or
    /// prompt.
    pub fn new(call: CallId, customer: &str, pool: Pool, ticket: Ticket, now: Time) -> Self {
        Self {
            call: Some(call),
            body_call: None,
            key: None,
            customer: customer.to_owned(),
            pool,
            repeatable: true,
            stage: Stage::Waiting,
            ticket,
            placement: None,
            phase: None,
            order: None,
            prefill_hold: None,
            decode_hold: None,
            fence: 0,
            reassembler: Reassembler::new(0),
            reach: Reach::Unsent,
            queued_at: now,
            max_wait: Duration::ZERO,
            head_sent: false,
            withheld: None,
            attach_failures: 0,
            reattach_at: None,
            computed: 0,
            priority: 0,
            targets: Targets::none(),
            times: Times::new(now),
            waiting_peers: Vec::new(),
        }
    }

    /// Returns the current attempt.
    pub const fn handle(&self) -> Handle {
        self.ticket.handle
    }

    /// Returns the most tokens of its whole answer; `None` for a plain call.
    pub const fn max_tokens(&self) -> Option<u32> {
        match self.ticket.work {
            route::ticket::Work::Model { max_tokens, .. } => Some(max_tokens),
            route::ticket::Work::Plain => None,
        }
    }

    /// Records that an order is sent.
    pub fn record_order_sent(&mut self, now: Time) {
        self.times.progress = now;
        if self.reach == Reach::Unsent {
            self.reach = Reach::Sent;
        }
    }

    /// Records that its replica brought it further.
    pub const fn record_progress(&mut self, now: Time) {
        self.times.progress = now;
        self.attach_failures = 0;
    }

    /// Records the end of an order; `unsent` if no byte of it reached the replica.
    pub fn record_order_end(&mut self, unsent: bool) {
        self.reach = match self.reach {
            Reach::Unsent | Reach::Sent if unsent => Reach::Unsent,
            _ => Reach::MayHaveReached,
        };
    }

    /// Returns whether a byte of it may have reached a replica.
    pub fn may_have_reached(&self) -> bool {
        self.reach != Reach::Unsent
    }

    /// Changes the stage to `next`; a forbidden transition is reported as a fault and not made.
    pub fn enter(&mut self, next: Stage, out: &mut Vec<Action>) {
        match self.stage.advance(next, self.ticket.handle) {
            Ok(stage) => self.stage = stage,
            Err(error) => out.push(Action::Fault {
                cause: error.to_string(),
            }),
        }
    }

    /// Returns the name for log lines: the key, or the customer and handle if there is no key.
    pub fn label(&self) -> String {
        match &self.key {
            Some(key) => key.to_string(),
            None => format!("{}/{}", self.customer, self.handle()),
        }
    }

    /// Returns whether its key names the runner, so that other instances can ask the runner about
    /// it.
    pub fn is_keyed(&self) -> bool {
        self.key.as_ref().and_then(Key::prefix).is_some()
    }

    /// Returns whether its caller disconnected and did not reconnect in time; plain calls continue.
    pub fn is_abandoned(&self, now: Time) -> bool {
        let since = self.times.disconnected.filter(|_| self.call.is_none());
        since.is_some_and(|left| now >= left + CALLER_GRACE) && self.stage != Stage::Call
    }

    /// Returns whether it is a language-model request.
    pub const fn is_model(&self) -> bool {
        matches!(self.ticket.work, route::ticket::Work::Model { .. })
    }
}

/// End of a request, for its caller, waiting peers and repeats of its key.
#[derive(Debug, Clone)]
pub enum End {
    /// A plain call was answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Bytes,
    },
    /// A stream is complete.
    Streamed {
        /// Number of tokens in the complete answer.
        tokens: u32,
    },
    /// A newer connection or another instance reads the stream.
    Superseded,
    /// The request was refused.
    Refused(crate::action::Refusal),
}
