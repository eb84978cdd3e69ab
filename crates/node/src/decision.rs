//! Decisions that are written to the log.

/// A decision, logged as one line.
#[derive(Debug, Clone)]
pub struct Decision {
    /// Customer and idempotency key of the request, or its handle if it has no key.
    pub request: String,
    /// Kind of the decision.
    pub step: Step,
    /// Name of the chosen option.
    pub choice: String,
    /// Names or number of the other options.
    pub alternatives: String,
    /// Reason for the choice.
    pub reason: String,
    /// Table generation in force at the decision.
    pub generation: u64,
}

/// Kinds of decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A request was admitted to the queue of its pool.
    Admit,
    /// A request was placed on replicas.
    Place,
    /// A request is retried.
    Retry,
    /// A request was refused.
    Refuse,
    /// A stream was taken over.
    Adopt,
    /// A repeated key was attached to its open request or answered from memory.
    Repeat,
    /// The memory of an attempt on a replica is released.
    Release,
    /// An attempt without an owner is cancelled.
    Sweep,
    /// A table generation came into force on this daemon.
    Table,
    /// A member's state changed.
    Member,
    /// A request ended.
    End,
}

impl Step {
    /// Value of the decision's kind in log lines.
    pub const fn as_str(self) -> &'static str {
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
