//! Log lines of routing and placement decisions.

/// One decision, logged as one line.
#[derive(Debug, Clone)]
pub struct Decision {
    /// The request key (customer and key, or the handle if the caller gave no key).
    pub request: String,
    /// What was decided.
    pub step: Step,
    /// What was chosen, by name.
    pub choice: String,
    /// What else could have been chosen, by name or number.
    pub alternatives: String,
    /// Why.
    pub reason: String,
    /// Table generation under which it was decided.
    pub generation: u64,
}

/// Kinds of decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A request was admitted to the queue of its pool.
    Admit,
    /// A request was placed on replicas.
    Place,
    /// A request is tried again.
    Retry,
    /// A request was refused.
    Refuse,
    /// A stream was taken over.
    Adopt,
    /// A repeated key was attached to its request or answered from memory.
    Repeat,
    /// An attempt's memory on a replica is released.
    Release,
    /// An attempt without an owner is cancelled.
    Sweep,
    /// A table generation came into force here.
    Table,
    /// A member's state changed.
    Member,
    /// A request ended.
    End,
}

impl Step {
    /// The word used in log lines.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Admit => "admit",
            Self::Place => "place",
            Self::Retry => "retry",
            Self::Refuse => "refuse",
            Self::Adopt => "adopt",
            Self::Repeat => "repeat",
            Self::Release => "release",
            Self::Sweep => "sweep",
            Self::Table => "table",
            Self::Member => "member",
            Self::End => "end",
        }
    }
}
