//! The state of a daemon, parted by what it is about. The core composes the parts.

use std::collections::BTreeMap;
use std::collections::HashMap;

use bytes::Bytes;
use fleet::Fleet;
use ident::Handle;
use ident::Incarnation;
use ident::Instance;
use ident::Pool;
use ident::Replica;
use ident::Time;
use ledger::holds::Holds;
use ledger::ids::Call;
use ledger::ids::Order;
use ledger::keys::Memory;
use slotmap::SlotMap;
use table::view::View;

use crate::journal::Journal;
use crate::kept_pool::KeptPool;
use crate::key_lookup::KeyLookup;
use crate::list::ListedInstance;
use crate::list::ListedReplica;
use crate::open::OpenId;
use crate::open::OpenRequest;
use crate::rows::Rows;
use crate::settings::Settings;
use crate::table_sync::TableSync;

/// What an order was for.
#[derive(Debug, Clone, Copy)]
pub(crate) enum OrderPurpose {
    /// Prefill of an open request.
    Prefill(OpenId),
    /// Decode of an open request, or reading its stream.
    Decode(OpenId),
    /// Plain call of an open request.
    Plain(OpenId),
    /// Release of a hold.
    Cancel,
}

/// Requests that this daemon owns, and their keys.
#[derive(Debug)]
pub(crate) struct Requests {
    pub(crate) open: SlotMap<OpenId, OpenRequest>,
    pub(crate) by_handle: HashMap<Handle, OpenId>,
    pub(crate) by_call: HashMap<Call, OpenId>,
    /// Orders to replicas that are not answered yet.
    pub(crate) orders: HashMap<Order, OrderPurpose>,
    pub(crate) holds: Holds,
    /// Keys of requests that run or ran here.
    pub(crate) keys: Memory<OpenId>,
    /// Callers that wait for what another instance knows of their key.
    pub(crate) lookups: HashMap<u64, KeyLookup>,
    pub(crate) journal: Journal,
}

impl Requests {
    /// None yet; keys are remembered as `settings` say.
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            open: SlotMap::with_key(),
            by_handle: HashMap::new(),
            by_call: HashMap::new(),
            orders: HashMap::new(),
            holds: Holds::new(),
            keys: Memory::new(settings.window.as_secs(), settings.max_keys),
            lookups: HashMap::new(),
            journal: Journal::new(),
        }
    }

    /// Keys of the open requests that are `wanted`.
    pub(crate) fn open_where(&self, wanted: impl Fn(&OpenRequest) -> bool) -> Vec<OpenId> {
        let found = self.open.iter().filter(|(_, open)| wanted(open));
        found.map(|(key, _)| key).collect()
    }
}

/// The other instances.
#[derive(Debug)]
pub(crate) struct Members {
    pub(crate) fleet: Fleet,
    /// Former incarnations of this process, given up after a pause.
    pub(crate) former: Vec<Incarnation>,
    /// The instances as the platform lists them.
    pub(crate) listed: BTreeMap<Instance, ListedInstance>,
}

impl Members {
    /// Those that `fleet` knows; nothing is listed yet.
    pub(crate) const fn new(fleet: Fleet) -> Self {
        Self {
            fleet,
            former: Vec::new(),
            listed: BTreeMap::new(),
        }
    }
}

/// The table in force here.
#[derive(Debug)]
pub(crate) struct Tables {
    pub(crate) view: View,
    pub(crate) sync: TableSync,
    pub(crate) rows: Rows,
}

impl Tables {
    /// No table yet; one is decided by for as long as `settings` say.
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            view: View::new(settings.lease),
            sync: TableSync::new(),
            rows: Rows::new(),
        }
    }
}

/// The replicas as the platform lists them.
#[derive(Debug)]
pub(crate) struct Replicas {
    pub(crate) listed: BTreeMap<Replica, ListedReplica>,
    /// Whether a list was told; without one no replica is known.
    pub(crate) has_list: bool,
    /// The part of the replicas that was inspected last.
    pub(crate) inspect_part: u64,
    /// The list as it was read, for daemons that cannot read it.
    pub(crate) list_copy: Option<Bytes>,
}

impl Replicas {
    /// No list yet.
    pub(crate) const fn new() -> Self {
        Self {
            listed: BTreeMap::new(),
            has_list: false,
            inspect_part: 0,
            list_copy: None,
        }
    }
}

/// The pools and who keeps them.
#[derive(Debug)]
pub(crate) struct Pools {
    /// Those that this daemon keeps.
    pub(crate) kept: BTreeMap<Pool, KeptPool>,
    pub(crate) keepers: BTreeMap<Pool, Instance>,
}

impl Pools {
    /// None yet.
    pub(crate) const fn new() -> Self {
        Self {
            kept: BTreeMap::new(),
            keepers: BTreeMap::new(),
        }
    }
}

/// Pauses and the end of this daemon.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    /// When the last pause longer than the lease ended.
    pub(crate) pause_ended: Time,
    /// Since when a planned stop is under way.
    pub(crate) leaving: Option<Time>,
    pub(crate) finished: bool,
    /// Since when a planned stop waits for records and releases only.
    pub(crate) idle_since: Option<Time>,
    /// Since when the table marks this instance to drain.
    pub(crate) drained: Option<Time>,
}

impl Lifecycle {
    /// A daemon that starts at `now`.
    pub(crate) const fn new(now: Time) -> Self {
        Self {
            pause_ended: now,
            leaving: None,
            finished: false,
            idle_since: None,
            drained: None,
        }
    }
}
