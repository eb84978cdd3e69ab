//! Kinds of events and frames, for counting.

use node::event::Event;
use wire::Body;

/// What an event or a frame is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Membership.
    Gossip,
    /// Which table generation is held, and how fresh it is.
    News,
    /// The table itself, and asking for it.
    Push,
    /// An accepted edit is announced and noted.
    Announce,
    /// A request asks for its place and is answered.
    Place,
    /// Progress of placed requests is told to their keeper.
    Advance,
    /// Keepers compare what replicas hold with what owners want.
    Audit,
    /// Keys and their outcomes.
    Key,
    /// A replica's state.
    Inspect,
    /// The platform's list.
    List,
    /// An answer of the store.
    Store,
    /// A caller, or an order to a replica.
    Caller,
    /// A timer of the core.
    Timer,
}

impl Kind {
    /// All kinds, in the order of tables.
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

    /// Its name in tables.
    pub const fn word(self) -> &'static str {
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
