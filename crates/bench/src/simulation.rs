//! Simulates the decision cores of many daemons with a network, a store and replicas in virtual time.
//!
//! The cores are the real ones ([`node::Node`]), their environment is a simple model. Frames are
//! encoded as on the wire and counted by kind; the processor time of each step is counted by the
//! kind of event.

mod actions;
mod control;
pub mod counters;
pub mod kind;
pub mod list;
pub mod replicas;
pub mod size;
pub mod store;

use std::collections::BTreeMap;
use std::time::Duration;

use ident::Incarnation;
use ident::Instance;
use ident::Time;
use ident::Zone;
use node::Node;
use node::action::Action;
use node::event::Event;
use node::settings::Settings;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::simulation::counters::Counters;
use crate::simulation::kind::Kind;
use crate::simulation::list::Listing;
use crate::simulation::replicas::Replicas;
use crate::simulation::size::Size;
use crate::simulation::store::Store;
use crate::usage;

/// One-way delays inside a data centre, inside a region and between regions.
const DELAYS: [Duration; 3] = [
    Duration::from_micros(250),
    Duration::from_micros(1_500),
    Duration::from_millis(20),
];
/// Largest random jitter of a delay, in microseconds.
const JITTER_US: u64 = 250;
/// Time between two reads of the list by a daemon.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Unix time at which the simulation starts, in milliseconds.
const STARTED_MS: u64 = 1_790_000_000_000;

/// A simulated daemon.
#[derive(Debug)]
struct Daemon {
    node: Node,
    zone: usize,
    wake: Time,
    /// Number of restarts; events for an earlier run are dropped.
    run: u64,
}

/// An event in the queue.
#[derive(Debug)]
enum SimEvent {
    /// The timer of a core.
    Wake,
    /// An event for the core.
    Event(Box<Event>),
    /// A read of the list.
    List,
}

/// Daemons and their environment.
#[derive(Debug)]
pub struct Simulation {
    /// Current virtual time.
    pub now: Time,
    /// The platform's store.
    pub store: Store,
    /// Frames sent and processor time used by the cores.
    pub counters: Counters,
    pub(crate) listing: Listing,
    pub(crate) replicas: Replicas,
    /// Whether each daemon is cut off from the store and from the daemons that are not.
    pub(crate) isolated: Vec<bool>,
    size: Size,
    daemons: Vec<Daemon>,
    index: BTreeMap<Instance, usize>,
    queue: BTreeMap<(Time, u64), (usize, u64, SimEvent)>,
    sequence: u64,
    random: Pcg64Mcg,
}

impl Simulation {
    /// A simulation of `size` in which every daemon has just started and no replicas are listed yet.
    pub fn new(size: Size, seed: u64) -> Self {
        let listing = Listing::new(&size);
        let index = (0..size.daemons).map(|index| (list::instance(index), index));
        let mut simulation = Self {
            now: Time::from_millis(1),
            store: Store::new(list::table(&size)),
            counters: Counters::new(size.daemons),
            replicas: Replicas::new(&size),
            isolated: vec![false; size.daemons],
            index: index.collect(),
            daemons: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            listing,
            size,
        };
        for index in 0..size.daemons {
            let daemon = simulation.new_daemon(index, 0);
            simulation.daemons.push(daemon);
            simulation.start(index);
        }
        simulation
    }

    /// Runs until every daemon knows all others and has the table, then lists the replicas. Returns how
    /// long the first part took, at most about `limit`.
    pub fn settle(&mut self, limit: Duration) -> Duration {
        let started = self.now;
        while !self.is_settled() && self.now.since(started) < limit {
            self.run(Duration::from_millis(500));
        }
        let span = self.now.since(started);
        self.listing.list_replicas();
        self.run(Duration::from_secs(3));
        span
    }

    fn is_settled(&self) -> bool {
        let near = Zone::new(&list::zone_name(0));
        self.daemons.iter().all(|daemon| {
            daemon.node.table().is_some()
                && daemon.node.addresses(self.now, near).len() == self.size.daemons
        })
    }

