//! What this daemon knows of the replicas, and which one is to serve a request.

mod incarnation;
mod list;
mod reads;
mod silence;

use std::cell::Cell;
use std::collections::HashMap;
use std::time::Duration;

use ident::Time;
use rapidhash::v3::rapidhash_v3;
use slotmap::SecondaryMap;
use slotmap::SlotMap;

use crate::balance::StageCounts;
use crate::claims::Claims;
use crate::replica::Load;
use crate::replica::Replica;
use crate::replica::Stage;
use crate::runs::Runs;
use crate::score;
use crate::score::Criteria;
use crate::server::Key;
use crate::server::Server;
use crate::tombstones::Tombstones;

/// Replicas that are weighed for one request, drawn anew each time where there are more; the best of
/// so many is among the best fiftieth of all, and weighing 930 took 77 us in place of 16.
const MAX_WEIGHED: usize = 64;

/// Minimum time for which the list must be out of date before a missing entry is treated as lapsed.
/// Replicas renew their entries several times in this period, so a shorter outage expires none.
const MIN_OUTAGE: Duration = Duration::from_secs(2);

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
    /// When the list was last known to be up to date.
    refreshed_at: Option<Time>,
    /// When the list was last found to have been out of date for at least [`MIN_OUTAGE`], or not
    /// to have been read yet.
    outdated_at: Option<Time>,
    /// When the list last could not be read from the store while it was out of date for that long.
    outage: Option<Time>,
    memory: HashMap<String, u64>,
    /// Hash of the list, until the list changes.
    digest: Cell<Option<u64>>,
    gone: Tombstones,
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

    /// Records that, at `now`, a peer with an equal list has it from `version`.
    pub fn confirm(&mut self, now: Time, version: u64) {
        self.version = self.version.max(version);
        self.note_refresh(now);
    }

    /// Records that the list is up to date at `now`.
    pub(crate) fn note_refresh(&mut self, now: Time) {
        if self.is_outdated(now) {
            self.outdated_at = Some(now);
        }
        self.refreshed_at = Some(now);
    }

    /// Whether the list has been out of date long enough for entries to have lapsed. True if the
    /// list has not been read yet.
    fn is_outdated(&self, now: Time) -> bool {
        self.refreshed_at
            .is_none_or(|at| now.since(at) >= MIN_OUTAGE)
    }

    /// The replica behind `key`, unless it is forgotten.
    pub fn get(&self, key: Key) -> Option<&Server> {
        self.servers.get(key)
    }

    /// All known replicas, listed or not.
    pub fn servers(&self) -> impl Iterator<Item = &Server> + '_ {
        self.servers.values()
    }

    /// All replicas that are listed.
    pub fn replicas(&self) -> impl Iterator<Item = &Replica> + '_ {
        let listed = self.servers.values().filter(|s| s.lapses.is_none());
        listed.map(|server| &server.replica)
    }

    /// Replicas of `service` that take requests, by stage.
    pub fn stage_counts(&self, now: Time, service: &str) -> StageCounts {
        let count = |stage| {
            let servers = self.servers.values();
            let fitting = servers.filter(|server| {
                server.usable(now)
                    && server.replica.service == service
                    && server.replica.stage == Some(stage)
            });
            fitting.count()
        };
        StageCounts {
            prefill: count(Stage::Prefill),
            decode: count(Stage::Decode),
        }
    }

    /// Whether any replica is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Notes that the list could not be read at `now`.
    pub fn note_outage(&mut self, now: Time) {
        if self.is_outdated(now) {
            self.outdated_at = Some(now);
            self.outage = Some(now);
        }
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
    pub fn update_forecast(&mut self, now: Time, key: Key, runs: &Runs, claims: &Claims) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.expect(claims.peer_usage(now, server.hash));
        for (id, entry) in runs.iter().filter(|(_, entry)| entry.server == key) {
            server.add_run(&runs.curve(now, id), entry.is_prefilling());
        }
    }

    /// The same for all replicas that make tokens.
    pub fn update_all_forecasts(&mut self, now: Time, runs: &Runs, claims: &Claims) {
        self.update_pending_prefills(now, claims);
        let told = claims.all_peer_usage(now);
        for server in self.servers.values_mut() {
            let others = told.get(&server.hash);
            server.expect(others.copied().unwrap_or_default());
        }
        for (id, entry) in runs.iter() {
            if let Some(server) = self.servers.get_mut(entry.server) {
                server.add_run(&runs.curve(now, id), entry.is_prefilling());
            }
        }
    }

    /// Notes that another replica answered at the address of `key`.
    pub fn mark_replaced(&mut self, key: Key) {
        if let Some(server) = self.servers.get_mut(key) {
            server.replaced = true;
        }
    }

    /// Notes that a request of `tokens` is sent to `key`.
    pub fn start_request(&mut self, key: Key, tokens: u64) {
        if let Some(server) = self.servers.get_mut(key) {
            server.begin(tokens);
        }
    }

    /// Notes that a request of `tokens` sent to `key` is over there.
    pub fn end_request(&mut self, key: Key, tokens: u64) {
        if let Some(server) = self.servers.get_mut(key) {
            server.end(tokens);
        }
    }

    /// Sets the request limit of `key`, or clears it and ends throttling if `limit` is `None`. Returns whether the limit changed.
    pub fn set_limit(&mut self, key: Key, limit: Option<f64>) -> bool {
        let Some(server) = self.servers.get_mut(key) else {
            return false;
        };
        if limit.is_none() {
            server.throttled_until = Time::ZERO;
        }
        std::mem::replace(&mut server.limit, limit) != limit
    }

    /// Excludes `key` from selection until `until`.
    pub fn throttle(&mut self, key: Key, until: Time) {
        if let Some(server) = self.servers.get_mut(key) {
            server.throttled_until = until;
        }
    }

    /// Time until the first throttled replica of `service` may be chosen again; `None` if none is throttled.
    pub fn throttle_remaining(&self, now: Time, service: &str) -> Option<Duration> {
        let servers = self.servers.values();
        let throttled = servers.filter(|server| {
            server.usable(now) && server.throttled_until > now && server.replica.service == service
        });
        throttled
            .map(|server| server.throttled_until.since(now))
            .min()
    }

    /// Notes whether a send to `key` failed.
    pub fn record_result(&mut self, now: Time, key: Key, failed: bool) {
        if let Some(server) = self.servers.get_mut(key) {
            server.note(now, failed);
        }
    }

    /// Notes that `key` took `took` for `units` of work; units are alike for all replicas of one
    /// stage of a service.
    pub fn record_work(&mut self, now: Time, key: Key, took: Duration, units: f64) {
        if let Some(server) = self.servers.get_mut(key) {
            server.note_pace(now, took.as_secs_f64() / units.max(1.0));
        }
    }

    /// Notes that `key` had no room.
    pub fn record_full(&mut self, now: Time, key: Key) {
        if let Some(server) = self.servers.get_mut(key) {
            server.note_full(now);
        }
    }

    /// Notes that `key` had room.
    pub fn record_room(&mut self, now: Time, key: Key) {
        if let Some(server) = self.servers.get_mut(key) {
            server.note_room(now);
        }
    }

    /// Takes the load that `key` told.
    pub fn record_load(&mut self, now: Time, key: Key, load: Load) {
        if let Some(server) = self.servers.get_mut(key) {
            server.told(now, load);
        }
    }

    /// The replica for `want` with the lowest score, `None` if there is none.
    ///
    /// `draw` gives evenly distributed numbers in `0.0..1.0`.
    pub fn choose(&self, now: Time, want: &Criteria<'_>, draw: impl Fn() -> f64) -> Option<Key> {
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
