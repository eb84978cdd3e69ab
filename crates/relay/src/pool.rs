//! The replicas that this daemon knows, and the choice of one for a request.

mod calls;
mod cold;
mod evacuation;
mod forecast;
mod history;
mod incarnation;
mod index;
mod list;
mod notice;
mod pace;
mod prefill;
mod reach;
mod silence;
mod versions;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use ident::Time;
use ident::Zone;
use indexmap::IndexSet;
use slotmap::SecondaryMap;
use slotmap::SlotMap;

use crate::balance::StageCounts;
use crate::call_times::Calls;
use crate::homes::Homes;
use crate::plan::ColdStart;
use crate::pool::history::History;
use crate::pool::index::Index;
use crate::reach::Reach;
use crate::replica::Load;
use crate::replica::Replica;
use crate::replica::Stage;
use crate::retained_notices::RetainedNotices;
use crate::revision::Revision;
use crate::score;
use crate::score::Criteria;
use crate::server::Key;
use crate::server::Server;
use crate::tombstones::Tombstones;
use crate::versions::Versions;

/// Maximum number of replicas that are scored for one request, sampled anew each time. The best of
/// so many is among the best 2 % of all, and scoring 930 took 77 us instead of 16.
const MAX_SCORED: usize = 64;

/// Shortest time that is measured for one unit of work. Below it, differences between replicas come
/// from the network and from this machine.
const MIN_WORK: Duration = Duration::from_millis(10);

/// Minimum time for which the list must be out of date before a missing entry is treated as lapsed.
/// Replicas renew their entries several times in this period, so a shorter outage expires none.
const MIN_OUTAGE: Duration = Duration::from_secs(2);

/// How long after the listing of a replica that has left an equal list is not confirmed. Who asks later
/// and did not see the replica last read the list [`MIN_OUTAGE`] before the one that confirms it, even
/// if that is a second old.
const MAX_CONFIRMED_GAP: Duration = Duration::from_secs(3);

/// All replicas known to this daemon.
#[derive(Debug, Default)]
pub struct Pool {
    servers: SlotMap<Key, Server>,
    index: Index,
    versions: Versions,
    /// Replicas that are missing from the list and still used.
    lapsing: BTreeSet<Key>,
    /// Replicas with a forecast.
    with_forecast: Vec<Key>,
    /// Prefill replicas with pending prompts of other daemons.
    with_peer_prefills: Vec<Key>,
    /// Whether other daemons have reported.
    peers_report: bool,
    /// Replicas with requests of this daemon.
    with_requests: BTreeSet<Key>,
    /// Replicas that failed to answer this daemon.
    unresponsive: BTreeSet<Key>,
    /// Replicas examined so far, for requests and for updates.
    examined: Cell<u64>,
    /// Replicas with a pace.
    with_pace: IndexSet<Key>,
    /// Mean seconds to prefill a token, by service.
    prefill_paces: HashMap<String, f64>,
    /// Plain calls by service.
    calls: HashMap<String, Calls>,
    /// Hashes of ended incarnations whose replica has restarted; at most one per slot of `servers`.
    restarted: SecondaryMap<Key, u64>,
    version: Revision,
    /// Until when replicas are used that are missing from the lists of a new era; earlier entries may
    /// only have been lost with the copy of the store.
    era_grace_until: Option<Time>,
    /// Whether this daemon had a list of an earlier era, from which replicas can be missing.
    knows_earlier_era: bool,
    /// Entries that are ignored since their replicas are known as gone, by id.
    withheld: BTreeMap<String, Replica>,
    /// Until when they are ignored.
    withheld_until: Time,
    /// When the list was last known to be up to date.
    refreshed_at: Option<Time>,
    /// The latest time as of which the list is known to reflect the store: the begin of a reading,
    /// not the arrival of its answer.
    current_at: Time,
    /// When the list was last found to have been out of date for at least [`MIN_OUTAGE`], or not
    /// to have been read yet.
    outdated_at: Option<Time>,
    /// When the list was last found to lack replicas that have come and left, or that may have.
    unseen_at: Option<Time>,
    /// The latest time at which a replica was listed here that has left.
    departed_listed_at: Option<Time>,
    /// Whether the list shows all replicas that ever served.
    history: History,
    /// Software versions that alone served before the daemon followed the list, by service, and
    /// when that was found out.
    vouched: HashMap<String, (String, Time)>,
    /// When the list last could not be read from the store while it was out of date for that long.
    last_outage: Option<Time>,
    memory: HashMap<String, u64>,
    /// What cold replicas tolerate, by service.
    cold_starts: HashMap<String, ColdStart>,
    /// Data centres whose replicas get no requests.
    evacuated: BTreeSet<Zone>,
    /// When the last evacuation of each data centre ended.
    evacuation_ends: BTreeMap<Zone, Time>,
    tombstones: Tombstones,
    reach: Reach,
    /// Notices of replicas that are not in `servers` at present.
    retained_notices: RetainedNotices,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Version of the store that the list corresponds to.
    pub const fn version(&self) -> Revision {
        self.version
    }

