//! What a daemon does: the output of [`crate::Node::step`].

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

/// One action.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send an order to a replica.
    Order {
        /// Names the order in the answering event.
        order: OrderId,
        /// The replica.
        replica: Replica,
        /// The attempt.
        handle: Handle,
        /// Owner to be named to the replica.
        owner: Incarnation,
        /// Fencing number.
        fence: u64,
        /// What to do.
        task: Task,
    },
    /// Drop the connection of an order; `Event::Failed` with `Lost` follows unless it ended before.
    Abort {
        /// The order.
        order: OrderId,
    },
    /// Ask a replica for its state; cache events after the last one seen.
    Inspect {
        /// The replica.
        replica: Replica,
        /// Last cache event seen.
        after: u64,
        /// When it is asked; `Event::Inspected` repeats it.
        asked: Time,
    },
    /// Say something to a caller.
    Tell {
        /// The caller's connection.
        call: CallId,
        /// What to say.
        tell: Tell,
    },
    /// Send a frame to a peer.
    Send {
        /// The peer.
        to: Instance,
        /// The frame.
        frame: Box<Frame>,
    },
    /// Take a peer's copy of the platform's list as if the platform had told it; `Event::Listed`
    /// follows.
    UseList(Bytes),
    /// Ask the store.
    Query {
        /// Names the query in the answering event.
        query: QueryId,
        /// What to ask.
        ask: Ask,
    },
    /// Log a decision.
    Log(Decision),
    /// Log a fault of this daemon: something that no request may do was about to be done.
    Fault {
        /// What it was, with step and attempt.
        cause: String,
    },
    /// Count something for the metrics.
    Count(Count),
    /// Nothing is in progress and a planned stop was asked for: the process may end.
    Finished,
}

/// An order's content.
#[derive(Debug, Clone)]
pub enum Task {
    /// Prefill the prompt kept under `call`, and after it what was already generated there.
    Prefill {
        /// Where the driver keeps the prompt.
        call: CallId,
        /// Length of the prompt in tokens.
        prompt_tokens: u32,
        /// Most tokens wanted.
        max_tokens: u32,
        /// Tokens already delivered, whose text the driver keeps too.
        done_tokens: u32,
        /// Priority of the table row, 0 first.
        priority: u8,
        /// Prefix block hashes.
        blocks: Vec<u64>,
    },
    /// Import the KV cache from `source` and stream from `offset`.
    Decode {
        /// The prefill replica.
        source: Replica,
        /// Most tokens wanted.
        max_tokens: u32,
        /// First token wanted.
        offset: u32,
        /// Priority of the table row, 0 first.
        priority: u8,
    },
    /// Read a running stream from `offset`, replacing its reader.
    Attach {
        /// First token wanted.
        offset: u32,
    },
    /// Release all that the attempt holds.
    Cancel,
    /// Carry out the plain call kept under `call`.
    Plain {
        /// Where the driver keeps the call.
        call: CallId,
    },
}

/// What a caller is told.
#[derive(Debug, Clone)]
pub enum Tell {
    /// The head of a streamed answer.
    Head {
        /// The attempt.
        handle: Handle,
        /// Sealed resume token.
        token: String,
    },
    /// Tokens of a streamed answer, in order, none twice.
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
        /// Tokens in the whole answer.
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
    /// No answer.
    Refusal(Refusal),
    /// The answer to an operator's edit.
    Edit(Verdict),
}

/// A typed refusal.
#[derive(Debug, Clone)]
pub struct Refusal {
    /// What became of the request.
    pub outcome: Outcome,
    /// Why, in a word.
    pub reason: Reason,
    /// When to come back, in milliseconds; 0 if coming back does not help.
    pub retry_after_ms: u64,
    /// Where to come back: caller addresses, best first.
    pub addresses: Vec<String>,
}

/// What became of a request that gets no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// No byte of it reached any back end.
    NotRun,
    /// It was sent, and its effect is not known.
    Unknown,
    /// It was sent, and it failed; nothing of it is running.
    Failed,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The request is malformed.
    Invalid,
    /// The table has no row for its service and class.
    NoRow,
    /// No replica serves it.
    NoReplica,
    /// Its latency limit cannot be met.
    Doomed,
    /// A ceiling of its row is reached.
    Ceiling,
    /// The retry budget of its row is spent.
    RetryBudget,
    /// The table may be out of date here.
    Stale,
    /// This instance is leaving.
    Leaving,
    /// Too many requests or keys are held here.
    Full,
    /// A non-repeatable call needs a key with the prefix of an address answer.
    KeyNeeded,
    /// The key is older than the window in which keys are remembered.
    KeyExpired,
    /// The key belongs to another runner, which never saw it.
    OtherRunner,
    /// The runner of the key is gone or silent.
    RunnerLost,
    /// The resume token is damaged, forged or another caller's.
    BadToken,
    /// The stream is no longer kept.
    StreamLost,
    /// The answer was given before and is no longer kept.
    AnswerGone,
    /// The back end failed.
    Backend,
}

/// The answer to an operator's edit.
#[derive(Debug, Clone)]
pub enum Verdict {
    /// Committed: it is the table from now on.
    Accepted {
        /// Generation it made.
        generation: u64,
    },
    /// It was committed earlier under the same id.
    Repeated {
        /// Generation it made.
        generation: u64,
    },
    /// Another edit came first; lines that show both values.
    Conflict {
        /// One line a row.
        lines: Vec<String>,
    },
    /// Not committed.
    Rejected {
        /// Why, and what to try.
        cause: String,
    },
    /// It may have been committed; send the same edit id again to learn it.
    Undecided {
        /// What went wrong.
        cause: String,
    },
}

/// A query to the store.
#[derive(Debug, Clone)]
pub enum Ask {
    /// The present generation, by a linearizable read.
    Generation,
    /// The whole table, by a linearizable read.
    Table,
    /// Commit an edit.
    Commit(Box<Edit>),
    /// Append outcomes of this incarnation, as one row.
    Record {
        /// Whose outcomes.
        incarnation: Incarnation,
        /// Number of the row.
        sequence: u64,
        /// Key text with customer, status and body.
        outcomes: Vec<(String, u16, Option<Bytes>)>,
    },
    /// Find the recorded outcome of a key.
    Outcome {
        /// Whose outcomes.
        incarnation: Incarnation,
        /// Key text with customer.
        key: String,
    },
}

/// What the driver counts.
#[derive(Debug, Clone, Copy)]
pub enum Count {
    /// Time to first token of a request, in microseconds, with its row's target.
    FirstToken {
        /// Measured.
        micros: u64,
        /// Target.
        target: u64,
    },
    /// Mean time between tokens of a finished request, in microseconds, with its row's target.
    TokenGap {
        /// Measured.
        micros: u64,
        /// Target.
        target: u64,
    },
    /// A request met both targets.
    Good,
    /// A request was answered in full.
    Answered,
    /// A request was refused.
    Refused(Outcome),
    /// Prefill work done, in tokens.
    Prefilled(u32),
    /// Prefill work whose result was never used, in tokens.
    Wasted(u32),
    /// An attempt without an owner was cancelled.
    Swept,
    /// An attempt was made again.
    Retried,
}
