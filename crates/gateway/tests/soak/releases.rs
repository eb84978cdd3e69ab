//! Releases of model services that one software version serves at a time, each beside a daemon that is out of step: it
//! stands still, or is cut off from the store and the other daemons, about the moment at which the first replica of the
//! new version is listed. Callers begin streams at the other daemons, break off their connections, and resume the streams
//! of the new version at just that daemon.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::Value;

use crate::cluster::Cluster;
use crate::cluster::DAEMONS;
use crate::common::replica::Replica;
use crate::customer::Customer;
use crate::faults;
use crate::history::STREAM_EVENTS;
use crate::isolation;
use crate::script;
use crate::streams;
use crate::streams::Begun;
use crate::streams::Received;

/// Services that are released in turn. The first release of each is the one beside which a daemon believes in an only
/// version: after it, the version before counts for longer than a run lasts.
const SERVICES: [&str; 4] = ["chat-0", "chat-1", "chat-2", "chat-3"];
/// Replicas of each service.
const REPLICAS: usize = 3;
/// Concurrent callers.
const CALLERS: u64 = 8;
/// Time from the start of a round to the listing of the first new replica, in milliseconds.
const LEAD_MS: u64 = 1_000;
/// Start of the fault, in milliseconds after the start of a round: from 0.6 s before to 1 s after the listing.
const FAULT_START_MS: (u64, u64) = (400, 2_000);
/// Duration of the fault in milliseconds.
const FAULT_MS: (u64, u64) = (500, 3_000);
/// Time from the listing of the first new replica to that of the others, and from draining to leaving.
const STEP: Duration = Duration::from_secs(1);
/// Time after the end of a fault in which its daemon is not yet expected to be in step.
const SYNC_TIME: Duration = Duration::from_secs(1);
/// Events that a caller receives before its connection breaks, at most.
const MAX_EVENTS: usize = 4;
/// Attempts to resume a stream at most.
const MAX_ATTEMPTS: usize = 3;
/// Pause of a caller whose resumption was refused or cut off, in milliseconds.
const MAX_PAUSE_MS: u64 = 200;
/// Draws of a replica without faults whose streams are long.
const LONG_STREAM: (f64, f64) = (0.9, 1.0);
/// Replicas of a version that are needed for its resumptions to be judged, and the time since which they are listed.
const MIN_REPLICAS: usize = 2;
const MIN_LISTED: Duration = Duration::from_secs(1);
/// Sockets of a daemon for the others: for datagrams and for connections.
const SOCKETS: usize = 2;
/// Smallest number of resumptions that are judged.
const MIN_RESUMPTIONS: u32 = 6;
/// Least share of resumptions that go on, as a fraction of the share of new streams that begin.
const MIN_SHARE: f64 = 0.5;

/// How a daemon is brought out of step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    /// It stands still.
    Pause,
    /// It is cut off from the store and the other daemons.
    Cut,
    /// It is cut off and stands still for the first half of that time.
    Both,
}

/// A replica of a service.
struct Listed {
    replica: Replica,
    version: u32,
    since: Instant,
}

/// A service, its newest version and its replicas that are not draining.
#[derive(Default)]
struct Service {
    version: u32,
    replicas: Vec<Listed>,
}

impl Service {
    /// Whether enough replicas of `version` serve for its resumptions to be judged.
    fn serves(&self, version: &str) -> bool {
        let replicas = self.replicas.iter();
        let serving = replicas.filter(|listed| {
            name(listed.version) == version && listed.since.elapsed() >= MIN_LISTED
        });
        serving.count() >= MIN_REPLICAS
    }
}

/// The release in progress.
#[derive(Debug, Clone, Copy, Default)]
struct Round {
    service: usize,
    /// The daemon that is out of step.
    daemon: usize,
}

/// Numbers of streams.
#[derive(Debug, Default)]
struct Counts {
    faults: BTreeMap<Kind, u32>,
    /// Sockets of daemons that dropped packets at the least effective cut.
    fewest_filtered: Option<usize>,
    /// New streams at daemons in step, and those of them that began.
    tried: u32,
    begun: u32,
    /// Judged resumptions at daemons in step, and those of them that went on.
    resumed: u32,
    went_on: u32,
    /// Resumptions at the daemon out of step, by status.
    out_of_step: BTreeMap<u16, u32>,
}

/// The services and what callers observed of them.
#[derive(Default)]
pub struct Releases {
    services: [Mutex<Service>; SERVICES.len()],
    round: Mutex<Round>,
    /// Daemons that were out of step, from when and until when.
    faults: Mutex<Vec<(usize, Instant, Option<Instant>)>>,
    counts: Mutex<Counts>,
    replica_count: AtomicU64,
    is_stopped: AtomicBool,
}

impl fmt::Debug for Releases {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.counts.lock().unwrap().fmt(formatter)
    }
}