    /// Hash of the listed replicas; equal lists have equal hashes at every daemon.
    pub const fn digest(&self) -> u64 {
        self.index.digest()
    }

    /// Records that, at `now`, a peer with an equal list has it from `version`. Returns whether that
    /// holds for the own list, which it does only within one era.
    pub fn confirm(&mut self, now: Time, version: Revision) -> bool {
        if version.era != self.version.era {
            return false;
        }
        self.version = self.version.max(version);
        self.note_refresh(now);
        true
    }

    /// Whether an equal list of another daemon, with the hash `digest`, lacks nothing that this daemon
    /// knows. A replica that has come and left leaves the lists equal; a daemon that asks for the changes
    /// instead learns of it.
    pub fn confirms(&self, now: Time, digest: u64) -> bool {
        let unseen_at = self.departed_listed_at.max(self.unseen_at);
        let may_lack = unseen_at.is_some_and(|at| now.since(at) < MAX_CONFIRMED_GAP);
        self.digest() == digest && !may_lack
    }

    /// Records that, at `now`, a peer with an equal list has it from `version`, read at `read_at`. Returns
    /// whether that holds for the own list, which it does only within one era.
    pub fn confirm_read(&mut self, now: Time, read_at: Time, version: Revision) -> bool {
        let (is_newer, last) = (version > self.version, self.current_at);
        if !self.confirm(now, version) {
            return false;
        }
        if is_newer && last != Time::ZERO && read_at.since(last) >= MIN_OUTAGE {
            self.note_unseen(now);
        }
        self.note_read(read_at);
        true
    }

    /// Records that the list reflects the store as of `read_at`.
    pub fn note_read(&mut self, read_at: Time) {
        self.current_at = self.current_at.max(read_at);
    }

    /// The latest time as of which the list is known to reflect the store.
    pub const fn current_at(&self) -> Time {
        self.current_at
    }

    /// Records that the list is up to date at `now`.
    pub(crate) fn note_refresh(&mut self, now: Time) {
        if self.is_outdated(now) {
            if self.outdated_at.is_some() {
                self.history = History::Gap;
            }
            self.outdated_at = Some(now);
        }
        self.refreshed_at = Some(now);
    }

    /// Records that replicas of any version may have come and left without this daemon seeing them.
    pub(crate) fn note_unseen(&mut self, now: Time) {
        self.unseen_at = Some(now);
        self.history = History::Gap;
    }

    /// Whether the list has been out of date long enough for entries to have lapsed. True if the
    /// list has not been read yet.
    fn is_outdated(&self, now: Time) -> bool {
        self.refreshed_at
            .is_none_or(|at| now.since(at) >= MIN_OUTAGE)
    }

    /// Returns the replica with `key`, unless it has been removed.
    pub fn get(&self, key: Key) -> Option<&Server> {
        self.servers.get(key)
    }

