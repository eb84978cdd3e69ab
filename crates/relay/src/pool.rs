//! What this daemon knows of the replicas, and which one is to serve a request.

mod incarnation;
mod list;

use std::cell::Cell;
use std::collections::HashMap;
use std::time::Duration;

use ident::Time;
use rapidhash::v3::rapidhash_v3;
use slotmap::SecondaryMap;
use slotmap::SlotMap;

use crate::balance::Counts;
use crate::claims::Claims;
use crate::claims::Reading;
use crate::gone::Gone;
use crate::replica::Load;
use crate::replica::Replica;
use crate::replica::Stage;
use crate::runs::Runs;
use crate::score;
use crate::score::Want;
use crate::server::Key;
use crate::server::Server;

/// Part of the objective up to which reads may last without any being left to decode replicas. An
/// unloaded replica takes a quarter of it.
const SLOW_FROM: f64 = 0.7;
/// Part of the objective from which on as few as possible are sent.
const SLOW_TO: f64 = 1.0;
/// Part of the replicas that may be silent at once if it is they, and not this daemon, that are cut off.
const MAX_SILENT: f64 = 0.5;
/// Weight of the newest read in the mean pace of a service's replicas.
const READ_PACE_STEP: f64 = 0.05;
/// Most that is left to decode replicas; the rest tells when it is better again.
const MAX_OWN_READS: f64 = 0.85;

/// Replicas that are weighed for one request, drawn anew each time where there are more; the best of
/// so many is among the best fiftieth of all, and weighing 930 took 77 us in place of 16.
const MAX_WEIGHED: usize = 64;
/// All replicas that this daemon knows.
#[derive(Debug, Default)]
pub struct Pool {
    servers: SlotMap<Key, Server>,
    by_id: HashMap<String, Key>,
    /// Mean seconds that a token of a prompt takes, by service.
    read_paces: HashMap<String, f64>,
    /// Hashes of incarnations that ended while their replica started again; at most one a slot of `servers`.
    restarted: SecondaryMap<Key, u64>,
    version: u64,
    outage: Option<Time>,
    memory: HashMap<String, u64>,
    /// Hash of the list, until the list changes.
    digest: Cell<Option<u64>>,
    gone: Gone,
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

    /// Tokens that one engine of `service` holds; `None` if that is not known.
    pub fn memory(&self, service: &str) -> Option<u64> {
        self.memory.get(service).copied()
    }

