//! What happens to a daemon: the input of [`crate::Node::step`].

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
use crate::list::List;
use crate::request::Request;

/// One event.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller sent a request; the driver keeps its body under `call`.
    Arrived {
        /// The caller's connection.
        call: CallId,
        /// What is asked.
        request: Request,
    },
    /// A caller presented a resume token.
    Resumed {
        /// The caller's connection.
        call: CallId,
        /// The customer that presents it.
        customer: String,
        /// Sealed token.
        token: String,
        /// Tokens the caller has already got.
        offset: u32,
    },
    /// A caller's connection closed before its answer was complete.
    Left {
        /// The caller's connection.
        call: CallId,
    },
    /// An order ended well.
    Answered {
        /// The order.
        order: OrderId,
        /// What the replica said.
        reply: Reply,
    },
    /// A streaming order delivered something.
    Streamed {
        /// The order.
        order: OrderId,
        /// The piece.
        piece: Piece,
    },
    /// An order ended badly, or was aborted.
    Failed {
        /// The order.
        order: OrderId,
        /// How far it got.
        failure: Failure,
    },
    /// A replica answered `Action::Inspect`.
    Inspected {
        /// The replica.
        replica: Replica,
        /// When it was asked, as the action said.
        asked: Time,
        /// Its state; `None` if it did not answer in time.
        state: Option<Inspection>,
    },
    /// A peer's frame.
    Frame(Box<Frame>),
    /// The platform's list of instances and replicas.
    Listed(List),
    /// A copy of the platform's list in its own form, kept for peers that cannot read it.
    ListCopy(Bytes),
    /// The store answered `Action::Query`.
    Stored {
        /// The query.
        query: QueryId,
        /// What it said.
        outcome: Stored,
    },
    /// An operator's edit arrived.
    Edited {
        /// The operator's connection.
        call: CallId,
        /// The edit.
        edit: Edit,
    },
    /// Time passed.
    Tick,
    /// A planned stop was asked for.
    Stop,
}

/// How an order ended well.
#[derive(Debug, Clone)]
pub enum Reply {
    /// A prefill ended; tokens computed and tokens found in the prefix cache.
    Prefilled {
        /// Tokens computed.
        computed: u32,
        /// Tokens found in the cache.
        cached: u32,
        /// Start number of the engine.
        boot: u64,
    },
    /// A stream ended normally; its last piece was delivered before.
    StreamEnded,
    /// A cancel was carried out.
    Cancelled,
    /// A plain call was answered.
    Plain {
        /// HTTP status.
        status: u16,
        /// Body, bounded by the driver.
        body: Bytes,
    },
}

/// A piece of a stream.
#[derive(Debug, Clone)]
pub enum Piece {
    /// The KV cache has arrived; tokens follow.
    Imported,
    /// One or more tokens from `offset` on.
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
        /// Number of tokens in the whole answer.
        offset: u32,
    },
    /// Another reader took the stream over.
    Superseded,
}

/// How an order failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte can have reached the replica.
    NotSent,
    /// Bytes may have reached the replica; its effect is not known.
    Lost,
    /// The replica answered with this status and did not carry the order out.
    Refused {
        /// HTTP status.
        status: u16,
        /// The highest fencing number the replica has seen, if it told.
        fence: Option<u64>,
    },
}

/// What a replica says of itself.
#[derive(Debug, Clone)]
pub struct Inspection {
    /// Load and cache events.
    pub report: Report,
    /// Attempts it holds memory for.
    pub works: Vec<Held>,
}

/// One attempt that holds memory on a replica.
#[derive(Debug, Clone, Copy)]
pub struct Held {
    /// The attempt.
    pub handle: ident::Handle,
    /// Its present owner.
    pub owner: ident::Incarnation,
    /// The fencing number of that owner.
    pub fence: u64,
    /// Whether the work is over and only its text is kept for readers.
    pub done: bool,
}

/// How a query to the store ended.
#[derive(Debug, Clone)]
pub enum Stored {
    /// The generation and the time it took to ask, in milliseconds.
    Generation {
        /// Present generation.
        generation: u64,
    },
    /// The whole table.
    Table(Box<Table>),
    /// The commit took effect.
    Committed {
        /// Generation after the commit.
        generation: u64,
    },
    /// The same edit had been committed before.
    Repeated {
        /// Generation it made.
        generation: u64,
    },
    /// Another edit came first; lines that show both values.
    Conflict {
        /// One line a row.
        lines: Vec<String>,
    },
    /// Recorded outcomes were written.
    Recorded,
    /// Recorded outcome of a key: HTTP status and body, if one was found.
    Outcome(Option<Recorded>),
    /// The query did not reach the store, or its answer was lost.
    Failed {
        /// Whether it may have taken effect.
        maybe: bool,
        /// What went wrong, with step and peer.
        cause: String,
    },
}

/// A recorded outcome.
#[derive(Debug, Clone)]
pub struct Recorded {
    /// HTTP status of the back end.
    pub status: u16,
    /// Body, if it was small enough to record.
    pub body: Option<Bytes>,
}
