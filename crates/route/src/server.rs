//! The replicas of a cell in an arena, with ordered indexes of free capacity.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use ident::Handle;
use ident::Replica;
use ident::Time;
use ident::Zone;

use crate::rate::Ewma;
use crate::replica::Member;
use crate::replica::Report;
use crate::replica::Role;

/// Weight of one sample in a replica's learned rates.
const RATE_WEIGHT: f64 = 0.1;

/// Names a replica inside its cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u32);

/// One prefill given to a replica.
#[derive(Debug, Clone, Copy)]
struct Job {
    handle: Handle,
    span: Duration,
}

/// One replica and all that the cell knows about it.
#[derive(Debug)]
pub struct Server {
    /// What the list of members says.
    pub member: Member,
    /// Whether it answered last time.
    pub reachable: bool,
    /// Whether it is still listed.
    pub listed: bool,
    /// Requests of this cell that hold a slot or wait for one.
    pub claims: u32,
    /// Requests of others, or leaked ones, that the last report shows.
    pub foreign: u32,
    /// Load by the last report.
    pub reported: u32,
    /// Prompt tokens waiting by the last report.
    pub reported_tokens: u64,
    /// Requests sent since the last report.
    pub sent: u32,
    /// Start of the replica's present run.
    pub boot: u64,
    /// Learned prefill tokens a second.
    pub rate: Ewma,
    /// Learned seconds that a plain call takes.
    pub service: Ewma,
    jobs: VecDeque<Job>,
    started: Time,
    ready: Time,
}

impl Server {
    fn new(member: Member, rate: f64) -> Self {
        Self {
            member,
            reachable: true,
            listed: true,
            claims: 0,
            foreign: 0,
            reported: 0,
            reported_tokens: 0,
            sent: 0,
            boot: 0,
            rate: Ewma::new(rate, RATE_WEIGHT),
            service: Ewma::new(0.02, RATE_WEIGHT),
            jobs: VecDeque::new(),
            started: Time::ZERO,
            ready: Time::ZERO,
        }
    }

    /// Whether it may get new work.
    pub const fn is_open(&self) -> bool {
        self.reachable && self.listed && !self.member.leaving
    }

    /// Slots that are neither claimed nor taken by others.
    pub const fn free(&self) -> u32 {
        self.member.slots.saturating_sub(self.claims + self.foreign)
    }

    /// Requests on the replica, of this cell and of others.
    pub const fn load(&self) -> u32 {
        self.claims + self.foreign
    }

    /// When the prefills given to it are expected to have ended.
    pub const fn ready(&self) -> Time {
        self.ready
    }

    fn refresh(&mut self) {
        let total: Duration = self.jobs.iter().map(|job| job.span).sum();
        self.ready = self.started + total;
    }
}

/// The replicas of a cell.
#[derive(Debug, Default)]
pub struct Pool {
    servers: Vec<Server>,
    keys: HashMap<Replica, Key>,
    prefills: BTreeSet<(Time, Key)>,
    decodes: BTreeMap<Zone, BTreeSet<(u32, Key)>>,
    plains: BTreeSet<(u32, Key)>,
    free_slots: u32,
}

impl Pool {
    /// The key of `replica`.
    pub fn key(&self, replica: Replica) -> Option<Key> {
        self.keys.get(&replica).copied()
    }

    /// The replica behind `key`.
    pub fn get(&self, key: Key) -> &Server {
        &self.servers[key.0 as usize]
    }

    /// All replicas, closed ones too.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Server)> {
        self.servers
            .iter()
            .enumerate()
            .map(|(i, server)| (Key(i as u32), server))
    }

    /// Open prefill replicas, the one that is ready first foremost.
    pub fn prefills(&self) -> impl Iterator<Item = (Time, Key)> + '_ {
        self.prefills.iter().copied()
    }

    /// Open decode replicas of each zone, the least loaded foremost.
    pub fn decodes(&self) -> impl Iterator<Item = (Zone, &BTreeSet<(u32, Key)>)> + '_ {
        self.decodes.iter().map(|(zone, set)| (*zone, set))
    }

    /// Open plain replicas, the least loaded foremost.
    pub fn plains(&self) -> impl Iterator<Item = (u32, Key)> + '_ {
        self.plains.iter().copied()
    }

    /// Free slots on all open decode replicas.
    pub const fn free_slots(&self) -> u32 {
        self.free_slots
    }

    /// Adds `member`, or updates it.
    pub fn insert(&mut self, member: Member, rate: f64) -> Key {
        if let Some(key) = self.key(member.replica) {
            self.update(key, |server| {
                server.member = member;
                server.listed = true;
            });
            return key;
        }
        let key = Key(self.servers.len() as u32);
        self.servers.push(Server::new(member, rate));
        self.keys.insert(member.replica, key);
        self.link(key);
        key
    }

    /// Changes a replica through `change` and keeps the indexes in step.
    pub fn update(&mut self, key: Key, change: impl FnOnce(&mut Server)) {
        self.unlink(key);
        let server = &mut self.servers[key.0 as usize];
        change(server);
        server.refresh();
        self.link(key);
    }

    /// Gives a prefill to a replica.
    pub fn push_job(&mut self, now: Time, key: Key, handle: Handle, span: Duration) {
        self.update(key, |server| {
            if server.jobs.is_empty() {
                server.started = now;
            }
            server.jobs.push_back(Job { handle, span });
            server.sent += 1;
        });
    }

    /// Takes a prefill back, ended or not; answers how long it ran, if it was the running one.
    pub fn pull_job(&mut self, now: Time, key: Key, handle: Handle) -> Option<Duration> {
        let mut ran = None;
        self.update(key, |server| {
            let Some(at) = server.jobs.iter().position(|job| job.handle == handle) else {
                return;
            };
            server.jobs.remove(at);
            if at == 0 {
                ran = Some(now.since(server.started));
                server.started = now;
            }
        });
        ran
    }

    /// Takes in the load of `report`.
    pub fn report(&mut self, key: Key, report: &Report) {
        self.update(key, |server| {
            let own = server.claims.max(server.jobs.len() as u32);
            server.reachable = true;
            server.foreign = report.works.saturating_sub(own);
            server.reported = report.running + report.waiting;
            server.reported_tokens = report.queued_tokens;
            server.sent = 0;
        });
    }

    /// Clears all load of a replica whose memory is gone.
    pub fn clear(&mut self, key: Key) {
        self.update(key, |server| {
            server.jobs.clear();
            server.claims = 0;
            server.foreign = 0;
            server.reported = 0;
            server.sent = 0;
        });
    }

    fn link(&mut self, key: Key) {
        let server = &self.servers[key.0 as usize];
        if !server.is_open() {
            return;
        }
        match server.member.role {
            Role::Prefill => {
                self.prefills.insert((server.ready, key));
            }
            Role::Decode => {
                self.free_slots += server.free();
                self.decodes
                    .entry(server.member.zone)
                    .or_default()
                    .insert((server.load(), key));
            }
            Role::Plain => {
                self.plains.insert((server.load(), key));
            }
        }
    }

    fn unlink(&mut self, key: Key) {
        let server = &self.servers[key.0 as usize];
        if !server.is_open() {
            return;
        }
        match server.member.role {
            Role::Prefill => {
                self.prefills.remove(&(server.ready, key));
            }
            Role::Decode => {
                self.free_slots -= server.free();
                if let Some(set) = self.decodes.get_mut(&server.member.zone) {
                    set.remove(&(server.load(), key));
                }
            }
            Role::Plain => {
                self.plains.remove(&(server.load(), key));
            }
        }
    }
}
