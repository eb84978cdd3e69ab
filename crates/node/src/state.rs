//! Parts of the state of a daemon, composed by [`crate::Node`].

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
use ledger::ids::CallId;
use ledger::ids::OrderId;
use ledger::keys::KeyRegistry;
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

/// Purpose of an order to a replica.
#[derive(Debug, Clone, Copy)]
pub(crate) enum OrderPurpose {
    /// Prefill of an open request.
    Prefill(OpenId),
    /// Decode of an open request, or a read of its stream.
    Decode(OpenId),
    /// Plain call of an open request.
    Plain(OpenId),
    /// Release of a hold.
    Cancel,
}

/// Requests owned by this daemon, and their keys.
#[derive(Debug)]
pub(crate) struct Requests {
    pub(crate) open: SlotMap<OpenId, OpenRequest>,
    pub(crate) by_handle: HashMap<Handle, OpenId>,
    pub(crate) by_call: HashMap<CallId, OpenId>,
    /// Unanswered orders to replicas.
    pub(crate) orders: HashMap<OrderId, OrderPurpose>,
    pub(crate) holds: Holds,
    /// Keys of requests that this daemon runs or ran.
    pub(crate) keys: KeyRegistry<OpenId>,
    /// Pending lookups of keys that belong to other runs, by nonce.
    pub(crate) lookups: HashMap<u64, KeyLookup>,
    pub(crate) journal: Journal,
}

impl Requests {
    /// Creates an empty state; `settings` limit the number and age of keys.
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            open: SlotMap::with_key(),
            by_handle: HashMap::new(),
            by_call: HashMap::new(),
            orders: HashMap::new(),
            holds: Holds::new(),
            keys: KeyRegistry::new(settings.window.as_secs(), settings.max_keys),
            lookups: HashMap::new(),
            journal: Journal::new(),
        }
    }

    /// Returns the open requests that satisfy `wanted`.
    pub(crate) fn open_where(&self, wanted: impl Fn(&OpenRequest) -> bool) -> Vec<OpenId> {
        let found = self.open.iter().filter(|(_, open)| wanted(open));
        found.map(|(key, _)| key).collect()
    }
}

/// Membership, and the instances in the platform's list.
#[derive(Debug)]
pub(crate) struct Members {
    pub(crate) fleet: Fleet,
    /// Former incarnations of this process, declared dead during a pause.
    pub(crate) former: Vec<Incarnation>,
    /// Instances in the platform's list.
    pub(crate) listed: BTreeMap<Instance, ListedInstance>,
}

impl Members {
    /// Creates the state with the members of `fleet` and an empty list.
    pub(crate) const fn new(fleet: Fleet) -> Self {
        Self {
            fleet,
            former: Vec::new(),
            listed: BTreeMap::new(),
        }
    }
}

/// The table in force on this daemon.
#[derive(Debug)]
pub(crate) struct Tables {
    pub(crate) view: View,
    pub(crate) sync: TableSync,
    pub(crate) rows: Rows,
}

impl Tables {
    /// Creates the state without a table; `settings` define the lease of tables.
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            view: View::new(settings.lease),
            sync: TableSync::new(),
            rows: Rows::new(),
        }
    }
}

/// Replicas in the platform's list.
#[derive(Debug)]
pub(crate) struct Replicas {
    pub(crate) listed: BTreeMap<Replica, ListedReplica>,
    /// Whether a list was received; without one no replica is known.
    pub(crate) has_list: bool,
    /// Index of the share of replicas that was inspected last.
    pub(crate) inspect_part: u64,
    /// The list in its original encoding, for daemons that cannot read it from the platform.
    pub(crate) list_copy: Option<Bytes>,
}

impl Replicas {
    /// Creates the state without a list.
    pub(crate) const fn new() -> Self {
        Self {
            listed: BTreeMap::new(),
            has_list: false,
            inspect_part: 0,
            list_copy: None,
        }
    }
}

/// Pools and their keepers.
#[derive(Debug)]
pub(crate) struct Pools {
    /// Pools whose keeper is this daemon.
    pub(crate) kept: BTreeMap<Pool, KeptPool>,
    pub(crate) keepers: BTreeMap<Pool, Instance>,
}

impl Pools {
    /// Creates an empty state.
    pub(crate) const fn new() -> Self {
        Self {
            kept: BTreeMap::new(),
            keepers: BTreeMap::new(),
        }
    }
}

/// Pauses and the planned stop of this daemon.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    /// End of the last pause that was longer than the lease.
    pub(crate) pause_ended: Time,
    /// Start of the planned stop.
    pub(crate) leaving: Option<Time>,
    pub(crate) finished: bool,
    /// Time since which the planned stop waits only for records and releases.
    pub(crate) idle_since: Option<Time>,
    /// Time since which the table marks this instance as draining.
    pub(crate) draining_since: Option<Time>,
}

impl Lifecycle {
    /// Creates the state of a daemon that starts at `now`.
    pub(crate) const fn new(now: Time) -> Self {
        Self {
            pause_ended: now,
            leaving: None,
            finished: false,
            idle_since: None,
            draining_since: None,
        }
    }
}
