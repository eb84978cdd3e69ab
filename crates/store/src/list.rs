//! The platform's list of instances and replicas, which may be stale.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// The list of instances and replicas.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Entry instances.
    pub instances: Vec<Instance>,
    /// Replicas.
    pub replicas: Vec<Replica>,
}

/// An entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Whether the instance accepts new work.
    pub state: State,
}

/// A replica: a model engine or a plain application.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Listen address.
    pub address: SocketAddr,
    /// Model or plain application that it serves.
    pub service: String,
    /// Kind of work that it runs.
    pub role: Role,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it refuses outdated fencing tokens.
    pub fences: bool,
    /// Whether the replica accepts new work.
    pub state: State,
}

/// Whether an instance or replica accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In use.
    Live,
    /// Leaving: it gets no new work.
    Leaving,
}

/// Kind of work that a replica runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Computes KV caches.
    Prefill,
    /// Generates tokens from imported KV caches.
    Decode,
    /// Runs plain calls.
    Plain,
}
