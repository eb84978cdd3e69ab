//! Names and addresses of instances, replicas and data centres.
//!
//! They come from the settings and the platform's list; the core itself handles only keys.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::RwLockReadGuard;
use std::sync::RwLockWriteGuard;

use ident::Instance;
use ident::Replica;
use ident::Zone;

use crate::config::Config;

/// Name and peer address of another daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Its peer address.
    pub address: SocketAddr,
}

/// Name, address and kind of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// The service it serves.
    pub service: String,
    /// Whether it is a model engine; a plain application otherwise.
    pub engine: bool,
}

#[derive(Debug, Default)]
struct Entries {
    seeds: HashMap<Instance, Peer>,
    peers: HashMap<Instance, Peer>,
    backends: HashMap<Replica, Backend>,
    zones: HashMap<Zone, String>,
}

/// Names and addresses of instances, replicas and data centres by key.
#[derive(Debug)]
pub struct Directory {
    entries: RwLock<Entries>,
}

impl Directory {
    /// A directory with the seeds and the data centre of `config`.
    pub fn new(config: &Config) -> Self {
        let seeds = config.seeds.iter().map(|seed| {
            let peer = Peer {
                name: seed.name.clone(),
                address: seed.address,
            };
            (Instance::new(&seed.name), peer)
        });
        let zone = (Zone::new(&config.data_centre), config.data_centre.clone());
        let entries = Entries {
            seeds: seeds.collect(),
            zones: HashMap::from([zone]),
            ..Entries::default()
        };
        Self {
            entries: RwLock::new(entries),
        }
    }

    /// Replaces the entries of the previous list; known data centres are kept.
    pub fn replace(
        &self,
        peers: HashMap<Instance, Peer>,
        backends: HashMap<Replica, Backend>,
        zones: impl IntoIterator<Item = String>,
    ) {
        let mut entries = self.write();
        entries.peers = peers;
        entries.backends = backends;
        entries
            .zones
            .extend(zones.into_iter().map(|name| (Zone::new(&name), name)));
    }

    /// The peer address of `instance`, from the list or else from the seeds.
    pub fn peer(&self, instance: Instance) -> Option<Peer> {
        let entries = self.read();
        entries
            .peers
            .get(&instance)
            .or_else(|| entries.seeds.get(&instance))
            .cloned()
    }

    /// The address and kind of `replica`.
    pub fn backend(&self, replica: Replica) -> Option<Backend> {
        self.read().backends.get(&replica).cloned()
    }

    /// The name of `zone`, or its key in hexadecimal if the name is unknown.
    pub fn zone(&self, zone: Zone) -> String {
        self.read()
            .zones
            .get(&zone)
            .cloned()
            .unwrap_or_else(|| zone.to_string())
    }

    fn read(&self) -> RwLockReadGuard<'_, Entries> {
        self.entries.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> RwLockWriteGuard<'_, Entries> {
        self.entries.write().unwrap_or_else(PoisonError::into_inner)
    }
}
