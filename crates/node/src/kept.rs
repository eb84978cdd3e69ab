//! A pool that this daemon keeps.

use std::collections::BTreeMap;

use ident::Handle;
use ident::Incarnation;
use ident::Instance;
use ident::Replica;
use ident::Time;
use route::scheduler::Scheduler;

/// An attempt as the keeper knows it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Placed {
    pub(crate) owner: Instance,
    pub(crate) incarnation: Incarnation,
    pub(crate) since: Time,
}

/// What the keeper knows of one replica's answers.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Watch {
    /// Since when inspections have been unanswered.
    pub(crate) unanswered: Option<Time>,
    /// Whether it counts as lost.
    pub(crate) lost: bool,
    /// Last cache event seen.
    pub(crate) after: u64,
}

/// A pool kept by this daemon.
#[derive(Debug)]
pub(crate) struct Kept {
    pub(crate) name: String,
    pub(crate) cell: Scheduler,
    pub(crate) ready: Time,
    pub(crate) placed: BTreeMap<Handle, Placed>,
    pub(crate) watches: BTreeMap<Replica, Watch>,
    /// Memory found without a live owner, and since when.
    pub(crate) orphans: BTreeMap<(Replica, Handle), Time>,
    pub(crate) generation: u64,
}
