//! Entries of the platform's list of replicas.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::time::Duration;

use ident::Zone;
use serde::Deserialize;
use serde::Serialize;

use crate::revision::Revision;

/// The complete list at one version of the store.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version of the store.
    pub version: Revision,
    /// Listed replicas.
    pub replicas: Vec<Replica>,
    /// Replicas that disappeared from the list after an outage and may return.
    pub lapsing: Vec<Lapsing>,
    /// Remaining time for which replicas are used that a daemon with a list of an earlier era knows
    /// and this list does not have.
    pub grace: Duration,
}

/// Changes of the list between two versions of the store.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Delta {
    /// The base version.
    pub since: Revision,
    /// The resulting version.
    pub version: Revision,
    /// Replicas that are new or changed.
    pub replicas: Vec<Replica>,
    /// Ids of replicas that are no longer listed.
    pub gone: Vec<String>,
    /// Those of them whose rows are there and are no entries of replicas; known to readers of the store
    /// only.
    #[serde(skip)]
    pub unreadable: Vec<String>,
    /// All replicas that disappeared from the list after an outage and may return.
    pub lapsing: Vec<Lapsing>,
}

impl Delta {
    /// Whether the delta contains no changes.
    pub const fn is_empty(&self) -> bool {
        self.replicas.is_empty() && self.gone.is_empty() && self.lapsing.is_empty()
    }
}

/// An update of the list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Update {
    /// The complete list.
    All(Snapshot),
    /// Changes only.
    Changed(Delta),
}

/// Origin of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Read from the store by this daemon.
    Store,
    /// Received from another daemon.
    Peer,
}

impl Source {
    /// Returns the name used in log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

impl Update {
    /// The resulting version of the store.
    pub const fn version(&self) -> Revision {
        match self {
            Self::All(snapshot) => snapshot.version,
            Self::Changed(delta) => delta.version,
        }
    }
}

/// A replica that is still used although it is missing from the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lapsing {
    /// The last listed entry.
    pub replica: Replica,
    /// Remaining time for which it is used.
    pub left: Duration,
}

/// Start time of a replica in Unix milliseconds, by its own clock. Distinguishes the incarnations
/// of a replica: one that restarts under the same id has lost its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Birth(pub u64);

/// One incarnation of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Id of the replica; some replicas keep it when they restart.
    pub id: String,
    /// Start time; `None` if replicas do not report it and use a new id for each start.
    pub birth: Option<Birth>,
    /// Version of its software, to be compared for equality only; `None` until the list shows that
    /// of an incarnation which was learnt from an answer.
    pub software: Option<String>,
    /// Name of the service.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre of the replica.
    pub data_centre: Zone,
    /// Stage of serving a model; `None` for a plain application.
    pub stage: Option<Stage>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it accepts no new requests.
    pub draining: bool,
    /// Whether it is cold: slow, and able to take only some requests per second.
    pub cold: bool,
    /// Number of entries that this incarnation had written with this one. It orders entries of one
    /// incarnation, whatever the store came back from.
    pub writes: u64,
}

impl Replica {
    /// Whether both entries say the same, however often they were written.
    pub fn has_content_of(&self, other: &Self) -> bool {
        let other = Self {
            writes: self.writes,
            ..other.clone()
        };
        *self == other
    }

    /// Whether this entry is of a later incarnation than the one that started at `birth`, or a later
    /// one than the `writes`th of the same.
    pub fn is_newer_than(&self, birth: Option<Birth>, writes: u64) -> bool {
        match self.compare_incarnation(birth) {
            Ordering::Equal => self.writes > writes,
            order => order == Ordering::Greater,
        }
    }

    /// Compares this incarnation with `known`, the start time of one with the same id. Without both
    /// start times they count as equal.
    pub fn compare_incarnation(&self, known: Option<Birth>) -> Ordering {
        match (self.birth, known) {
            (Some(own), Some(known)) => own.cmp(&known),
            _ => Ordering::Equal,
        }
    }
}

/// Stage of serving a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Prefills prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// Load reported by a replica with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
}

/// What a replica says of its own availability with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Notice {
    /// Whether it accepts no new requests because it is leaving.
    pub is_draining: bool,
    /// Time for which this daemon should send it no requests.
    pub retry_after: Option<Duration>,
}
