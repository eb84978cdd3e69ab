//! State of a pool whose keeper is this daemon.

use std::collections::BTreeMap;

use ident::Handle;
use ident::Incarnation;
use ident::Instance;
use ident::Replica;
use ident::Time;
use route::scheduler::Scheduler;

/// Owner and age of an attempt in a kept pool.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Placed {
    pub(crate) owner: Instance,
    pub(crate) incarnation: Incarnation,
    pub(crate) since: Time,
}

/// Responses of a replica to inspections.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ReplicaHealth {
    /// Time of the first unanswered inspection.
    pub(crate) unanswered: Option<Time>,
    /// Whether the replica is considered lost.
    pub(crate) lost: bool,
    /// Sequence number of the last cache event received.
    pub(crate) last_event: u64,
}

/// Scheduler of a pool and the attempts placed in it.
#[derive(Debug)]
pub(crate) struct KeptPool {
    pub(crate) name: String,
    pub(crate) scheduler: Scheduler,
    pub(crate) ready: Time,
    pub(crate) placed: BTreeMap<Handle, Placed>,
    pub(crate) health: BTreeMap<Replica, ReplicaHealth>,
    /// Attempts found on replicas without a live owner, with the time of discovery.
    pub(crate) orphans: BTreeMap<(Replica, Handle), Time>,
    pub(crate) generation: u64,
}
