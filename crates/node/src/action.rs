//! Actions that the driver carries out: the output of [`crate::Node::step`].

use bytes::Bytes;
use ident::Handle;
use ident::Incarnation;
use ident::Instance;
use ident::Replica;
use ident::Time;
use table::edit::Edit;
use wire::Frame;

use crate::decision::Decision;
use crate::ids::CallId;
use crate::ids::OrderId;
use crate::ids::QueryId;

/// One action of a daemon.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send an order to a replica.
    Order {
        /// Identifies the order in the events that answer it.
        order: OrderId,
        /// The replica.
        replica: Replica,
        /// The attempt.
        handle: Handle,
        /// Incarnation that owns the attempt.
        owner: Incarnation,
        /// Fencing number.
        fence: u64,
        /// Work to carry out.
        task: Task,
    },
    /// Close the connection of an order; `Event::Failed` with `Lost` follows unless it ended
    /// before.
    Abort {
        /// The order.
        order: OrderId,
    },
    /// Request the state of a replica and its cache events after the last one seen.
    Inspect {
        /// The replica.
        replica: Replica,
        /// Last cache event seen.
        after: u64,
        /// Time of the request; `Event::Inspected` repeats it.
        asked: Time,
    },
    /// Send a message to a caller.
    SendToCaller {
        /// The caller's connection.
        call: CallId,
        /// The message.
        message: CallerMessage,
    },
    /// Send a frame to a peer.
    Send {
        /// The peer.
        to: Instance,
        /// The frame.
        frame: Box<Frame>,
    },
    /// Use a peer's copy of the platform's list as if it came from the platform; `Event::Listed`
    /// follows.
    UseList(Bytes),
    /// Send a request to the store.
    Query {
        /// Identifies the request in `Event::StoreReplied`.
        query: QueryId,
        /// The request.
        request: StoreRequest,
    },
    /// Log a decision.
    Log(Decision),
    /// Log a fault of this daemon: a request was about to make a forbidden transition.
    Fault {
        /// The transition and the attempt.
        cause: String,
    },
    /// Record a value for the metrics.
    Count(Count),
    /// A planned stop was requested and nothing is in progress: the process may exit.
    Finished,
}

/// Work that an order requests from a replica.
#[derive(Debug, Clone)]
pub enum Task {
    /// Prefill the prompt stored under `call`, followed by the tokens already generated.
    Prefill {
        /// Connection under which the driver stores the prompt.
        call: CallId,
        /// Length of the prompt in tokens.
        prompt_tokens: u32,
        /// Maximum number of tokens to generate.
        max_tokens: u32,
        /// Tokens already delivered; the driver stores their text as well.
        done_tokens: u32,
        /// Priority of the table row; 0 is the highest.
        priority: u8,
        /// Prefix block hashes.
        blocks: Vec<u64>,
    },
    /// Import the KV cache from `source` and stream tokens from `offset`.
    Decode {
        /// The prefill replica.
        source: Replica,
        /// Maximum number of tokens to generate.
        max_tokens: u32,
        /// Index of the first token to send.
        offset: u32,
        /// Priority of the table row; 0 is the highest.
        priority: u8,
    },
    /// Read a running stream from `offset` in place of its present reader.
    Attach {
        /// Index of the first token to send.
        offset: u32,
    },
    /// Release all resources of the attempt.
    Cancel,
    /// Carry out the plain call stored under `call`.
    Plain {
        /// Connection under which the driver stores the call.
        call: CallId,
    },
}

/// Message to a caller.
#[derive(Debug, Clone)]
pub enum CallerMessage {
    /// Start of a streamed answer.
    Head {
        /// The attempt.
        handle: Handle,
        /// Sealed resume token.
        token: String,
    },
    /// Tokens of a streamed answer, in order and without repeats.
    Tokens {
        /// Index of the first token.
        offset: u32,
        /// Number of tokens.
        count: u32,
        /// Their text.
        text: Bytes,
    },
    /// The streamed answer is complete.
    Done {
        /// Number of tokens in the complete answer.
        tokens: u32,
    },
    /// A newer connection reads the answer now.
    Superseded,
    /// The answer to a plain call.
    Answer {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Bytes,
        /// Whether this repeats an earlier answer.
        repeated: bool,
    },
    /// The request gets no answer.
    Refusal(Refusal),
    /// The answer to an operator's edit.
    Edit(Verdict),
}