/// Adds a route and a service like those of streams that callers may resume, for each service that is released.
pub fn add_services(config: &mut Value) {
    let routes = config["routes"].as_array_mut().unwrap();
    let usual = routes.iter().find(|route| route["name"] == "resume");
    let usual = usual.cloned().unwrap();
    for name in SERVICES {
        let mut route = usual.clone();
        route["name"] = name.into();
        route["prefix"] = format!("/{name}/").into();
        route["service"] = name.into();
        routes.push(route);
    }
    let services = config["services"].as_array_mut().unwrap();
    let usual = services.iter().find(|service| service["name"] == "llm");
    let usual = usual.cloned().unwrap();
    for name in SERVICES {
        let mut service = usual.clone();
        service["name"] = name.into();
        services.push(service);
    }
}

/// Lists the replicas of the first version.
pub fn start(cluster: &Cluster) {
    for service in 0..SERVICES.len() {
        cluster.releases.services[service].lock().unwrap().version = 1;
        for _ in 0..REPLICAS {
            add_replica(cluster, service, 1);
        }
    }
}

/// Begins releases until `end`, and waits for the end of the last one.
pub fn run(cluster: &Cluster, seed: u64, end: Instant) {
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let cluster = cluster.clone();
            thread::spawn(move || call(&cluster, seed * 1_000 + 500 + number))
        })
        .collect();
    let mut rng = Pcg64Mcg::seed_from_u64(!seed.rotate_left(16));
    let mut service = 0;
    while Instant::now() < end {
        release(cluster, &mut rng, service);
        service = (service + 1) % SERVICES.len();
    }
    cluster.releases.is_stopped.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().unwrap();
    }
}

/// Checks that resumed streams go on about as often as new ones begin, and that cuts were in force. No other fault may
/// have been caused.
///
/// # Errors
/// Returns how many did.
pub fn check(cluster: &Cluster) -> Result<(), String> {
    let counts = cluster.releases.counts.lock().unwrap();
    let needed = DAEMONS * SOCKETS;
    if counts.fewest_filtered.is_some_and(|fewest| fewest < needed) {
        return Err(format!(
            "no cut: packets have to be dropped at {needed} sockets, {counts:?}"
        ));
    }
    let share = |part: u32, all: u32| f64::from(part) / f64::from(all.max(1));
    let is_lost =
        share(counts.went_on, counts.resumed) < share(counts.begun, counts.tried) * MIN_SHARE;
    if counts.resumed >= MIN_RESUMPTIONS && is_lost {
        return Err(format!("LOST: beside a daemon out of step, {counts:?}"));
    }
    Ok(())
}

/// Replaces one replica of a service by one of a new version and the others a second later, beside a daemon out of step.
fn release(cluster: &Cluster, rng: &mut Pcg64Mcg, service: usize) {
    let releases = &cluster.releases;
    let daemon = rng.random_range(0..DAEMONS);
    let kind = [Kind::Pause, Kind::Cut, Kind::Both][rng.random_range(0..3)];
    let fault_start = rng.random_range(FAULT_START_MS.0..FAULT_START_MS.1);
    let duration = Duration::from_millis(rng.random_range(FAULT_MS.0..FAULT_MS.1));
    *releases.round.lock().unwrap() = Round { service, daemon };
    let fault = {
        let cluster = cluster.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(fault_start));
            disturb(&cluster, daemon, kind, duration);
        })
    };
    thread::sleep(Duration::from_millis(LEAD_MS));
    let mut current = releases.services[service].lock().unwrap();
    current.version += 1;
    let version = current.version;
    drop(current);
    let first = replace(cluster, service, version);
    thread::sleep(STEP);
    let mut leaving = vec![first];
    leaving.extend((1..REPLICAS).map(|_| replace(cluster, service, version)));
    thread::sleep(STEP);
    for listed in leaving {
        let mut ledger = cluster.ledger.lock().unwrap();
        ledger.unlist(&cluster.store, &listed.replica.id);
    }
    fault.join().unwrap();
    *releases
        .counts
        .lock()
        .unwrap()
        .faults
        .entry(kind)
        .or_default() += 1;
}

/// Brings `daemon` out of step.
fn disturb(cluster: &Cluster, daemon: usize, kind: Kind, duration: Duration) {
    let from = Instant::now();
    let faults = &cluster.releases.faults;
    faults.lock().unwrap().push((daemon, from, None));
    if kind == Kind::Pause {
        faults::pause(cluster, daemon, duration);
    } else {
        let filtered = isolation::begin(cluster, daemon);
        let mut counts = cluster.releases.counts.lock().unwrap();
        let fewest = counts.fewest_filtered.unwrap_or(usize::MAX);
        counts.fewest_filtered = Some(fewest.min(filtered));
        drop(counts);
        if kind == Kind::Both {
            faults::pause(cluster, daemon, duration / 2);
        }
        thread::sleep(duration.saturating_sub(from.elapsed()));
        isolation::end(cluster, daemon, from);
    }
    if let Some(fault) = faults.lock().unwrap().last_mut() {
        fault.2 = Some(Instant::now());
    }
}

