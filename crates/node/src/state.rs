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
use ledger::ids::CallId;
use ledger::ids::OrderId;
use ledger::keys::KeyRegistry;
use slotmap::SlotMap;
use table::view::View;

use crate::desk::Desk;
use crate::journal::Journal;
use crate::kept::Kept;
use crate::list::Backend;
use crate::list::Seat;
use crate::open::Open;
use crate::open::OpenKey;
use crate::question::Question;
use crate::rows::Rows;
use crate::settings::Settings;

/// What an order was for.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Purpose {
    /// Prefill of an open request.
    Prefill(OpenKey),
    /// Decode of an open request, or reading its stream.
    Decode(OpenKey),
    /// Plain call of an open request.
    Plain(OpenKey),
    /// Release of a hold.
    Cancel,
}

/// Requests that this daemon owns, and their keys.
#[derive(Debug)]
pub(crate) struct Requests {
    pub(crate) open: SlotMap<OpenKey, Open>,
    pub(crate) by_handle: HashMap<Handle, OpenKey>,
    pub(crate) by_call: HashMap<CallId, OpenKey>,
    /// Orders to replicas that are not answered yet.
    pub(crate) orders: HashMap<OrderId, Purpose>,
    pub(crate) holds: Holds,
    /// Keys of requests that run or ran here.
    pub(crate) keys: KeyRegistry<OpenKey>,
    /// Callers that wait for what another instance knows of their key.
    pub(crate) questions: HashMap<u64, Question>,
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
            keys: KeyRegistry::new(settings.window.as_secs(), settings.max_keys),
            questions: HashMap::new(),
            journal: Journal::new(),
        }
    }

    /// Keys of the open requests that are `wanted`.
    pub(crate) fn open_where(&self, wanted: impl Fn(&Open) -> bool) -> Vec<OpenKey> {
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
    pub(crate) seats: BTreeMap<Instance, Seat>,
}

impl Members {
    /// Those that `fleet` knows; nothing is listed yet.
    pub(crate) const fn new(fleet: Fleet) -> Self {
        Self {
            fleet,
            former: Vec::new(),
            seats: BTreeMap::new(),
        }
    }
}

/// The table in force here.
#[derive(Debug)]
pub(crate) struct Tables {
    pub(crate) view: View,
    pub(crate) desk: Desk,
    pub(crate) rows: Rows,
}

impl Tables {
    /// No table yet; one is decided by for as long as `settings` say.
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            view: View::new(settings.lease),
            desk: Desk::new(),
            rows: Rows::new(),
        }
    }
}

/// The replicas as the platform lists them.
#[derive(Debug)]
pub(crate) struct Replicas {
    pub(crate) backends: BTreeMap<Replica, Backend>,
    /// Whether a list was told; without one no replica is known.
    pub(crate) is_listed: bool,
    /// The part of the replicas that was inspected last.
    pub(crate) inspect_part: u64,
    /// The list as it was read, for daemons that cannot read it.
    pub(crate) list_copy: Option<Bytes>,
}

impl Replicas {
    /// No list yet.
    pub(crate) const fn new() -> Self {
        Self {
            backends: BTreeMap::new(),
            is_listed: false,
            inspect_part: 0,
            list_copy: None,
        }
    }
}

/// The pools and who keeps them.
#[derive(Debug)]
pub(crate) struct Pools {
    /// Those that this daemon keeps.
    pub(crate) cells: BTreeMap<Pool, Kept>,
    pub(crate) keepers: BTreeMap<Pool, Instance>,
}

impl Pools {
    /// None yet.
    pub(crate) const fn new() -> Self {
        Self {
            cells: BTreeMap::new(),
            keepers: BTreeMap::new(),
        }
    }
}

/// Pauses and the end of this daemon.
#[derive(Debug)]
pub(crate) struct Life {
    /// When the last pause longer than the lease ended.
    pub(crate) woke: Time,
    /// Since when a planned stop is under way.
    pub(crate) leaving: Option<Time>,
    pub(crate) finished: bool,
    /// Since when a planned stop waits for records and releases only.
    pub(crate) idle_since: Option<Time>,
    /// Since when the table marks this instance to drain.
    pub(crate) drained: Option<Time>,
}

impl Life {
    /// A daemon that starts at `now`.
    pub(crate) const fn new(now: Time) -> Self {
        Self {
            woke: now,
            leaving: None,
            finished: false,
            idle_since: None,
            drained: None,
        }
    }
}
