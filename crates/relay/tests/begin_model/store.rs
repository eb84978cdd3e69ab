//! The replicas, and the store that lists them.

use std::collections::BTreeMap;
use std::time::Duration;

use ident::Time;
use relay::begins::Stream;
use relay::epoch::Epoch;
use relay::replica::Birth;
use relay::replica::Delta;
use relay::replica::Replica;
use relay::replica::Snapshot;
use relay::replica::Stage;
use relay::replica::Update;
use relay::revision::Revision;

use crate::common;

pub const SERVICE: &str = "llm";
pub const VERSIONS: [&str; 2] = ["v1", "v1.1"];
/// How long an entry that the store lost stays away.
const RETURN: Duration = Duration::from_secs(2);

/// A running replica.
#[derive(Debug, Clone)]
pub struct Process {
    /// Its entry, as it writes it.
    pub entry: Replica,
    ends_at: Time,
    /// Since when its entry is missing from the store, unless it leaves.
    lost_at: Option<Time>,
}

/// Rows of the store.
#[derive(Debug, Clone, Default)]
struct Rows {
    version: u64,
    replicas: BTreeMap<String, Replica>,
    /// Saved begins by run of an instance.
    begins: BTreeMap<u32, Vec<(Stream, String)>>,
    epoch: Option<Epoch>,
}

/// The store, and the replicas that it lists.
#[derive(Debug)]
pub struct Store {
    era: u64,
    rows: Rows,
    /// What a new era begins with.
    copy: Rows,
    /// Version and id of each change of a replica's row in this era.
    changes: Vec<(u64, String)>,
    /// Version up to which changes are forgotten.
    compacted: u64,
    pub processes: BTreeMap<String, Process>,
    listed: usize,
}

impl Store {
    pub fn new() -> Self {
        let mut store = Self {
            era: 1,
            rows: Rows::default(),
            copy: Rows::default(),
            changes: Vec::new(),
            compacted: 0,
            processes: BTreeMap::new(),
            listed: 0,
        };
        store.list(0, true);
        store.list(0, false);
        store.copy = store.rows.clone();
        store
    }

    pub fn revision(&self) -> Revision {
        Revision::new(self.era, self.rows.version)
    }

    /// Lists a new replica of the version `software`.
    pub fn list(&mut self, software: usize, is_born: bool) {
        let id = format!("r{}", self.listed);
        self.listed += 1;
        let entry = Replica {
            birth: is_born.then_some(Birth(1)),
            software: Some(VERSIONS[software].to_owned()),
            ..common::replica(&id, SERVICE, Some(Stage::Decode), 8)
        };
        let process = Process {
            entry,
            ends_at: Time::NEVER,
            lost_at: None,
        };
        self.processes.insert(id.clone(), process);
        self.publish(&id);
    }

    /// Ids of the replicas that run, in order.
    pub fn running(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    /// Whether the replica at `position` reports its start, and may restart under its id.
    pub fn reports_start(&self, position: usize) -> bool {
        let process = self.processes.values().nth(position);
        process.is_some_and(|process| process.entry.birth.is_some())
    }

    pub fn runs_version(&self, software: &str) -> bool {
        let mut running = self.processes.values();
        running.any(|process| process.entry.software.as_deref() == Some(software))
    }

    /// Writes the entry of the running replica `id`, unless it leaves.
    pub fn publish(&mut self, id: &str) {
        let process = self.processes.get_mut(id);
        let Some(process) = process.filter(|process| process.ends_at == Time::NEVER) else {
            return;
        };
        process.lost_at = None;
        let entry = process.entry.clone();
        self.rows.version += 1;
        self.rows.replicas.insert(id.to_owned(), entry);
        self.changes.push((self.rows.version, id.to_owned()));
    }

    /// Removes the entry of `id`, which goes on until `ends_at`.
    pub fn unlist(&mut self, id: &str, ends_at: Time) {
        self.rows.version += 1;
        self.rows.replicas.remove(id);
        self.changes.push((self.rows.version, id.to_owned()));
        if let Some(process) = self.processes.get_mut(id) {
            process.ends_at = process.ends_at.min(ends_at);
        }
    }

    /// Restarts `id` with the version `software`; its entry does not show it yet.
    pub fn restart(&mut self, id: &str, software: usize) {
        if let Some(process) = self.processes.get_mut(id) {
            let birth = process.entry.birth.map(|birth| Birth(birth.0 + 1));
            process.entry = Replica {
                birth,
                software: Some(VERSIONS[software].to_owned()),
                ..process.entry.clone()
            };
        }
    }

    pub fn forget(&mut self) {
        self.compacted = self.rows.version;
    }

    pub fn keep_copy(&mut self) {
        self.copy = self.rows.clone();
    }

    /// Comes back from the copy.
    pub fn begin_era(&mut self, now: Time) {
        self.era += 1;
        self.rows = self.copy.clone();
        self.changes.clear();
        self.compacted = self.rows.version;
        for (id, process) in &mut self.processes {
            if process.ends_at == Time::NEVER && self.rows.replicas.get(id) != Some(&process.entry)
            {
                process.lost_at = Some(now);
            }
        }
    }

    /// Ends replicas that leave, and lets those return whose entries were lost.
    pub fn tick(&mut self, now: Time) {
        self.processes.retain(|_, process| now < process.ends_at);
        let lost = self.processes.iter();
        let lost = lost.filter(|(_, process)| process.lost_at.is_some_and(|at| now >= at + RETURN));
        let lost: Vec<String> = lost.map(|(id, _)| id.clone()).collect();
        for id in lost {
            self.publish(&id);
        }
        let running = |id: &String| self.processes.contains_key(id);
        let dead = self.rows.replicas.keys().filter(|id| !running(id));
        let dead: Vec<String> = dead.cloned().collect();
        for id in dead {
            self.unlist(&id, now);
        }
    }

    /// The answer to a reading of a list that has `since`.
    pub fn read(&self, since: Revision) -> Update {
        match self.changes_since(since) {
            Some(delta) if since.version > 0 => Update::Changed(delta),
            _ => Update::All(Snapshot {
                version: self.revision(),
                replicas: self.rows.replicas.values().cloned().collect(),
                ..Snapshot::default()
            }),
        }
    }

    /// `None` if they are forgotten.
    pub fn changes_since(&self, since: Revision) -> Option<Delta> {
        if since.era != self.era || since.version < self.compacted {
            return None;
        }
        let changed = self.changes.iter().filter(|(at, _)| *at > since.version);
        let mut ids: Vec<&String> = changed.map(|(_, id)| id).collect();
        ids.sort_unstable();
        ids.dedup();
        let rows = &self.rows.replicas;
        let gone = ids.iter().filter(|id| !rows.contains_key(**id));
        Some(Delta {
            since,
            version: self.revision(),
            gone: gone.map(|id| (*id).clone()).collect(),
            replicas: ids.iter().filter_map(|id| rows.get(*id).cloned()).collect(),
            ..Delta::default()
        })
    }

    pub fn save(&mut self, run: u32, begins: Vec<(Stream, String)>) {
        self.rows.version += 1;
        self.rows.begins.insert(run, begins);
    }

    pub fn saved(&self) -> impl Iterator<Item = &(Stream, String)> {
        self.rows.begins.values().flatten()
    }

    pub fn record(&mut self, epoch: Epoch) {
        self.rows.version += 1;
        self.rows.epoch = Some(epoch);
    }

    pub fn epoch(&self) -> Option<&Epoch> {
        self.rows.epoch.as_ref()
    }
}