    /// Handles the events of the next `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let (index, run, event) = entry.remove();
            self.now = at;
            if self.daemons[index].run == run {
                self.handle(index, event);
            }
        }
        self.now = end;
    }

    /// Runs until `done` holds, which is checked every `interval`; `None` if it does not within `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        interval: Duration,
        done: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let started = self.now;
        while !done(self) {
            if self.now.since(started) >= limit {
                return None;
            }
            self.run(interval);
        }
        Some(self.now.since(started))
    }

    fn new_daemon(&mut self, index: usize, run: u64) -> Daemon {
        let zone = index % self.size.zones;
        let settings = Settings {
            instance: list::instance(index),
            name: list::instance_name(index),
            zone: Zone::new(&list::zone_name(zone)),
            incarnation: Incarnation(self.random.random()),
            started_ms: STARTED_MS + self.now.as_millis(),
            seeds: (0..self.size.daemons.min(3)).map(list::instance).collect(),
            secret: b"at least sixteen characters".to_vec(),
            lease: Duration::from_secs(3),
            window: Duration::from_mins(10),
            address_ttl: Duration::from_secs(5),
            orphan_grace: Duration::from_secs(4),
            inspect_every: Duration::from_millis(250),
            poll_every: Duration::from_millis(500),
            max_open: 4_096,
            max_keys: 65_536,
        };
        let seed = self.random.random();
        Daemon {
            node: Node::new(settings, self.now, seed),
            zone,
            wake: Time::NEVER,
            run,
        }
    }

    fn start(&mut self, index: usize) {
        let wait = Duration::from_micros(self.random.random_range(0..400_000));
        self.schedule(self.now + wait, index, SimEvent::List);
        self.wake(index);
    }

    fn handle(&mut self, index: usize, event: SimEvent) {
        match event {
            SimEvent::Wake if self.daemons[index].wake == self.now => self.step(index, Event::Tick),
            SimEvent::Wake => {}
            SimEvent::Event(event) => self.step(index, *event),
            SimEvent::List => {
                self.schedule(self.now + LIST_INTERVAL, index, SimEvent::List);
                if self.store.is_reachable(self.isolated[index]) {
                    self.store.count_list();
                    let list = self.listing.list();
                    self.step(index, Event::Listed(list));
                }
            }
        }
    }

    fn step(&mut self, index: usize, event: Event) {
        let kind = Kind::of_event(&event);
        let mut actions = Vec::new();
        let started = usage::thread_time();
        let daemon = &mut self.daemons[index];
        daemon.node.step(self.now, event, &mut actions);
        let spent = usage::thread_time().saturating_sub(started);
        self.counters.record_step(index, kind, spent);
        for action in actions {
            self.apply_action(index, action);
        }
        self.wake(index);
    }

    fn wake(&mut self, index: usize) {
        let at = self.daemons[index]
            .node
            .next_wake()
            .max(self.now + Duration::from_micros(1));
        if self.daemons[index].wake != at {
            self.daemons[index].wake = at;
            self.schedule(at, index, SimEvent::Wake);
        }
    }

    fn push(&mut self, at: Time, index: usize, event: Event) {
        self.schedule(at, index, SimEvent::Event(Box::new(event)));
    }

    fn schedule(&mut self, at: Time, index: usize, event: SimEvent) {
        self.sequence += 1;
        let run = self.daemons.get(index).map_or(0, |daemon| daemon.run);
        self.queue.insert((at, self.sequence), (index, run, event));
    }

    /// One-way delay between two data centres.
    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let delay = match (from, to) {
            _ if from == to => DELAYS[0],
            _ if list::region(from) == list::region(to) => DELAYS[1],
            _ => DELAYS[2],
        };
        delay + Duration::from_micros(self.random.random_range(0..JITTER_US))
    }

    fn apply_action(&mut self, index: usize, action: Action) {
        actions::carry_out(self, index, action);
    }
}
