//! The platform's list of instances and replicas, which lags.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// The list.
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
    /// Where other instances connect.
    pub peer: SocketAddr,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Whether it is to be used.
    pub state: State,
}

/// A replica: a model engine or a plain application.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The model or plain application that it serves.
    pub service: String,
    /// What it does.
    pub role: Role,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it refuses old fencing numbers.
    pub fences: bool,
    /// Whether it is to be used.
    pub state: State,
}

/// Whether an instance or replica is to be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In use.
    Live,
    /// To get no new work.
    Leaving,
}

/// What a replica does.
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
