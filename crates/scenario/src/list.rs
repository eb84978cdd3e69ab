//! The platform's list of instances and replicas, as the stand-in takes it.

use std::collections::BTreeMap;

use serde::Serialize;

/// Body of `POST /control/list`.
#[derive(Debug, Clone, Default, Serialize)]
pub struct List {
    /// Entry instances.
    pub instances: Vec<Instance>,
    /// Backend servers.
    pub replicas: Vec<Replica>,
    /// Addresses that one asker is given in place of the usual ones: asker, name, address.
    pub views: BTreeMap<String, BTreeMap<String, String>>,
    /// How late a change of the list shows.
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
    /// Whether it leaves.
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
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it refuses old fencing numbers.
    pub fences: bool,
    /// Whether it leaves.
    pub state: State,
}

/// Whether the platform takes an entry away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Stays.
    Live,
    /// Is marked as leaving.
    Leaving,
}

impl List {
    /// Sets the state of the entry `name`; whether there is one.
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
            Some((_, place)) => {
                *place = state;
                true
            }
            None => false,
        }
    }

    /// Removes the entry `name`; whether there was one.
    pub fn remove(&mut self, name: &str) -> bool {
        let before = self.instances.len() + self.replicas.len();
        self.instances.retain(|entry| entry.name != name);
        self.replicas.retain(|entry| entry.name != name);
        before != self.instances.len() + self.replicas.len()
    }
}
