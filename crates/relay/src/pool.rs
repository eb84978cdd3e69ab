//! What this daemon knows of the replicas, and which one is to serve a request.

use std::cell::Cell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use ident::Time;
use rapidhash::v3::rapidhash_v3;
use slotmap::SlotMap;

use crate::balance::Counts;
use crate::replica::Delta;
use crate::replica::Lapsing;
use crate::replica::Load;
use crate::replica::Replica;
use crate::replica::Snapshot;
use crate::replica::Stage;
use crate::replica::Update;
use crate::score;
use crate::score::Want;
use crate::server::Key;
use crate::server::Server;

/// How long after an outage of the list a replica that vanished from it is still used: entries that
/// lapsed meanwhile are back within two seconds, and one that left may get nothing after that.
const LAPSE_GRACE: Duration = Duration::from_millis(1_900);
/// Replicas no longer listed that are remembered for peers; a fleet of 930 replaces some hundred a day.
const MAX_GONE: usize = 2_000;
/// Part of the objective up to which reads may last without any being left to decode replicas. An
/// unloaded replica takes a quarter of it.
const SLOW_FROM: f64 = 0.4;
/// Part of the objective from which on as few as possible are sent.
const SLOW_TO: f64 = 0.7;
/// Most that is left to decode replicas; the rest tells when it is better again.
const MAX_OWN_READS: f64 = 0.85;
/// A change of what this daemon believes of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Id of the replica.
    pub id: String,
    /// What it is now.
    pub now: Belief,
}

/// What this daemon believes of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Belief {
    /// It may be sent requests.
    Ready,
    /// It takes nothing new.
    Draining,
    /// The list lacks it after an outage; it is used until that is settled.
    Lapsed,
    /// It is gone.
    Gone,
}

/// All replicas that this daemon knows.
#[derive(Debug, Default)]
pub struct Pool {
    servers: SlotMap<Key, Server>,
    by_id: HashMap<String, Key>,
    version: u64,
    outage: Option<Time>,
    memory: HashMap<String, u64>,
    /// Hash of the list, until the list changes.
    digest: Cell<Option<u64>>,
    gone: Gone,
}

/// Replicas that are no longer listed, so that peers can be told of changes alone.
#[derive(Debug, Default)]
struct Gone {
    /// Ids with the version at which they were missing, in order.
    ids: VecDeque<(u64, String)>,
    /// The version from which on `ids` is complete.
    since: u64,
}

impl Gone {
    fn push(&mut self, version: u64, id: &str) {
        self.ids.push_back((version, id.to_owned()));
        if self.ids.len() > MAX_GONE {
            let dropped = self.ids.pop_front();
            self.since = dropped.map_or(self.since, |(version, _)| version);
        }
    }
}

impl Pool {
    /// An empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Version of the store that the pool stands at.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Hash of the replicas as they are listed; equal lists give equal hashes in every daemon.
    pub fn digest(&self) -> u64 {
        let digest = self.digest.get().unwrap_or_else(|| self.hash());
        self.digest.set(Some(digest));
        digest
    }

    fn hash(&self) -> u64 {
        let servers = self.servers.values();
        let listed = servers.filter(|server| server.lapses.is_none());
        let mut replicas: Vec<&Replica> = listed.map(|server| &server.replica).collect();
        replicas.sort_by(|left, right| left.id.cmp(&right.id));
        let texts = replicas.into_iter().map(|replica| format!("{replica:?}"));
        rapidhash_v3(texts.collect::<String>().as_bytes())
    }

    /// Notes that a peer whose list equals this daemon's has it from `version`.
    pub fn confirm(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    /// The replica behind `key`, unless it is forgotten.
    pub fn get(&self, key: Key) -> Option<&Server> {
        self.servers.get(key)
    }

    /// All replicas that are listed.
    pub fn replicas(&self) -> impl Iterator<Item = &Replica> + '_ {
        let listed = self.servers.values().filter(|s| s.lapses.is_none());
        listed.map(|server| &server.replica)
    }

    /// What a peer is told whose list is of the version `since`: what changed, if that is known.
    pub fn update(&self, now: Time, since: u64) -> Update {
        if since < self.gone.since {
            return Update::All(self.snapshot(now));
        }
        let servers = self.servers.values();
        let changed = servers.filter(|server| server.changed > since && server.lapses.is_none());
        let gone = self.gone.ids.iter().filter(|(version, _)| *version > since);
        Update::Changed(Delta {
            since,
            version: self.version,
            replicas: changed.map(|server| server.replica.clone()).collect(),
            gone: gone.map(|(_, id)| id.clone()).collect(),
            lapsing: self.lapsing(now),
        })
    }

