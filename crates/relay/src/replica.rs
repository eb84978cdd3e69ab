//! Replicas as the platform lists them.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::time::Duration;

use ident::Zone;
use serde::Deserialize;
use serde::Serialize;

/// All replicas that the platform lists at one moment.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version of the store at that moment.
    pub version: u64,
    /// The replicas.
    pub replicas: Vec<Replica>,
    /// Replicas that vanished from the list after an outage and may come back.
    pub lapsing: Vec<Lapsing>,
}

/// What changed between two versions of the store.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Delta {
    /// The version that it changes.
    pub since: u64,
    /// The version that it leads to.
    pub version: u64,
    /// Replicas that are new or changed.
    pub replicas: Vec<Replica>,
    /// Ids of replicas that are no longer listed.
    pub gone: Vec<String>,
    /// All replicas that vanished from the list after an outage and may come back.
    pub lapsing: Vec<Lapsing>,
}

impl Delta {
    /// Whether the delta contains no changes.
    pub const fn is_empty(&self) -> bool {
        self.replicas.is_empty() && self.gone.is_empty() && self.lapsing.is_empty()
    }
}

/// News of the replicas.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Update {
    /// All of them.
    All(Snapshot),
    /// What changed.
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
    /// The version of the store that it leads to.
    pub const fn version(&self) -> u64 {
        match self {
            Self::All(snapshot) => snapshot.version,
            Self::Changed(delta) => delta.version,
        }
    }
}

/// A replica that is used though the list lacks it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lapsing {
    /// The replica as it was listed last.
    pub replica: Replica,
    /// For how long it is used still.
    pub left: Duration,
}

/// When a replica started, in Unix milliseconds by its own clock. Tells the incarnations of one replica
/// apart: one that starts again under the id that it had knows nothing of what it held before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Birth(pub u64);

/// One incarnation of one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Names the replica; some keep it when they start again.
    pub id: String,
    /// When it started; `None` where replicas do not tell, and each start has a new id.
    pub birth: Option<Birth>,
    /// Name of its service.
    pub service: String,
    /// Where it serves requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Zone,
    /// Its part in serving a model; `None` for a plain application.
    pub stage: Option<Stage>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes nothing new.
    pub draining: bool,
    /// Whether it is still slow after its start.
    pub cold: bool,
}

impl Replica {
    /// How this incarnation stands to `known`, one of the same id. What does not tell its birth is taken
    /// for the same one.
    pub fn compare_incarnation(&self, known: Option<Birth>) -> Ordering {
        match (self.birth, known) {
            (Some(told), Some(known)) => told.cmp(&known),
            _ => Ordering::Equal,
        }
    }
}

/// Part of a replica in serving a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Reads prompts.
    Prefill,
    /// Makes tokens.
    Decode,
}

/// Load that a replica told with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in its queue.
    pub waiting: u32,
}