/// Lets the oldest replica of a service drain and lists one of `version`; returns the former.
fn replace(cluster: &Cluster, service: usize, version: u32) -> Listed {
    add_replica(cluster, service, version);
    let mut current = cluster.releases.services[service].lock().unwrap();
    let oldest = current.replicas.remove(0);
    drop(current);
    let mut row = row(&oldest.replica, service, oldest.version);
    row["state"] = "draining".into();
    let mut ledger = cluster.ledger.lock().unwrap();
    ledger.list(&cluster.store, &oldest.replica.id, row);
    oldest
}

/// Starts a replica and lists it in the store.
fn add_replica(cluster: &Cluster, service: usize, version: u32) {
    let releases = &cluster.releases;
    let number = releases.replica_count.fetch_add(1, Ordering::SeqCst);
    let history = Arc::clone(&cluster.history);
    let replica = Replica::start(&format!("chat-{number}"), move |request| {
        let stage = ("decode", &*name(version));
        script::choose_action(&history, stage, request, LONG_STREAM)
    });
    let row = row(&replica, service, version);
    let mut ledger = cluster.ledger.lock().unwrap();
    ledger.list(&cluster.store, &replica.id, row);
    drop(ledger);
    let since = Instant::now();
    let mut service = releases.services[service].lock().unwrap();
    service.replicas.push(Listed {
        replica,
        version,
        since,
    });
}

fn row(replica: &Replica, service: usize, version: u32) -> Value {
    let mut row = replica.row(SERVICES[service], "decode");
    row["version"] = name(version).into();
    row
}

/// Name of a version, which begins with the letter by which events are recognized.
fn name(version: u32) -> String {
    format!("v{version}")
}

/// Begins streams and resumes them until the releases have ended.
fn call(cluster: &Cluster, seed: u64) {
    let releases = &cluster.releases;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut number = 0;
    while !releases.is_stopped.load(Ordering::SeqCst) {
        let round = *releases.round.lock().unwrap();
        let id = Customer::Unlimited.id(&format!("{}-{seed}-{number}", SERVICES[round.service]));
        number += 1;
        let other = (round.daemon + rng.random_range(1..DAEMONS)) % DAEMONS;
        let events = rng.random_range(1..=MAX_EVENTS);
        let start = Instant::now();
        let path = format!("/{}/1", SERVICES[round.service]);
        let received = streams::begin(cluster, other, &path, &id, events);
        if is_in_step(releases, other, start) {
            let mut counts = releases.counts.lock().unwrap();
            counts.tried += 1;
            counts.begun += u32::from(!received.versions.is_empty());
        }
        resume(cluster, &mut rng, round, &id, &received);
        thread::sleep(Duration::from_millis(rng.random_range(1..20)));
    }
}

/// Resumes the stream `id`, at the daemon that is out of step first if its version is the new one.
fn resume(cluster: &Cluster, rng: &mut Pcg64Mcg, round: Round, id: &str, received: &Received) {
    let Some(version) = received.versions.first() else {
        return;
    };
    let releases = &cluster.releases;
    let service = &releases.services[round.service];
    let is_new = name(service.lock().unwrap().version) == *version;
    let path = format!("/{}/1", SERVICES[round.service]);
    let mut last_event = received.versions.len() as u64;
    for attempt in 0..MAX_ATTEMPTS {
        let daemon = if is_new && attempt == 0 {
            round.daemon
        } else {
            rng.random_range(0..DAEMONS)
        };
        let is_judged = service.lock().unwrap().serves(version);
        let start = Instant::now();
        let begun = Begun {
            id,
            version,
            last_event,
        };
        let received = streams::resume(cluster, daemon, &path, &format!("{id}-{attempt}"), begun);
        let mut counts = releases.counts.lock().unwrap();
        if !is_in_step(releases, daemon, start) {
            *counts.out_of_step.entry(received.status).or_default() += 1;
        } else if is_judged && service.lock().unwrap().serves(version) {
            counts.resumed += 1;
            counts.went_on += u32::from(!received.versions.is_empty());
        }
        drop(counts);
        last_event += received.versions.len() as u64;
        if received.is_complete || last_event >= STREAM_EVENTS {
            return;
        }
        thread::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)));
    }
}

/// Whether `daemon` was in step from `start` to now.
fn is_in_step(releases: &Releases, daemon: usize, start: Instant) -> bool {
    let faults = releases.faults.lock().unwrap();
    !faults.iter().any(|(disturbed, _, until)| {
        *disturbed == daemon && until.is_none_or(|until| until + SYNC_TIME > start)
    })
}