    /// All known replicas, listed or not.
    pub fn servers(&self) -> impl Iterator<Item = &Server> + '_ {
        self.servers.values()
    }

    /// All listed replicas.
    pub fn replicas(&self) -> impl Iterator<Item = &Replica> + '_ {
        let listed = self.servers.values().filter(|s| s.lapses_at.is_none());
        listed.map(|server| &server.replica)
    }

    /// Counts the available replicas of `service`, by stage.
    pub fn stage_counts(&self, now: Time, service: &str) -> StageCounts {
        let count = |stage| {
            let keys = self.index.group(service, Some(stage));
            let available = keys.filter(|key| self.servers[*key].is_available(now));
            available.count()
        };
        StageCounts {
            prefill: count(Stage::Prefill),
            decode: count(Stage::Decode),
        }
    }

    /// Counts the available replicas of `service` in `homes` of each known software version, by
    /// stage.
    pub fn version_stage_counts(
        &self,
        now: Time,
        service: &str,
        homes: &Homes,
    ) -> BTreeMap<String, StageCounts> {
        let mut counts: BTreeMap<String, StageCounts> = BTreeMap::new();
        for stage in [Stage::Prefill, Stage::Decode] {
            for key in self.index.group(service, Some(stage)) {
                let server = &self.servers[key];
                let Some(software) = server.replica.software.as_ref() else {
                    continue;
                };
                if !server.is_available(now) || !homes.contains(server.replica.data_centre) {
                    continue;
                }
                // Without a new key for each replica of the fleet.
                let counts = match counts.get_mut(software) {
                    Some(counts) => counts,
                    None => counts.entry(software.clone()).or_default(),
                };
                match stage {
                    Stage::Prefill => counts.prefill += 1,
                    Stage::Decode => counts.decode += 1,
                }
            }
        }
        counts
    }

    /// Whether a replica of `service` is known.
    pub fn has_service(&self, service: &str) -> bool {
        self.index.count(service) > 0
    }

    /// Whether no replica is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Records that the list could not be read at `now`.
    pub fn note_outage(&mut self, now: Time) {
        if self.is_outdated(now) {
            self.outdated_at = Some(now);
            self.last_outage = Some(now);
        }
    }

    /// Sets the memory of one engine of `service`, in tokens.
    pub fn set_memory(&mut self, service: &str, tokens: u64) {
        self.memory.insert(service.to_owned(), tokens);
    }

    /// Memory of one engine of `service`, in tokens; `None` if unknown.
    pub fn memory(&self, service: &str) -> Option<u64> {
        self.memory.get(service).copied()
    }

    /// Records that another replica answered at the address of `key`.
    pub fn mark_replaced(&mut self, key: Key) {
        if let Some(server) = self.servers.get_mut(key) {
            server.replaced = true;
        }
    }

    /// Records that a request of `tokens` is sent to `key`.
    pub fn start_request(&mut self, key: Key, tokens: u64) {
        if let Some(server) = self.servers.get_mut(key) {
            server.start_request(tokens);
            self.with_requests.insert(key);
        }
    }

    /// Records that a request of `tokens` at `key` is over.
    pub fn end_request(&mut self, key: Key, tokens: u64) {
        if let Some(server) = self.servers.get_mut(key) {
            server.end_request(tokens);
            if server.in_flight == 0 {
                self.with_requests.remove(&key);
            }
        }
    }

    /// Excludes `key` from selection until `until`.
    pub fn throttle(&mut self, key: Key, until: Time) {
        if let Some(server) = self.servers.get_mut(key) {
            server.throttled_until = until;
        }
    }

    /// Time until a replica that meets `criteria` may be chosen again, if all available ones are
    /// throttled or asked for no requests; otherwise `None`. Whether they were tried does not count.
    pub fn exclusion_remaining(&self, now: Time, criteria: &Criteria<'_>) -> Option<Duration> {
        let mut least: Option<Duration> = None;
        for key in self.index.group(criteria.service, criteria.stage) {
            let server = &self.servers[key];
            let is_eligible = criteria.is_home(server) && criteria.is_compatible(server);
            if !server.is_available(now) || !is_eligible {
                continue;
            }
            let remaining = server.excluded_until().since(now);
            if remaining.is_zero() {
                return None;
            }
            least = Some(least.map_or(remaining, |least| least.min(remaining)));
        }
        least
    }

    /// Records whether a send to `key` failed.
    pub fn record_result(&mut self, now: Time, key: Key, failed: bool) {
        if let Some(server) = self.servers.get_mut(key) {
            server.record_result(now, failed);
        }
    }

    /// Records that `key` took `took` for `units` of work. Units must be comparable among the
    /// replicas of one stage of a service. A single unit counts as at least [`MIN_WORK`].
    pub fn record_work(&mut self, now: Time, key: Key, took: Duration, units: f64) {
        if let Some(server) = self.servers.get_mut(key) {
            let took = if units > 1.0 {
                took
            } else {
                took.max(MIN_WORK)
            };
            server.record_work(now, took.as_secs_f64() / units.max(1.0));
        }
    }

    /// Records that `key` refused a reservation.
    pub fn record_full(&mut self, now: Time, key: Key) {
        if let Some(server) = self.servers.get_mut(key) {
            server.record_full(now);
        }
    }

    /// Records that `key` accepted a reservation.
    pub fn record_room(&mut self, now: Time, key: Key) {
        if let Some(server) = self.servers.get_mut(key) {
            server.record_room(now);
        }
    }

    /// Records the load that `key` reported.
    pub fn record_load(&mut self, now: Time, key: Key, load: Load) {
        if let Some(server) = self.servers.get_mut(key) {
            server.record_load(now, load);
        }
    }

    /// Records that `key` said that work takes `slowdown` times as long as usual there. Returns
    /// whether it is the first replica of its service that reports how fast it works.
    pub fn record_slowdown(&mut self, now: Time, key: Key, slowdown: f64) -> bool {
        let Some(server) = self.servers.get_mut(key) else {
            return false;
        };
        server.record_slowdown(now, slowdown);
        let service = server.replica.service.clone();
        !std::mem::replace(
            &mut self.calls.entry(service).or_default().has_reports,
            true,
        )
    }

    /// Returns the replica with the lowest score that meets `criteria`, if any.
    ///
    /// `draw` returns random numbers uniform in `0.0..1.0`.
    pub fn choose(
        &self,
        now: Time,
        criteria: &Criteria<'_>,
        draw: impl Fn() -> f64,
    ) -> Option<Key> {
        let memory = self.memory(criteria.service);
        let mut keys: Vec<Key> = self.index.group(criteria.service, criteria.stage).collect();
        let (sampled, rest) = self.sample(now, criteria, &mut keys, &draw);
        let best = |candidates: &[(Key, &Server)]| {
            let with_room = candidates.iter().copied();
            let with_room = with_room.filter(|(_, server)| criteria.has_room(now, server, memory));
            score::best(now, criteria, &with_room.collect::<Vec<_>>(), memory, &draw)
        };
        best(&sampled).or_else(|| best(&self.eligible(now, criteria, rest)))
    }

    /// Whether a replica meets `criteria`, with room or without.
    pub fn has_candidate(&self, now: Time, criteria: &Criteria<'_>) -> bool {
        let mut keys = self.index.group(criteria.service, criteria.stage);
        keys.any(|key| {
            self.note_examined(1);
            criteria.matches(now, key, &self.servers[key])
        })
    }

    /// Returns a random sample of up to [`MAX_SCORED`] eligible replicas among `keys`, and the keys
    /// that were not examined for it.
    fn sample<'a>(
        &self,
        now: Time,
        criteria: &Criteria<'_>,
        keys: &'a mut [Key],
        draw: impl Fn() -> f64,
    ) -> (Vec<(Key, &Server)>, &'a [Key]) {
        let count = keys.len();
        if count <= MAX_SCORED {
            return (self.eligible(now, criteria, keys), &[]);
        }
        let mut sampled = Vec::with_capacity(MAX_SCORED);
        let mut examined = 0;
        while examined < count && sampled.len() < MAX_SCORED {
            let other = examined + (draw() * (count - examined) as f64) as usize;
            keys.swap(examined, other.min(count - 1));
            sampled.extend(self.eligible(now, criteria, &keys[examined..=examined]));
            examined += 1;
        }
        (sampled, &keys[examined..])
    }

    fn eligible(&self, now: Time, criteria: &Criteria<'_>, keys: &[Key]) -> Vec<(Key, &Server)> {
        self.note_examined(keys.len());
        let servers = keys.iter().map(|key| (*key, &self.servers[*key]));
        let eligible = servers.filter(|(key, server)| criteria.matches(now, *key, server));
        eligible.collect()
    }

    /// Number of replicas examined so far, for requests and for updates. Shows whether the work
    /// grows with the fleet.
    pub const fn examined(&self) -> u64 {
        self.examined.get()
    }

    fn note_examined(&self, count: usize) {
        self.examined.set(self.examined.get() + count as u64);
    }
}
