//! What this daemon knows of the replicas, and which one is to serve a request.

use std::collections::HashMap;
use std::time::Duration;

use ident::Time;
use ident::Zone;
use rapidhash::v3::rapidhash_v3;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::balance::Counts;
use crate::replica::Lapsing;
use crate::replica::Load;
use crate::replica::Replica;
use crate::replica::Snapshot;
use crate::replica::Stage;

new_key_type! {
    /// A replica in the pool.
    pub struct Key;
}

/// How long after an outage of the list a replica that vanished from it is still used: entries that
/// lapsed meanwhile are back within two seconds, and one that left may get nothing after that.
const LAPSE_GRACE: Duration = Duration::from_millis(1_900);
/// How long a told load counts; it fades out linearly. Replicas answer several times as often.
const LOAD_AGE: Duration = Duration::from_secs(2);
/// Time in which the share of failures falls to a third without further sends.
const FAILURE_FADE: Duration = Duration::from_secs(4);
/// Weight of the newest send in the share of failures.
const FAILURE_STEP: f64 = 0.35;
/// Places' worth of load that a share of failures of 1 counts for.
const FAILURE_WEIGHT: f64 = 3.0;
/// Places' worth of load that a replica of another data centre counts for more: bytes between
/// data centres are paid for.
const DISTANCE: f64 = 0.3;
/// Places' worth of load that a replica which is still slow after its start counts for more.
const COLD: f64 = 0.5;
/// Spread of the random part of a score; keeps daemons from choosing alike.
const JITTER: f64 = 0.05;
/// Weight of the newest read in the mean time of reads.
const READ_STEP: f64 = 0.4;
/// How long the mean time of reads counts without a further read.
const READ_AGE: Duration = Duration::from_secs(2);
/// Part of the objective up to which reads may last without any being left to decode replicas. An
/// unloaded replica takes a quarter of it.
const SLOW_FROM: f64 = 0.4;
/// Part of the objective from which on as few as possible are sent.
const SLOW_TO: f64 = 0.7;
/// Most that is left to decode replicas; the rest tells when it is better again.
const MAX_OWN_READS: f64 = 0.85;
/// Tokens that a request of another daemon is taken for.
const USUAL_TOKENS: f64 = 5_000.0;
/// How long a replica that had no room is asked after those that were not asked.
const FULL_AGE: Duration = Duration::from_millis(200);
/// Places' worth of load that it counts for.
const FULL: f64 = 1.0;

/// One replica and what this daemon has learnt of it.
#[derive(Debug, Clone)]
pub struct Server {
    /// As the platform lists it.
    pub replica: Replica,
    /// Requests of this daemon that it is at work on.
    pub in_flight: u32,
    /// Tokens of these requests.
    pub tokens: u64,
    /// Requests of others that it told of last, and when.
    foreign: Option<(u32, Time)>,
    /// Share of failures among the last sends, and when it was brought up to date.
    failures: (f64, Time),
    /// Mean time that it took to read a prompt, queue included, and when the last one was read.
    read: Option<(Duration, Time)>,
    /// When it last had no room.
    full: Option<Time>,
    /// Whether a replica with another id answered at its address.
    replaced: bool,
    /// Until when it is used though the list lacks it.
    lapses: Option<Time>,
}

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

/// What a request asks of a replica.
#[derive(Debug, Clone, Copy)]
pub struct Want<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Part in serving a model; `None` for a plain application.
    pub stage: Option<Stage>,
    /// Replicas that it was sent to before.
    pub tried: &'a [Key],
    /// Data centre of this daemon.
    pub near: Zone,
}

/// All replicas that this daemon knows.
#[derive(Debug, Default)]
pub struct Pool {
    servers: SlotMap<Key, Server>,
    by_id: HashMap<String, Key>,
    version: u64,
    outage: Option<Time>,
    memory: HashMap<String, u64>,
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

    /// What a peer is told that has an older list.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        let servers = self.servers.values();
        let lapsing = servers.filter_map(|server| {
            let until = server.lapses.filter(|until| now < *until)?;
            Some(Lapsing {
                replica: server.replica.clone(),
                left: until.since(now),
            })
        });
        Snapshot {
            version: self.version,
            replicas: self.replicas().cloned().collect(),
            lapsing: lapsing.collect(),
        }
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

