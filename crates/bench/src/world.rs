//! Decision cores of many daemons with a network, a store and replicas, in virtual time.
//!
//! The cores are the daemons' own ([`node::Node`]); only what surrounds them is simple. Frames are
//! encoded as on the wire and counted by kind; the processor time of each step is counted by the
//! kind of event.

mod act;
pub mod backs;
mod control;
pub mod kind;
pub mod list;
pub mod size;
pub mod store;
pub mod tally;

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

use crate::usage;
use crate::world::backs::Backs;
use crate::world::kind::Kind;
use crate::world::list::Listing;
use crate::world::size::Size;
use crate::world::store::Store;
use crate::world::tally::Tally;

/// One-way delays inside a data centre, inside a region and between regions.
const DELAYS: [Duration; 3] = [
    Duration::from_micros(250),
    Duration::from_micros(1_500),
    Duration::from_millis(20),
];
/// Largest random addition to a delay, in microseconds.
const JITTER_US: u64 = 250;
/// Time between two reads of the list by a daemon.
const LIST_EVERY: Duration = Duration::from_millis(500);
/// Start of the first runs, in milliseconds of the Unix clock.
const STARTED_MS: u64 = 1_790_000_000_000;

/// A daemon.
#[derive(Debug)]
struct Seat {
    node: Node,
    zone: usize,
    wake: Time,
    /// Raised with each run, so that what was meant for a former one is dropped.
    run: u64,
}

/// What is about to happen.
#[derive(Debug)]
enum Item {
    /// A core's timer.
    Wake,
    /// An event for the core.
    Event(Box<Event>),
    /// A read of the list.
    List,
}

/// Daemons with their surroundings.
#[derive(Debug)]
pub struct World {
    /// The present time.
    pub now: Time,
    /// The platform's store.
    pub store: Store,
    /// What the cores have sent and used.
    pub tally: Tally,
    pub(crate) listing: Listing,
    pub(crate) backs: Backs,
    /// Daemons that are cut off from the others and from the store.
    pub(crate) cut: Vec<bool>,
    size: Size,
    seats: Vec<Seat>,
    index: BTreeMap<Instance, usize>,
    queue: BTreeMap<(Time, u64), (usize, u64, Item)>,
    ticket: u64,
    random: Pcg64Mcg,
}

impl World {
    /// A world of `size` in which every daemon has just started; no replicas are listed yet.
    pub fn new(size: Size, seed: u64) -> Self {
        let listing = Listing::new(&size);
        let index = (0..size.daemons).map(|index| (list::instance(index), index));
        let mut world = Self {
            now: Time::from_millis(1),
            store: Store::new(list::table(&size)),
            tally: Tally::new(size.daemons),
            backs: Backs::new(&size),
            cut: vec![false; size.daemons],
            index: index.collect(),
            seats: Vec::new(),
            queue: BTreeMap::new(),
            ticket: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            listing,
            size,
        };
        for index in 0..size.daemons {
            let seat = world.seat(index, 0);
            world.seats.push(seat);
            world.begin(index);
        }
        world
    }

    /// Runs until every daemon knows all others and has the table, then lists the replicas.
    pub fn settle(&mut self, limit: Duration) -> Duration {
        let begun = self.now;
        while !self.settled() && self.now.since(begun) < limit {
            self.run(Duration::from_millis(500));
        }
        let span = self.now.since(begun);
        self.listing.list_replicas();
        self.run(Duration::from_secs(3));
        span
    }

    fn settled(&self) -> bool {
        let near = Zone::new(&list::zone_name(0));
        self.seats.iter().all(|seat| {
            seat.node.table().is_some()
                && seat.node.addresses(self.now, near).len() == self.size.daemons
        })
    }

    /// Lets `span` pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let (index, run, item) = entry.remove();
            self.now = at;
            if self.seats[index].run == run {
                self.happen(index, item);
            }
        }
        self.now = end;
    }

    /// Runs until `done` holds, looking every `look`; `None` if it does not within `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        look: Duration,
        done: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let begun = self.now;
        while !done(self) {
            if self.now.since(begun) >= limit {
                return None;
            }
            self.run(look);
        }
        Some(self.now.since(begun))
    }

    fn seat(&mut self, index: usize, run: u64) -> Seat {
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
        Seat {
            node: Node::new(settings, self.now, seed),
            zone,
            wake: Time::NEVER,
            run,
        }
    }

    fn begin(&mut self, index: usize) {
        let wait = Duration::from_micros(self.random.random_range(0..400_000));
        self.plan(self.now + wait, index, Item::List);
        self.wake(index);
    }

    fn happen(&mut self, index: usize, item: Item) {
        match item {
            Item::Wake if self.seats[index].wake == self.now => self.step(index, Event::Tick),
            Item::Wake => {}
            Item::Event(event) => self.step(index, *event),
            Item::List => {
                self.plan(self.now + LIST_EVERY, index, Item::List);
                if self.store.reachable(self.cut[index]) {
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
        let begun = usage::thread_time();
        let seat = &mut self.seats[index];
        seat.node.step(self.now, event, &mut actions);
        let spent = usage::thread_time().saturating_sub(begun);
        self.tally.step(index, kind, spent);
        for action in actions {
            self.act(index, action);
        }
        self.wake(index);
    }

    fn wake(&mut self, index: usize) {
        let at = self.seats[index]
            .node
            .next_wake()
            .max(self.now + Duration::from_micros(1));
        if self.seats[index].wake != at {
            self.seats[index].wake = at;
            self.plan(at, index, Item::Wake);
        }
    }

    fn push(&mut self, at: Time, index: usize, event: Event) {
        self.plan(at, index, Item::Event(Box::new(event)));
    }

    fn plan(&mut self, at: Time, index: usize, item: Item) {
        self.ticket += 1;
        let run = self.seats.get(index).map_or(0, |seat| seat.run);
        self.queue.insert((at, self.ticket), (index, run, item));
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

    fn act(&mut self, index: usize, action: Action) {
        act::carry_out(self, index, action);
    }
}
