//! The platform's list of instances and replicas, in the format of the stand-in.

use std::collections::BTreeMap;

use serde::Serialize;

/// Body of `POST /control/list`.
#[derive(Debug, Clone, Default, Serialize)]
pub struct List {
    /// Entry instances.
    pub instances: Vec<Instance>,
    /// Backend servers.
    pub replicas: Vec<Replica>,
    /// Addresses that replace the usual ones for a requester, by requester and name.
    pub views: BTreeMap<String, BTreeMap<String, String>>,
    /// Lag in milliseconds after which a change of the list becomes visible.
    pub lag_ms: u64,
}

/// An entry instance on the list.
#[derive(Debug, Clone, Serialize)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Address for other daemons.
    pub peer: String,
    /// Address for callers.
    pub caller: String,
    /// Whether it is leaving.
    pub state: State,
}

/// A backend server on the list.
#[derive(Debug, Clone, Serialize)]
pub struct Replica {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its address.
    pub address: String,
    /// The model or plain application it serves.
    pub service: String,
    /// `prefill`, `decode` or `plain`.
    pub role: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it refuses lower fencing numbers.
    pub fences: bool,
    /// Whether it is leaving.
    pub state: State,
}

/// Whether the platform removes an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In service.
    Live,
    /// Marked as leaving.
    Leaving,
}

impl List {
    /// Sets the state of the entry `name`. Returns whether it exists.
    pub fn mark(&mut self, name: &str, state: State) -> bool {
        let instances = self
            .instances
            .iter_mut()
            .map(|entry| (&entry.name, &mut entry.state));
        let replicas = self
            .replicas
            .iter_mut()
            .map(|entry| (&entry.name, &mut entry.state));
        match instances.chain(replicas).find(|(entry, _)| *entry == name) {
            Some((_, current)) => {
                *current = state;
                true
            }
            None => false,
        }
    }

    /// Removes the entry `name`. Returns whether it existed.
    pub fn remove(&mut self, name: &str) -> bool {
        let before = self.instances.len() + self.replicas.len();
        self.instances.retain(|entry| entry.name != name);
        self.replicas.retain(|entry| entry.name != name);
        before != self.instances.len() + self.replicas.len()
    }
}
