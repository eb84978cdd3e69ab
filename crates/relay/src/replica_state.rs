//! State of a replica as seen by this daemon.

/// A change of the state of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateChange {
    /// Id of the replica.
    pub id: String,
    /// The new state.
    pub now: ReplicaState,
}

/// State of a replica as seen by this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaState {
    /// Requests may be sent to it.
    Ready,
    /// It accepts no new requests.
    Draining,
    /// Missing from the list after an outage; still used for a grace period.
    Lapsed,
    /// It restarted under the same id and lost its state.
    Restarted,
    /// No longer listed and no longer used.
    Gone,
}
