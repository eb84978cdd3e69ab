//! Drills of the store: it is away, and comes back from a copy some seconds old.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use serde_json::json;

use crate::cluster::Cluster;
use crate::common::store::Backup;
use crate::common::store::Store;

/// Age of the oldest copy that is kept.
const MAX_AGE: Duration = Duration::from_secs(4);
/// Interval between two copies.
const INTERVAL: Duration = Duration::from_millis(50);
/// Time after the return of the store in which each replica writes its row again.
const REWRITE_TIME: Duration = Duration::from_secs(2);
/// Fraction of the drills after which versions have passed the lost ones before the store answers.
const PASSED_FRACTION: f64 = 0.4;
/// Fraction of the drills at whose end a replica begins to drain.
const DRAINING_FRACTION: f64 = 0.6;

/// What the operator and the replicas wrote last.
#[derive(Debug, Default)]
pub struct Ledger {
    config: Value,
    is_evacuated: bool,
    /// Rows of the replicas that have not gone.
    entries: BTreeMap<String, Value>,
    /// Number of the rows that each replica wrote.
    written: BTreeMap<String, u64>,
}

impl Ledger {
    /// Writes a configuration.
    pub fn configure(&mut self, store: &Store, config: Value) {
        store.put("op", "config", &config);
        self.config = config;
    }

    /// Begins or ends the evacuation at `key`.
    pub fn evacuate(&mut self, store: &Store, key: &str, is_evacuated: bool) {
        self.is_evacuated = is_evacuated;
        if is_evacuated {
            store.put("op", key, &json!({}));
        } else {
            store.remove("op", key);
        }
    }

    /// Writes the configuration and the evacuation at `key` again.
    pub fn write_operator_rows(&mut self, store: &Store, key: &str) {
        store.put("op", "config", &self.config);
        self.evacuate(store, key, self.is_evacuated);
    }

    /// Writes the row of the replica `id` with its number.
    pub fn list(&mut self, store: &Store, id: &str, mut row: Value) {
        let written = self.written.entry(id.to_owned()).or_default();
        *written += 1;
        row["seq"] = (*written).into();
        store.put("servers", id, &row);
        self.entries.insert(id.to_owned(), row);
    }

    /// Removes the row of the replica `id`.
    pub fn unlist(&mut self, store: &Store, id: &str) {
        store.remove("servers", id);
        self.entries.remove(id);
    }

    /// Ids of the replicas that have not gone.
    pub fn ids(&self) -> Vec<String> {
        self.entries.keys().cloned().collect()
    }

    /// Whether the store has the last row of the replica `id`.
    fn is_current(&self, store: &Store, id: &str) -> bool {
        store.get("servers", id).as_ref() == self.entries.get(id)
    }

    /// Writes the last row of the replica `id` again and returns it, or removes it if the replica has gone.
    pub fn write_again(&mut self, store: &Store, id: &str) -> Option<Value> {
        let row = self.entries.get(id).cloned();
        match &row {
            Some(row) => self.list(store, id, row.clone()),
            None => self.unlist(store, id),
        }
        row
    }
}

/// Copies of the store.
#[derive(Debug, Default)]
pub struct Backups {
    copies: Mutex<VecDeque<(Instant, Backup)>>,
    /// Held by the drill in progress.
    drill: Mutex<()>,
}

impl Backups {
    /// Copies the store until `end`, while replicas write their rows again, one after another.
    pub fn run(&self, cluster: &Cluster, end: Instant) {
        for number in 0.. {
            if Instant::now() > end {
                return;
            }
            let ids = cluster.ledger.lock().unwrap().ids();
            let next = ids.get(number % ids.len().max(1));
            if let (Some(id), Ok(_guard)) = (next, self.drill.try_lock()) {
                cluster.write_again(id);
            }
            let mut copies = self.copies.lock().unwrap();
            copies.push_back((Instant::now(), cluster.store.back_up()));
            while copies.front().is_some_and(|(at, _)| at.elapsed() > MAX_AGE) {
                copies.pop_front();
            }
            drop(copies);
            thread::sleep(INTERVAL);
        }
    }

    /// The youngest copy that is at least `age` old, or the oldest one.
    fn find(&self, age: Duration) -> Option<Backup> {
        let copies = self.copies.lock().unwrap();
        let old = copies.iter().rev().find(|(at, _)| at.elapsed() >= age);
        let found = old.or_else(|| copies.front());
        found.map(|(_, backup)| backup.clone())
    }
}

/// A drill as it was drawn.
#[derive(Debug, Clone, Copy)]
pub struct Drill {
    away: Duration,
    /// Age of the copy.
    age: Duration,
    /// Whether versions have passed the lost ones before the store answers.
    is_passed: bool,
    /// Replica that begins to drain as the store returns.
    leaving: Option<usize>,
    /// Whether replicas write their rows again of which the copy has the last one.
    all_write: bool,
}

impl Drill {
    /// Draws a drill.
    pub fn draw(rng: &mut Pcg64Mcg) -> Self {
        let replica = rng.random_range(0..8);
        Self {
            away: Duration::from_millis(rng.random_range(100..1_500)),
            age: Duration::from_millis(rng.random_range(200..4_000)),
            is_passed: rng.random::<f64>() < PASSED_FRACTION,
            leaving: (rng.random::<f64>() < DRAINING_FRACTION).then_some(replica),
            all_write: rng.random(),
        }
    }

    /// Runs the drill, and writes again what the operator and the replicas wrote.
    pub fn run(self, cluster: &Cluster, backups: &Backups) {
        let _guard = backups.drill.lock().unwrap();
        let from = Instant::now();
        cluster.begin_outage();
        thread::sleep(self.away);
        let lost = cluster.store.last_version();
        if let Some(backup) = backups.find(self.age) {
            cluster.store.restore(&backup);
        }
        let restored = cluster.store.last_version();
        cluster.write_operator_rows();
        while self.is_passed && cluster.store.last_version() <= lost {
            for id in cluster.store.keys("servers") {
                cluster.write_again(&id);
            }
        }
        cluster.end_outage(from);
        if let Some(index) = self.leaving {
            cluster.replace_silently(index);
        }
        let mut ids: BTreeSet<String> = cluster.store.keys("servers").into_iter().collect();
        let ledger = cluster.ledger.lock().unwrap();
        ids.extend(ledger.ids());
        ids.retain(|id| {
            let version = cluster.store.version("servers", id);
            let is_new = version > restored;
            !is_new && (self.all_write || !ledger.is_current(&cluster.store, id))
        });
        drop(ledger);
        let pause = REWRITE_TIME / (ids.len() as u32 + 1);
        for id in ids {
            thread::sleep(pause);
            cluster.write_again(&id);
        }
    }
}