    /// All replicas, for a peer that has none.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        Snapshot {
            version: self.version,
            replicas: self.replicas().cloned().collect(),
            lapsing: self.lapsing(now),
        }
    }

    fn lapsing(&self, now: Time) -> Vec<Lapsing> {
        let servers = self.servers.values();
        let lapsing = servers.filter_map(|server| {
            let until = server.lapses.filter(|until| now < *until)?;
            Some(Lapsing {
                replica: server.replica.clone(),
                left: until.since(now),
            })
        });
        lapsing.collect()
    }

    /// Replicas of `service` that take requests, by stage.
    pub fn counts(&self, now: Time, service: &str) -> Counts {
        let count = |stage| {
            let servers = self.servers.values();
            let fitting = servers.filter(|server| {
                server.usable(now)
                    && server.replica.service == service
                    && server.replica.stage == Some(stage)
            });
            fitting.count()
        };
        Counts {
            prefill: count(Stage::Prefill),
            decode: count(Stage::Decode),
        }
    }

    /// Whether any replica is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Notes that the list could not be read at `now`.
    pub const fn note_outage(&mut self, now: Time) {
        self.outage = Some(now);
    }

    /// Sets the tokens that one engine of `service` holds.
    pub fn set_memory(&mut self, service: &str, tokens: u64) {
        self.memory.insert(service.to_owned(), tokens);
    }

    /// Takes news; `None` if they are older than what was taken before, or change a version that is
    /// not reached yet.
    pub fn take(&mut self, now: Time, update: &Update) -> Option<Vec<Change>> {
        match update {
            Update::All(snapshot) => self.apply(now, snapshot),
            Update::Changed(delta) => self.apply_delta(now, delta),
        }
    }

    /// Takes a list; one that is older than a list taken before is ignored (`None`).
    pub fn apply(&mut self, now: Time, snapshot: &Snapshot) -> Option<Vec<Change>> {
        if snapshot.version < self.version {
            return None;
        }
        if self.servers.is_empty() {
            self.gone.since = snapshot.version;
        }
        self.reach(snapshot.version);
        let mut changes = Vec::new();
        for replica in &snapshot.replicas {
            self.list(now, replica, &mut changes);
        }
        for lapsing in &snapshot.lapsing {
            self.lapse(now, lapsing, &mut changes);
        }
        let listed: HashSet<&str> = snapshot.replicas.iter().map(|r| r.id.as_str()).collect();
        self.drop_where(now, |id| !listed.contains(id), &mut changes);
        Some(changes)
    }

    /// Takes changes; `None` if they are older than what was taken before, or change a version that is
    /// not reached yet.
    pub fn apply_delta(&mut self, now: Time, delta: &Delta) -> Option<Vec<Change>> {
        if delta.version < self.version || delta.since > self.version {
            return None;
        }
        self.reach(delta.version);
        let mut changes = Vec::new();
        for replica in &delta.replicas {
            self.list(now, replica, &mut changes);
        }
        for lapsing in &delta.lapsing {
            self.lapse(now, lapsing, &mut changes);
        }
        let gone: HashSet<&str> = delta.gone.iter().map(String::as_str).collect();
        self.drop_where(now, |id| gone.contains(id), &mut changes);
        Some(changes)
    }

    fn reach(&mut self, version: u64) {
        self.version = version;
        self.digest.set(None);
    }

    /// Notes that another replica answered at the address of `key`.
    pub fn replaced(&mut self, key: Key) {
        if let Some(server) = self.servers.get_mut(key) {
            server.replaced = true;
        }
    }

    /// Notes that a request of `tokens` is sent to `key`.
    pub fn begin(&mut self, key: Key, tokens: u64) {
        if let Some(server) = self.servers.get_mut(key) {
            server.begin(tokens);
        }
    }

    /// Notes that a request of `tokens` sent to `key` is over there.
    pub fn end(&mut self, key: Key, tokens: u64) {
        if let Some(server) = self.servers.get_mut(key) {
            server.end(tokens);
        }
    }

    /// Notes whether a send to `key` failed.
    pub fn note(&mut self, now: Time, key: Key, failed: bool) {
        if let Some(server) = self.servers.get_mut(key) {
            server.note(now, failed);
        }
    }

    /// Notes that `key` took `took` to read a prompt.
    pub fn note_read(&mut self, now: Time, key: Key, took: Duration) {
        if let Some(server) = self.servers.get_mut(key) {
            server.note_read(now, took);
        }
    }

    /// Notes that `key` took `took` for `units` of work; units are alike for all replicas of one
    /// stage of a service.
    pub fn note_pace(&mut self, now: Time, key: Key, took: Duration, units: f64) {
        if let Some(server) = self.servers.get_mut(key) {
            server.note_pace(now, took.as_secs_f64() / units.max(1.0));
        }
    }

    /// Part of the prompts that a decode replica is to read itself, since the prefill replica `key`
    /// takes long against `objective`.
    pub fn own_reads(&self, now: Time, key: Key, objective: Duration) -> f64 {
        let Some(server) = self.servers.get(key) else {
            return 0.0;
        };
        let read = server.read_time(now).unwrap_or_default();
        let part = read.as_secs_f64() / objective.as_secs_f64().max(f64::EPSILON);
        let slow = (part - SLOW_FROM) / (SLOW_TO - SLOW_FROM);
        slow.max(server.failure_share(now))
            .clamp(0.0, MAX_OWN_READS)
    }

    /// Notes that `key` had no room.
    pub fn full(&mut self, now: Time, key: Key) {
        if let Some(server) = self.servers.get_mut(key) {
            server.note_full(now);
        }
    }

    /// Takes the load that `key` told.
    pub fn told(&mut self, now: Time, key: Key, load: Load) {
        if let Some(server) = self.servers.get_mut(key) {
            server.told(now, load);
        }
    }

    /// The replica for `want` with the lowest score, `None` if there is none.
    ///
    /// `draw` gives evenly distributed numbers in `0.0..1.0`.
    pub fn choose(&self, now: Time, want: &Want<'_>, draw: impl Fn() -> f64) -> Option<Key> {
        let fitting = self.servers.iter();
        let fitting: Vec<(Key, &Server)> = fitting
            .filter(|(key, server)| want.fits(now, *key, server))
            .collect();
        let memory = self.memory.get(want.service).copied();
        score::best(now, want, &fitting, memory, draw)
    }

    fn list(&mut self, now: Time, replica: &Replica, changes: &mut Vec<Change>) {
        let belief = if replica.draining {
            Belief::Draining
        } else {
            Belief::Ready
        };
        match self.by_id.get(&replica.id).copied() {
            Some(key) => {
                let server = &mut self.servers[key];
                let same = server.replica.draining == replica.draining && server.lapses.is_none();
                if server.replica != *replica || server.lapses.is_some() {
                    server.changed = self.version;
                }
                server.replica = replica.clone();
                server.lapses = None;
                if same {
                    return;
                }
            }
            None => {
                let server = Server::new(replica.clone(), self.version, now);
                let key = self.servers.insert(server);
                self.by_id.insert(replica.id.clone(), key);
            }
        }
        changes.push(Change {
            id: replica.id.clone(),
            now: belief,
        });
    }

    /// Takes over from a peer that a replica is lapsing.
    fn lapse(&mut self, now: Time, lapsing: &Lapsing, changes: &mut Vec<Change>) {
        let id = &lapsing.replica.id;
        let key = match self.by_id.get(id) {
            Some(key) => *key,
            None => {
                let server = Server::new(lapsing.replica.clone(), self.version, now);
                let key = self.servers.insert(server);
                self.by_id.insert(id.clone(), key);
                key
            }
        };
        let server = &mut self.servers[key];
        if server.lapses.is_none() {
            server.lapses = Some(now + lapsing.left);
            changes.push(Change {
                id: id.clone(),
                now: Belief::Lapsed,
            });
        }
    }

    /// Drops the replicas that are `missing` from the list; after an outage they are used a while
    /// longer, and those are dropped whose time is over.
    fn drop_where(&mut self, now: Time, missing: impl Fn(&str) -> bool, changes: &mut Vec<Change>) {
        let outage = self.outage.map(|outage| outage + LAPSE_GRACE);
        let returns_until = outage.filter(|until| now < *until);
        let mut gone = Vec::new();
        for (key, server) in &mut self.servers {
            let id = server.replica.id.as_str();
            match (server.lapses, returns_until) {
                (Some(until), _) if now < until => {}
                (None, _) if !missing(id) => {}
                (None, Some(until)) if !server.replica.draining => {
                    server.lapses = Some(until);
                    changes.push(Change {
                        id: id.to_owned(),
                        now: Belief::Lapsed,
                    });
                }
                _ => gone.push(key),
            }
        }
        for key in gone {
            if let Some(server) = self.servers.remove(key) {
                self.by_id.remove(&server.replica.id);
                self.gone.push(self.version, &server.replica.id);
                changes.push(Change {
                    id: server.replica.id,
                    now: Belief::Gone,
                });
            }
        }
    }
}