/// Refusal of a request, with its outcome and reason.
#[derive(Debug, Clone)]
pub struct Refusal {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Reason for the refusal.
    pub reason: Reason,
    /// Time to wait before a retry, in milliseconds; 0 if a retry does not help.
    pub retry_after_ms: u64,
    /// Addresses for the retry, best first.
    pub addresses: Vec<String>,
}

/// Outcome of a request that gets no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// No byte of it reached a replica.
    NotRun,
    /// It was sent; its effect is not known.
    Unknown,
    /// It was sent and failed; nothing of it is running.
    Failed,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The request is malformed.
    Invalid,
    /// The table has no row for its service and caller class.
    NoRow,
    /// No replica serves it.
    NoReplica,
    /// Its latency limit cannot be met.
    Doomed,
    /// A ceiling of its row is reached.
    Ceiling,
    /// The retry budget of its row is exhausted.
    RetryBudget,
    /// The table of this daemon may be out of date.
    Stale,
    /// This instance is leaving.
    Leaving,
    /// Too many requests are open or too many keys are remembered.
    Full,
    /// A call that is not repeatable needs a key with the prefix from an address answer.
    KeyNeeded,
    /// The key is older than the window in which keys are remembered.
    KeyExpired,
    /// The key belongs to another runner, which has not seen it.
    OtherRunner,
    /// The runner of the key is gone or does not answer.
    RunnerLost,
    /// The resume token is damaged, forged or belongs to another customer.
    BadToken,
    /// The stream is no longer available.
    StreamLost,
    /// The answer was sent before and is no longer stored.
    AnswerGone,
    /// The replica failed.
    Backend,
}

/// The answer to an operator's edit.
#[derive(Debug, Clone)]
pub enum Verdict {
    /// The edit is committed and in force.
    Accepted {
        /// Generation that it created.
        generation: u64,
    },
    /// The edit was committed earlier under the same id.
    Repeated {
        /// Generation that it created.
        generation: u64,
    },
    /// Another edit was committed first.
    Conflict {
        /// One line per row, with both values.
        lines: Vec<String>,
    },
    /// Not committed.
    Rejected {
        /// Reason, and how to correct the edit.
        cause: String,
    },
    /// The edit may have been committed; sending the same edit id again shows whether it was.
    Undecided {
        /// Cause of the uncertainty.
        cause: String,
    },
}

/// Request to the store.
#[derive(Debug, Clone)]
pub enum StoreRequest {
    /// Read the current generation, linearizably.
    Generation,
    /// Read the complete table, linearizably.
    Table,
    /// Commit an edit.
    Commit(Box<Edit>),
    /// Append outcomes of one incarnation as a single row.
    Record {
        /// Incarnation that the keys name.
        incarnation: Incarnation,
        /// Sequence number of the row.
        sequence: u64,
        /// Key text with customer, HTTP status and body.
        outcomes: Vec<(String, u16, Option<Bytes>)>,
    },
    /// Find the recorded outcome of a key.
    Outcome {
        /// Incarnation that the keys name.
        incarnation: Incarnation,
        /// Key text with customer.
        key: String,
    },
}

/// Values that the driver adds to its metrics.
#[derive(Debug, Clone, Copy)]
pub enum Count {
    /// Time to first token of a request, in microseconds.
    FirstToken {
        /// Measured value.
        micros: u64,
        /// Target of the request's row.
        target: u64,
    },
    /// Mean time between tokens of a finished request, in microseconds.
    TokenGap {
        /// Measured value.
        micros: u64,
        /// Target of the request's row.
        target: u64,
    },
    /// A request met both latency targets.
    Good,
    /// A request was answered completely.
    Answered,
    /// A request was refused.
    Refused(Outcome),
    /// Tokens computed by prefills.
    Prefilled(u32),
    /// Tokens computed by prefills whose result was never used.
    Wasted(u32),
    /// An attempt without an owner was cancelled.
    Swept,
    /// A request was tried again.
    Retried,
}
