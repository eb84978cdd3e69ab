//! What this daemon believes of replicas.

/// A change of what this daemon believes of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateChange {
    /// Id of the replica.
    pub id: String,
    /// What it is now.
    pub now: ReplicaState,
}

/// What this daemon believes of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaState {
    /// It may be sent requests.
    Ready,
    /// It takes nothing new.
    Draining,
    /// The list lacks it after an outage; it is used until that is settled.
    Lapsed,
    /// It started again under its id; what it held is lost.
    Restarted,
    /// It is gone.
    Gone,
}