    /// Brings what the runs at `key` will hold up to date, from this daemon's own `runs` and the
    /// `claims` of others.
    pub fn foresee(&mut self, now: Time, key: Key, runs: &Runs, claims: &Claims) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.expect(claims.others(now, server.hash));
        for (id, entry) in runs.iter().filter(|(_, entry)| entry.server == key) {
            server.add_run(&runs.curve(now, id), entry.is_read());
        }
    }

    /// The same for all replicas that make tokens.
    pub fn foresee_all(&mut self, now: Time, runs: &Runs, claims: &Claims) {
        self.take_readings(now, claims);
        let told = claims.all_others(now);
        for server in self.servers.values_mut() {
            let others = told.get(&server.hash);
            server.expect(others.copied().unwrap_or_default());
        }
        for (id, entry) in runs.iter() {
            if let Some(server) = self.servers.get_mut(entry.server) {
                server.add_run(&runs.curve(now, id), entry.is_read());
            }
        }
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

    /// Tokens that `key` is to read, as far as is known.
    pub fn queued(&self, key: Key) -> u64 {
        self.servers.get(key).map_or(0, Server::queued)
    }

    /// Notes that `key` took `took` to read `tokens`, those that waited before them included.
    pub fn note_read(&mut self, now: Time, key: Key, took: Duration, tokens: u64) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let seconds = took.as_secs_f64() / tokens.max(1) as f64;
        server.note_read(now, seconds);
        let mean = self.read_paces.entry(server.replica.service.clone());
        let mean = mean.or_insert(seconds);
        *mean += READ_PACE_STEP * (seconds - *mean);
    }

    /// Time that `key` will take to read a prompt of `tokens`, by what it is to read before; `None` if
    /// no prompt was read yet.
    pub fn read_time(&self, now: Time, key: Key, tokens: u64) -> Option<Duration> {
        let server = self.servers.get(key)?;
        let usual = self.read_paces.get(&server.replica.service).copied();
        let pace = server.read_pace(now).or(usual)?;
        Some(Duration::from_secs_f64(
            pace * (server.queued() + tokens) as f64,
        ))
    }

    /// Takes what other daemons have sent to be read.
    pub fn take_readings(&mut self, now: Time, claims: &Claims) {
        let unread = claims.unread(now);
        let told = |hash| {
            unread
                .as_ref()
                .map(|all| all.get(&hash).copied().unwrap_or(0))
        };
        for server in self.servers.values_mut() {
            if server.replica.stage == Some(Stage::Prefill) {
                server.unread = told(server.hash);
            }
        }
    }

    /// What this daemon has sent to be read, by replica.
    pub fn readings(&self) -> impl Iterator<Item = Reading> + '_ {
        let servers = self.servers.values();
        let reading = servers
            .filter(|server| server.replica.stage == Some(Stage::Prefill) && server.tokens > 0);
        reading.map(|server| Reading {
            replica: server.hash,
            tokens: server.tokens.min(u64::from(u32::MAX)) as u32,
        })
    }

    /// Notes that `key` took `took` for `units` of work; units are alike for all replicas of one
    /// stage of a service.
    pub fn note_pace(&mut self, now: Time, key: Key, took: Duration, units: f64) {
        if let Some(server) = self.servers.get_mut(key) {
            server.note_pace(now, took.as_secs_f64() / units.max(1.0));
        }
    }

    /// Whether `decode` may read a prompt itself. A decode replica makes next to no tokens while it reads,
    /// so each read is a pause in all of its streams; two in a row are a long one.
    pub fn may_read(&self, decode: Key) -> bool {
        let server = self.servers.get(decode);
        server.is_none_or(|server| server.reads == 0 || server.known_runs <= 1)
    }

    /// Part of the prompts of `tokens` that a decode replica is to read itself, since the prefill replica
    /// `key` takes long against `objective`.
    pub fn own_reads(&self, now: Time, key: Key, tokens: u64, objective: Duration) -> f64 {
        let Some(server) = self.servers.get(key) else {
            return 0.0;
        };
        let read = self.read_time(now, key, tokens).unwrap_or_default();
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

    /// Hashes of the replicas that have not answered this daemon lately. None if they are many: then it is
    /// this daemon that is cut off.
    pub fn silent_replicas(&self, now: Time) -> Vec<u64> {
        let silent = self.servers.values().filter(|server| server.is_silent(now));
        let silent: Vec<u64> = silent.map(|server| server.hash).collect();
        if silent.len() as f64 > self.servers.len() as f64 * MAX_SILENT {
            return Vec::new();
        }
        silent
    }

    /// Takes from another daemon which replicas do not answer it.
    pub fn hear_silent(&mut self, now: Time, silent: &[u64]) {
        for server in self.servers.values_mut() {
            if silent.contains(&server.hash) {
                server.hear_silent(now);
            }
        }
    }

    /// Notes that `key` did not answer a question.
    pub fn silent(&mut self, now: Time, key: Key) {
        if let Some(server) = self.servers.get_mut(key) {
            server.note_silent(now);
        }
    }

    /// Notes that `key` had room.
    pub fn roomy(&mut self, now: Time, key: Key) {
        if let Some(server) = self.servers.get_mut(key) {
            server.note_room(now);
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
        let memory = self.memory(want.service);
        let fitting = self.servers.iter();
        let mut fitting: Vec<(Key, &Server)> = fitting
            .filter(|(key, server)| want.fits(now, *key, server))
            .collect();
        let drawn = draw_some(&mut fitting, &draw);
        let best = |candidates: &[(Key, &Server)]| {
            let roomy = candidates.iter().copied();
            let roomy = roomy.filter(|(_, server)| want.has_room(now, server, memory));
            score::best(now, want, &roomy.collect::<Vec<_>>(), memory, &draw)
        };
        best(&fitting[..drawn]).or_else(|| best(&fitting[drawn..]))
    }
}

/// Puts [`MAX_WEIGHED`] of the candidates, drawn by chance, to the front; gives how many there are.
fn draw_some(candidates: &mut [(Key, &Server)], draw: impl Fn() -> f64) -> usize {
    let count = candidates.len();
    if count <= MAX_WEIGHED {
        return count;
    }
    for index in 0..MAX_WEIGHED {
        let other = index + (draw() * (count - index) as f64) as usize;
        candidates.swap(index, other.min(count - 1));
    }
    MAX_WEIGHED
}
