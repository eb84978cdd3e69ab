//! What daemons tell each other.

use bytes::Bytes;
use fleet::Message;
use ident::Handle;
use ident::Incarnation;
use ident::Instance;
use ident::Key;
use ident::Replica;
use route::phase::Phase;
use route::scheduler::Hold;
use route::ticket::Ticket;
use route::verdict::Verdict;
use serde::Deserialize;
use serde::Serialize;
use table::Table;

/// One frame with its sender.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Frame {
    /// The sending instance.
    pub from: Instance,
    /// The sending run of that instance.
    pub incarnation: Incarnation,
    /// What is said.
    pub body: Body,
}

impl Frame {
    /// A frame from the run `incarnation` of `from`.
    pub const fn new(from: Instance, incarnation: Incarnation, body: Body) -> Self {
        Self {
            from,
            incarnation,
            body,
        }
    }
}

/// What a daemon knows of the table. Daemons ask a few peers several times a second, and count an
/// answer from the time of the question, so that a delayed frame proves nothing.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct TableStatus {
    /// Generation in force at the sender.
    pub generation: u64,
    /// Milliseconds since the store was read, by the sender or by whoever told it; `None` if it
    /// never was.
    pub store_age_ms: Option<u32>,
    /// Whether the sender knows of no higher generation than its own.
    pub settled: bool,
    /// The time of the question in microseconds, counted from a point that the asking run alone
    /// knows.
    pub asked: u64,
    /// Whether this answers a question; a question is answered with the same `asked`.
    pub answer: bool,
}

/// What a runner tells another instance about a key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum KeyStatus {
    /// The runner never saw the key, and no byte of the request reached a back end.
    NotSeen,
    /// The key names an earlier run of the asked instance, which cannot know what became of it.
    OtherRun,
    /// The request is waiting or running without a stream; another answer follows.
    InProgress,
    /// The request streams; the sealed token lets any instance take the stream over.
    Streaming {
        /// Sealed resume token.
        token: String,
    },
    /// The request was answered.
    Answered {
        /// HTTP status of the back end.
        status: u16,
        /// The body, if it is still kept.
        body: Option<Bytes>,
    },
    /// The request was sent and its effect is not known.
    Unknown,
    /// The request was sent and it failed; nothing of it is running.
    Failed,
    /// The key is older than the window in which keys are remembered.
    Expired,
}

/// The body of a frame.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Body {
    /// Membership.
    Gossip(Message),
    /// Table generation and freshness.
    News(TableStatus),
    /// Asks for the whole table.
    Pull,
    /// The whole table.
    Push(Box<Table>),
    /// Asks for the platform's list, which the sender could not read yet.
    ListPull,
    /// A copy of the platform's list, in the platform's own form.
    ListPush(Bytes),
    /// An edit was committed. It is accepted once a majority has noted its generation.
    Announce {
        /// Number of the edit, chosen by the committing daemon.
        edit: u64,
        /// Generation it made.
        generation: u64,
    },
    /// An announced generation was noted.
    Noted {
        /// Number of the edit.
        edit: u64,
    },
    /// A request asks the keeper of its pool for a placement.
    Submit(Box<Ticket>),
    /// The keeper's decision.
    Verdict(Verdict),
    /// Progress of a placed request, told to the keeper.
    Advance {
        /// The attempt.
        handle: Handle,
        /// What it reached.
        phase: Phase,
    },
    /// A placed request, told to a new keeper.
    Adopt(Box<Hold>),
    /// What became of `key`?
    Ask {
        /// Matches the answer to the question; other than those of other runs of the asker.
        nonce: u64,
        /// The key.
        key: Key,
    },
    /// Answer to `Ask`.
    Told {
        /// Nonce of the question.
        nonce: u64,
        /// The answer.
        told: KeyStatus,
    },
    /// The keeper found these attempts on a replica: are they still wanted?
    Claimed {
        /// Where they were found.
        replica: Replica,
        /// The attempts.
        handles: Vec<Handle>,
    },
    /// These attempts are not wanted by their owner.
    Disowned {
        /// Where they were found.
        replica: Replica,
        /// The attempts.
        handles: Vec<Handle>,
    },
}