    /// Takes a list; one that is older than a list taken before is ignored (`None`).
    pub fn apply(&mut self, now: Time, snapshot: &Snapshot) -> Option<Vec<Change>> {
        if snapshot.version < self.version {
            return None;
        }
        self.version = snapshot.version;
        let mut changes = Vec::new();
        for replica in &snapshot.replicas {
            self.list(now, replica, &mut changes);
        }
        for lapsing in &snapshot.lapsing {
            self.lapse(now, lapsing, &mut changes);
        }
        self.drop_missing(now, snapshot, &mut changes);
        Some(changes)
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
            server.in_flight += 1;
            server.tokens += tokens;
        }
    }

    /// Notes that a request of `tokens` sent to `key` is over there.
    pub fn end(&mut self, key: Key, tokens: u64) {
        if let Some(server) = self.servers.get_mut(key) {
            server.in_flight = server.in_flight.saturating_sub(1);
            server.tokens = server.tokens.saturating_sub(tokens);
        }
    }

    /// Notes whether a send to `key` failed.
    pub fn note(&mut self, now: Time, key: Key, failed: bool) {
        if let Some(server) = self.servers.get_mut(key) {
            let share = server.failure_share(now);
            let sample = if failed { 1.0 } else { 0.0 };
            server.failures = (share + FAILURE_STEP * (sample - share), now);
        }
    }

    /// Notes that `key` took `took` to read a prompt.
    pub fn note_read(&mut self, now: Time, key: Key, took: Duration) {
        if let Some(server) = self.servers.get_mut(key) {
            let mean = server.read_time(now).unwrap_or(took);
            let mean = mean.mul_f64(1.0 - READ_STEP) + took.mul_f64(READ_STEP);
            server.read = Some((mean, now));
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
            server.full = Some(now);
        }
    }

    /// Takes the load that `key` told.
    pub fn told(&mut self, now: Time, key: Key, load: Load) {
        if let Some(server) = self.servers.get_mut(key) {
            let others = (load.running + load.waiting).saturating_sub(server.in_flight);
            server.foreign = Some((others, now));
        }
    }

    /// The replica for `want` with the lowest score, untried ones first; `None` if there is none.
    ///
    /// `draw` gives evenly distributed numbers in `0.0..1.0`.
    pub fn choose(&self, now: Time, want: &Want<'_>, draw: impl Fn() -> f64) -> Option<Key> {
        let fitting = self.servers.iter().filter(|(key, server)| {
            server.usable(now)
                && server.replica.service == want.service
                && server.replica.stage == want.stage
                && !want.tried.contains(key)
        });
        let scored = fitting.map(|(key, server)| {
            let score = self.score(now, want, server) + draw() * JITTER;
            (key, score)
        });
        let best = scored.min_by(|(_, left), (_, right)| left.total_cmp(right));
        best.map(|(key, _)| key)
    }

    /// Load by places, raised by what speaks against the replica.
    fn score(&self, now: Time, want: &Want<'_>, server: &Server) -> f64 {
        let replica = &server.replica;
        let near = replica.data_centre == want.near;
        let distance = if near { 0.0 } else { DISTANCE };
        let cold = if replica.cold { COLD } else { 0.0 };
        let full = server.full.is_some_and(|at| now.since(at) < FULL_AGE);
        let full = if full { FULL } else { 0.0 };
        self.used(now, server) + full + FAILURE_WEIGHT * server.failure_share(now) + distance + cold
    }

    /// Part of the replica that is in use: of its memory for a decode replica, else of its places.
    fn used(&self, now: Time, server: &Server) -> f64 {
        let slots = f64::from(server.replica.slots.max(1));
        let load = server.load(now);
        match server.replica.stage {
            None => load / slots,
            Some(Stage::Prefill) => load,
            Some(Stage::Decode) => match self.memory.get(&server.replica.service) {
                Some(memory) => {
                    let others = (load - f64::from(server.in_flight)) * USUAL_TOKENS;
                    (server.tokens as f64 + others) / (*memory as f64)
                }
                None => load / slots,
            },
        }
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
                server.replica = replica.clone();
                server.lapses = None;
                if same {
                    return;
                }
            }
            None => {
                let key = self.servers.insert(Server::new(replica.clone(), now));
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
                let key = self
                    .servers
                    .insert(Server::new(lapsing.replica.clone(), now));
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

    fn drop_missing(&mut self, now: Time, snapshot: &Snapshot, changes: &mut Vec<Change>) {
        let listed: Vec<&str> = snapshot.replicas.iter().map(|r| r.id.as_str()).collect();
        let outage = self.outage.map(|outage| outage + LAPSE_GRACE);
        let returns_until = outage.filter(|until| now < *until);
        let mut gone = Vec::new();
        for (key, server) in &mut self.servers {
            let id = server.replica.id.as_str();
            match (server.lapses, returns_until) {
                _ if listed.contains(&id) => {}
                (Some(until), _) if now < until => {}
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
                changes.push(Change {
                    id: server.replica.id,
                    now: Belief::Gone,
                });
            }
        }
    }
}

impl Server {
    const fn new(replica: Replica, now: Time) -> Self {
        Self {
            replica,
            in_flight: 0,
            tokens: 0,
            foreign: None,
            read: None,
            full: None,
            failures: (0.0, now),
            replaced: false,
            lapses: None,
        }
    }

    fn usable(&self, now: Time) -> bool {
        let listed = self.lapses.is_none_or(|until| now < until);
        listed && !self.replica.draining && !self.replaced
    }

    /// Mean time of reads, if one ended a short time ago.
    fn read_time(&self, now: Time) -> Option<Duration> {
        let (mean, at) = self.read?;
        (now.since(at) < READ_AGE).then_some(mean)
    }

    /// Requests at work here, those of other daemons among them as far as they are known.
    fn load(&self, now: Time) -> f64 {
        let foreign = self.foreign.map_or(0.0, |(count, told)| {
            let age = now.since(told).as_secs_f64() / LOAD_AGE.as_secs_f64();
            f64::from(count) * (1.0 - age).max(0.0)
        });
        f64::from(self.in_flight) + foreign
    }

    /// Share of failures among the last sends; fades while nothing is sent.
    pub fn failure_share(&self, now: Time) -> f64 {
        let (share, at) = self.failures;
        share * (-now.since(at).as_secs_f64() / FAILURE_FADE.as_secs_f64()).exp()
    }
}
