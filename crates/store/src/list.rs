//! The platform's list of instances and replicas, which may be stale.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

/// The list of instances and replicas.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Entries")]
pub struct List {
    /// Entry instances.
    pub instances: Vec<Instance>,
    /// Replicas.
    pub replicas: Vec<Replica>,
    /// Number of entries that cannot be read; they are left out.
    #[serde(skip_serializing)]
    pub unreadable: usize,
}

/// The entries of a list as sent. Other programs may write some of them.
#[derive(Deserialize)]
struct Entries {
    instances: Vec<Box<RawValue>>,
    replicas: Vec<Box<RawValue>>,
}

impl From<Entries> for List {
    fn from(entries: Entries) -> Self {
        let count = entries.instances.len() + entries.replicas.len();
        let instances: Vec<Instance> = readable(&entries.instances);
        let replicas: Vec<Replica> = readable(&entries.replicas);
        Self {
            unreadable: count - instances.len() - replicas.len(),
            instances,
            replicas,
        }
    }
}

/// Those of `entries` that can be read.
fn readable<T: DeserializeOwned>(entries: &[Box<RawValue>]) -> Vec<T> {
    let read = entries.iter();
    let read = read.filter_map(|entry| serde_json::from_str(entry.get()).ok());
    read.collect()
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
