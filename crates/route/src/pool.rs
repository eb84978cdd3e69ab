//! The replicas of a pool in an arena, with ordered indexes of free capacity.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use ident::Handle;
use ident::Replica;
use ident::Time;
use ident::Zone;

use crate::hash::Map;
use crate::replica::Member;
use crate::replica::Role;
use crate::server::ReplicaKey;
use crate::server::Server;

/// The replicas of a pool and their indexes.
#[derive(Debug, Default)]
pub struct Pool {
    servers: Vec<Server>,
    keys: Map<Replica, ReplicaKey>,
    prefills: BTreeSet<(Time, ReplicaKey)>,
    decodes: BTreeMap<Zone, BTreeSet<(Reverse<i64>, ReplicaKey)>>,
    plains: BTreeSet<(u32, ReplicaKey)>,
    net_free_slots: i64,
    open_prefills: u32,
    open_slots: u32,
    open_decodes: u32,
}

impl Pool {
    /// The key of `replica`.
    pub fn key(&self, replica: Replica) -> Option<ReplicaKey> {
        self.keys.get(&replica).copied()
    }

    /// The state of the replica `key`.
    pub fn get(&self, key: ReplicaKey) -> &Server {
        &self.servers[key.0 as usize]
    }

    /// All replicas, including closed ones.
    pub fn iter(&self) -> impl Iterator<Item = (ReplicaKey, &Server)> {
        self.servers
            .iter()
            .enumerate()
            .map(|(i, server)| (ReplicaKey(i as u32), server))
    }

    /// Open prefill replicas, the first to be ready first.
    pub fn prefills(&self) -> impl Iterator<Item = (Time, ReplicaKey)> + '_ {
        self.prefills.iter().copied()
    }

    /// Open decode replicas of each data centre, the one with the most free slots first.
    pub fn decodes(
        &self,
    ) -> impl Iterator<Item = (Zone, impl Iterator<Item = ReplicaKey> + '_)> + '_ {
        self.decodes
            .iter()
            .map(|(zone, set)| (*zone, set.iter().map(|(_, key)| *key)))
    }

    /// Open plain replicas, the least loaded first.
    pub fn plains(&self) -> impl Iterator<Item = (u32, ReplicaKey)> + '_ {
        self.plains.iter().copied()
    }

    /// Free slots of all open decode replicas, less those claimed beyond a replica's slots.
    pub const fn net_free_slots(&self) -> i64 {
        self.net_free_slots
    }

    /// Number of open prefill replicas.
    pub const fn open_prefills(&self) -> u32 {
        self.open_prefills
    }

    /// Number of open decode replicas.
    pub const fn open_decodes(&self) -> u32 {
        self.open_decodes
    }

    /// Total slots of open decode replicas.
    pub const fn open_slots(&self) -> u32 {
        self.open_slots
    }

    /// Adds or updates `member`.
    pub fn insert(&mut self, member: Member, rate: f64) -> ReplicaKey {
        if let Some(key) = self.key(member.replica) {
            self.update(key, |server| {
                server.member = member;
                server.listed = true;
            });
            return key;
        }
        let key = ReplicaKey(self.servers.len() as u32);
        self.servers.push(Server::new(member, rate));
        self.keys.insert(member.replica, key);
        self.index(key);
        key
    }

    /// Applies `change` to a replica and updates the indexes.
    pub fn update(&mut self, key: ReplicaKey, change: impl FnOnce(&mut Server)) {
        self.unindex(key);
        let server = &mut self.servers[key.0 as usize];
        change(server);
        server.refresh();
        self.index(key);
    }

    /// Queues a prefill on a replica.
    pub fn push_prefill(
        &mut self,
        now: Time,
        key: ReplicaKey,
        handle: Handle,
        prefill_time: Duration,
    ) {
        self.update(key, |server| server.push_prefill(now, handle, prefill_time));
    }

    /// Removes a prefill, ended or not; returns how long it ran if it was the running one.
    pub fn remove_prefill(
        &mut self,
        now: Time,
        key: ReplicaKey,
        handle: Handle,
    ) -> Option<Duration> {
        let mut ran = None;
        self.update(key, |server| ran = server.remove_prefill(now, handle));
        ran
    }

    fn index(&mut self, key: ReplicaKey) {
        let server = &self.servers[key.0 as usize];
        if !server.is_open() {
            return;
        }
        match server.member.role {
            Role::Prefill => {
                self.open_prefills += 1;
                self.prefills.insert((server.ready(), key));
            }
            Role::Decode => {
                self.open_slots += server.member.slots;
                self.open_decodes += 1;
                self.net_free_slots += server.free_slots();
                let entry = (Reverse(server.free_slots()), key);
                self.decodes
                    .entry(server.member.zone)
                    .or_default()
                    .insert(entry);
            }
            Role::Plain => {
                self.plains.insert((server.load(), key));
            }
        }
    }

    fn unindex(&mut self, key: ReplicaKey) {
        let server = &self.servers[key.0 as usize];
        if !server.is_open() {
            return;
        }
        match server.member.role {
            Role::Prefill => {
                self.open_prefills -= 1;
                self.prefills.remove(&(server.ready(), key));
            }
            Role::Decode => {
                self.open_slots -= server.member.slots;
                self.open_decodes -= 1;
                self.net_free_slots -= server.free_slots();
                if let Some(set) = self.decodes.get_mut(&server.member.zone) {
                    set.remove(&(Reverse(server.free_slots()), key));
                }
            }
            Role::Plain => {
                self.plains.remove(&(server.load(), key));
            }
        }
    }
}
