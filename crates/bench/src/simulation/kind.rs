//! Classifies events and frames for the counters.

use node::event::Event;
use wire::Body;

/// Purpose of an event or a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Membership.
    Gossip,
    /// Generation of the table and its freshness.
    News,
    /// The table or the list itself, and requests for them.
    Push,
    /// Announcements of accepted edits, and their acknowledgements.
    Announce,
    /// Requests for a placement, and the verdicts.
    Place,
    /// Progress of placed requests, sent to their keeper.
    Advance,
    /// Comparison by keepers of what replicas hold with what owners have in progress.
    Audit,
    /// Idempotency keys and their outcomes.
    Key,
    /// State of a replica.
    Inspect,
    /// The platform's list.
    List,
    /// A reply of the store, or an operator's edit.
    Store,
    /// Any other event: callers, and orders to replicas.
    Caller,
    /// A timer or the stop of a core.
    Timer,
}

impl Kind {
    /// All kinds, in the order of their declaration, by which counters are indexed.
    pub const ALL: [Self; 13] = [
        Self::Gossip,
        Self::News,
        Self::Push,
        Self::Announce,
        Self::Place,
        Self::Advance,
        Self::Audit,
        Self::Key,
        Self::Inspect,
        Self::List,
        Self::Store,
        Self::Caller,
        Self::Timer,
    ];

    /// The kind of a frame.
    pub const fn of_body(body: &Body) -> Self {
        match body {
            Body::Gossip(_) => Self::Gossip,
            Body::News(_) => Self::News,
            Body::Pull | Body::Push(_) | Body::ListPull | Body::ListPush(_) => Self::Push,
            Body::Announce { .. } | Body::Noted { .. } => Self::Announce,
            Body::Submit(_) | Body::Verdict(_) => Self::Place,
            Body::Advance { .. } => Self::Advance,
            Body::Adopt(_) | Body::Claimed { .. } | Body::Disowned { .. } => Self::Audit,
            Body::Ask { .. } | Body::Told { .. } => Self::Key,
        }
    }

    /// The kind of an event.
    pub const fn of_event(event: &Event) -> Self {
        match event {
            Event::Frame(frame) => Self::of_body(&frame.body),
            Event::Inspected { .. } => Self::Inspect,
            Event::Listed(_) => Self::List,
            Event::StoreReplied { .. } | Event::Edited { .. } => Self::Store,
            Event::Tick | Event::Stop => Self::Timer,
            _ => Self::Caller,
        }
    }

    /// Name of the kind.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Gossip => "gossip",
            Self::News => "news",
            Self::Push => "push",
            Self::Announce => "announce",
            Self::Place => "place",
            Self::Advance => "advance",
            Self::Audit => "audit",
            Self::Key => "key",
            Self::Inspect => "inspect",
            Self::List => "list",
            Self::Store => "store",
            Self::Caller => "caller",
            Self::Timer => "timer",
        }
    }
}
