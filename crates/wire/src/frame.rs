//! Frames that daemons send to each other.

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
    /// The sending incarnation of that instance.
    pub incarnation: Incarnation,
    /// The content.
    pub body: Body,
}

impl Frame {
    /// A frame from the incarnation `incarnation` of `from`.
    pub const fn new(from: Instance, incarnation: Incarnation, body: Body) -> Self {
        Self {
            from,
            incarnation,
            body,
        }
    }
}

/// The state of a daemon's table. Daemons ask a few peers several times a second and count an
/// answer from the time of the question, so that a delayed frame proves nothing.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct TableStatus {
    /// Generation in force at the sender.
    pub generation: u64,
    /// Milliseconds since the store was read, by the sender or by its source; `None` if it never
    /// was.
    pub store_age_ms: Option<u32>,
    /// Whether the sender knows no higher generation than its own.
    pub settled: bool,
    /// Time of the question in microseconds, from an origin that only the asking incarnation knows.
    pub asked: u64,
    /// Whether this answers a question; the answer repeats the question's `asked`.
    pub answer: bool,
}

/// The state of a key as its runner reports it to another instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum KeyStatus {
    /// The runner never saw the key, and no byte of the request reached a back end.
    NotSeen,
    /// The key names an earlier incarnation of the asked instance, which cannot know its outcome.
    OtherRun,
    /// The request waits or runs without a stream; another answer follows.
    InProgress,
    /// The answer is being streamed; the sealed token lets any instance take the stream over.
    Streaming {
        /// Sealed resume token.
        token: String,
    },
    /// The request was answered.
    Answered {
        /// HTTP status of the back end.
        status: u16,
        /// The body, if it was kept.
        body: Option<Bytes>,
    },
    /// The request was sent and its effect is unknown.
    Unknown,
    /// The request was sent and failed; nothing of it is running.
    Failed,
    /// The key is older than the window in which keys are remembered.
    Expired,
}

/// The body of a frame.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Body {
    /// A membership message.
    Gossip(Message),
    /// Generation and freshness of the table.
    News(TableStatus),
    /// Asks for the whole table.
    Pull,
    /// The whole table.
    Push(Box<Table>),
    /// Asks for the platform's list, which the sender could not read yet.
    ListPull,
    /// A copy of the platform's list, in the platform's own form.
    ListPush(Bytes),
    /// An edit was committed. It is accepted once a majority has recorded its generation.
    Announce {
        /// Number of the edit, assigned by the committing daemon.
        edit: u64,
        /// Generation that it created.
        generation: u64,
    },
    /// An announced generation was recorded.
    Noted {
        /// Number of the edit.
        edit: u64,
    },
    /// A request asks the keeper of its pool for a placement.
    Submit(Box<Ticket>),
    /// The keeper's decision.
    Verdict(Verdict),
    /// Progress of a placed request, reported to the keeper.
    Advance {
        /// The attempt.
        handle: Handle,
        /// The phase that it reached.
        phase: Phase,
    },
    /// A placed request, reported to a new keeper.
    Adopt(Box<Hold>),
    /// Asks for the state of `key`.
    Ask {
        /// Matches the answer to the question; distinct from those of other incarnations of the
        /// asker.
        nonce: u64,
        /// The key.
        key: Key,
    },
    /// Answer to `Ask`.
    Told {
        /// The nonce of the question.
        nonce: u64,
        /// The answer.
        told: KeyStatus,
    },
    /// Asks whether these attempts, which the keeper found on a replica, are still wanted.
    Claimed {
        /// Where they were found.
        replica: Replica,
        /// The attempts.
        handles: Vec<Handle>,
    },
    /// These attempts are no longer wanted by their owner.
    Disowned {
        /// Where they were found.
        replica: Replica,
        /// The attempts.
        handles: Vec<Handle>,
    },
}
