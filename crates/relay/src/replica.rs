//! Replicas as the platform lists them.

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

/// A replica that is used though the list lacks it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lapsing {
    /// The replica as it was listed last.
    pub replica: Replica,
    /// For how long it is used still.
    pub left: Duration,
}

/// One run of one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// New at each start of the replica.
    pub id: String,
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
