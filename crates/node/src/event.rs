//! Events that the driver reports: the input of [`crate::Node::step`].

use bytes::Bytes;
use ident::Replica;
use ident::Time;
use route::replica::Report;
use table::Table;
use table::edit::Edit;
use wire::Frame;

use crate::ids::CallId;
use crate::ids::OrderId;
use crate::ids::QueryId;
use crate::list::PlatformList;
use crate::request::Request;

/// One event at a daemon.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller sent a request; the driver stores its body under `call`.
    Arrived {
        /// The caller's connection.
        call: CallId,
        /// The request without its body.
        request: Request,
    },
    /// A caller presented a resume token.
    Resumed {
        /// The caller's connection.
        call: CallId,
        /// Customer that presents the token.
        customer: String,
        /// Sealed resume token.
        token: String,
        /// Number of tokens that the caller already received.
        offset: u32,
    },
    /// A caller's connection closed before its answer was complete.
    Disconnected {
        /// The caller's connection.
        call: CallId,
    },
    /// An order succeeded.
    Answered {
        /// The order.
        order: OrderId,
        /// The replica's reply.
        reply: Reply,
    },
    /// A streaming order delivered a piece.
    Streamed {
        /// The order.
        order: OrderId,
        /// The piece.
        piece: Piece,
    },
    /// An order failed or was aborted.
    Failed {
        /// The order.
        order: OrderId,
        /// Kind of the failure.
        failure: Failure,
    },
    /// A replica answered `Action::Inspect`.
    Inspected {
        /// The replica.
        replica: Replica,
        /// Time of the request, copied from the action.
        asked: Time,
        /// State of the replica; `None` if it did not answer in time.
        state: Option<Inspection>,
    },
    /// A frame arrived from a peer.
    Frame(Box<Frame>),
    /// A list of instances and replicas arrived from the platform.
    Listed(PlatformList),
    /// The platform's list in its original encoding, stored for peers that cannot read it.
    ListCopy(Bytes),
    /// The store answered `Action::Query`.
    StoreReplied {
        /// Identifier of the request.
        query: QueryId,
        /// Result of the request.
        outcome: StoreReply,
    },
    /// An operator's edit arrived.
    Edited {
        /// The operator's connection.
        call: CallId,
        /// The edit.
        edit: Edit,
    },
    /// A timer is due.
    Tick,
    /// A planned stop was requested.
    Stop,
}

/// Reply to a successful order.
#[derive(Debug, Clone)]
pub enum Reply {
    /// A prefill is complete.
    Prefilled {
        /// Number of tokens computed.
        computed: u32,
        /// Number of tokens found in the prefix cache.
        cached: u32,
        /// Identifies the engine's process start.
        boot: u64,
    },
    /// A stream ended normally after its last piece.
    StreamEnded,
    /// The attempt was cancelled.
    Cancelled,
    /// A plain call was answered.
    Plain {
        /// HTTP status.
        status: u16,
        /// Body; the driver limits its length.
        body: Bytes,
    },
}

/// One item of a stream.
#[derive(Debug, Clone)]
pub enum Piece {
    /// The KV cache is imported; tokens follow.
    Imported,
    /// One or more consecutive tokens.
    Tokens {
        /// Index of the first token.
        offset: u32,
        /// Number of tokens.
        count: u32,
        /// Their text.
        text: Bytes,
    },
    /// The last token was delivered.
    End {
        /// Number of tokens in the complete answer.
        offset: u32,
    },
    /// Another reader took over the stream.
    Superseded,
}

/// Failure of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte reached the replica.
    NotSent,
    /// Bytes may have reached the replica; the effect is not known.
    Lost,
    /// The replica rejected the order.
    Refused {
        /// HTTP status.
        status: u16,
        /// Highest fencing number that the replica has seen, if reported.
        fence: Option<u64>,
    },
}

/// State that a replica reports.
#[derive(Debug, Clone)]
pub struct Inspection {
    /// Load and cache events.
    pub report: Report,
    /// Attempts that hold memory on it.
    pub works: Vec<HeldAttempt>,
}

/// One attempt that holds memory on a replica.
#[derive(Debug, Clone, Copy)]
pub struct HeldAttempt {
    /// The attempt.
    pub handle: ident::Handle,
    /// Current owner of the attempt.
    pub owner: ident::Incarnation,
    /// Fencing number of the owner.
    pub fence: u64,
    /// Whether the work is complete and only its text remains for readers.
    pub done: bool,
}

/// Result of a request to the store.
#[derive(Debug, Clone)]
pub enum StoreReply {
    /// The current generation.
    Generation {
        /// Generation of the table in the store.
        generation: u64,
    },
    /// The complete table.
    Table(Box<Table>),
    /// The commit took effect.
    Committed {
        /// Generation after the commit.
        generation: u64,
    },
    /// The same edit was committed before.
    Repeated {
        /// Generation that it created.
        generation: u64,
    },
    /// Another edit was committed first.
    Conflict {
        /// One line per row, with both values.
        lines: Vec<String>,
    },
    /// The outcomes were written.
    Recorded,
    /// Recorded outcome of a key, if one was found.
    Outcome(Option<RecordedOutcome>),
    /// The request did not reach the store, or its reply was lost.
    Failed {
        /// Whether it may have taken effect.
        maybe: bool,
        /// Error message with step and peer.
        cause: String,
    },
}

/// Outcome of a call that is not repeatable, read from the store or from a peer.
#[derive(Debug, Clone)]
pub struct RecordedOutcome {
    /// HTTP status of the replica's answer.
    pub status: u16,
    /// Body, if it was short enough to record.
    pub body: Option<Bytes>,
}
