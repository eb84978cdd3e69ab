//! Simulates a network of daemons in virtual time.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;

use fleet::Fleet;
use fleet::Member;
use fleet::Message;
use fleet::Output;
use fleet::Settings;
use fleet::entry::Entry;
use fleet::member::State;
use ident::Incarnation;
use ident::Instance;
use ident::Time;
use ident::Zone;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// One second.
pub const SECOND: Duration = Duration::from_secs(1);
/// Minimum one-way delay of a message, in microseconds.
const DELAY_US: u64 = 1_500;
/// Upper bound of the random delay added to each message, in microseconds.
const JITTER_US: u64 = 1_000;
/// Size of the IP and UDP headers, added to each message.
const HEADER_BYTES: usize = 28;

/// A change of a member's state, as seen by one daemon.
#[derive(Debug, Clone, Copy)]
pub struct Change {
    pub at: Time,
    pub observer: usize,
    pub member: Member,
    pub before: Option<State>,
}

/// Traffic sent by one daemon.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sent {
    pub messages: u64,
    pub bytes: u64,
}

#[derive(Debug, Clone)]
enum Event {
    Step(usize),
    Message(usize, Instance, Message),
}

#[derive(Debug)]
struct Node {
    fleet: Fleet,
    next: Time,
    up: bool,
    /// Messages buffered while the daemon is paused; `None` if it runs.
    inbox: Option<Vec<(Instance, Message)>>,
}

/// Daemons connected by a simulated network.
#[derive(Debug)]
pub struct Net {
    pub now: Time,
    pub changes: Vec<Change>,
    pub sent: Vec<Sent>,
    /// Share of messages lost, in thousandths.
    pub loss_permille: u32,
    /// Partition of each daemon; messages between partitions are lost.
    pub partition: Vec<usize>,
    nodes: Vec<Node>,
    index_by_instance: BTreeMap<Instance, usize>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    event_id: u64,
    rng: Pcg64Mcg,
    settings: Settings,
}

pub fn instance(index: usize) -> Instance {
    Instance::new(&format!("entry-{index}"))
}

pub fn data_centre(index: usize) -> Zone {
    Zone::new(["osijek-a", "vinkovci-b", "dakovo-c"][index % 3])
}

pub fn member(index: usize, run: u64) -> Member {
    let incarnation = Incarnation(Instance::new(&format!("{index}#{run}")).0);
    Member::new(
        instance(index),
        incarnation,
        1_790_000_000_000 + run,
        data_centre(index),
    )
}

pub fn entries(indices: impl Iterator<Item = usize>) -> Vec<Entry> {
    indices
        .map(|index| Entry::new(instance(index), data_centre(index)))
        .collect()
}

impl Net {
    /// `count` daemons that start within 200 ms with the complete list.
    pub fn new(count: usize, seed: u64) -> Self {
        Self::with_settings(count, seed, Settings::default())
    }

    pub fn with_settings(count: usize, seed: u64, settings: Settings) -> Self {
        let mut net = Self {
            now: Time::from_millis(1),
            changes: Vec::new(),
            sent: vec![Sent::default(); count],
            loss_permille: 0,
            partition: vec![0; count],
            nodes: Vec::new(),
            index_by_instance: (0..count).map(|index| (instance(index), index)).collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            event_id: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            settings,
        };
        let list = entries(0..count);
        for index in 0..count {
            let seed = net.rng.random();
            let mut fleet = Fleet::new(member(index, 0), settings, seed);
            fleet.set_list(net.now, &list);
            net.nodes.push(Node {
                fleet,
                next: Time::NEVER,
                up: true,
                inbox: None,
            });
            let start = net.now + Duration::from_micros(net.rng.random_range(0..200_000));
            net.schedule_step(index, start);
        }
        net
    }

    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    pub fn fleet(&self, index: usize) -> &Fleet {
        &self.nodes[index].fleet
    }

    /// Runs `act` on a daemon, followed by a protocol step.
    pub fn with_fleet(&mut self, index: usize, act: impl FnOnce(&mut Fleet, Time)) {
        act(&mut self.nodes[index].fleet, self.now);
        self.step(index);
    }

    pub fn set_list(&mut self, list: &[Entry]) {
        let now = self.now;
        for node in &mut self.nodes {
            node.fleet.set_list(now, list);
        }
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].up = false;
    }

    pub fn restart(&mut self, index: usize, run: u64) {
        let seed = self.rng.random();
        let mut fleet = Fleet::new(member(index, run), self.settings, seed);
        fleet.set_list(self.now, &entries(0..self.count()));
        self.nodes[index] = Node {
            fleet,
            next: Time::NEVER,
            up: true,
            inbox: None,
        };
        self.schedule_step(index, self.now);
    }

    /// Pauses the daemon; messages to it are buffered.
    pub fn pause(&mut self, index: usize) {
        self.nodes[index].inbox = Some(Vec::new());
    }

    /// Resumes the daemon, which reads the buffered messages before its next step.
    pub fn resume(&mut self, index: usize) {
        let inbox = self.nodes[index].inbox.take().unwrap_or_default();
        for (from, message) in inbox {
            self.nodes[index].fleet.receive(self.now, from, &message);
        }
        self.step(index);
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(&Reverse((at, event_id))) = self.queue.peek() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            match self.events.remove(&event_id) {
                Some(Event::Step(index)) if self.nodes[index].next == at => self.step(index),
                Some(Event::Message(to, from, message)) => self.deliver(to, from, message),
                _ => {}
            }
        }
        self.now = end;
    }

    /// Runs until `done` holds, checked every 10 ms; `None` if that takes longer than `limit`.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while !done(self) {
            if self.now.since(start) >= limit {
                return None;
            }
            self.run(Duration::from_millis(10));
        }
        Some(self.now.since(start))
    }

    /// Whether each running daemon sees exactly the running daemons as in reach.
    pub fn all_agree(&self) -> bool {
        let running = || {
            self.nodes
                .iter()
                .filter(|node| node.up && node.inbox.is_none())
        };
        let up: BTreeSet<Incarnation> = running()
            .map(|node| node.fleet.local_member().incarnation)
            .collect();
        running().all(|node| {
            let fleet = &node.fleet;
            let count = fleet.alive().count();
            count == up.len() && fleet.alive().all(|member| up.contains(&member.incarnation))
        })
    }

    /// Number of running daemons for which `incarnation` is dead.
    pub fn dead_at(&self, incarnation: Incarnation) -> usize {
        let nodes = self.nodes.iter().filter(|node| node.up);
        nodes
            .filter(|node| node.fleet.state(incarnation) == Some(State::Dead))
            .count()
    }

    /// Runs until all daemons agree, checked every 200 ms.
    pub fn converge(&mut self, limit: Duration) {
        let start = self.now;
        while !self.all_agree() {
            assert!(self.now.since(start) < limit, "the fleet did not converge");
            self.run(Duration::from_millis(200));
        }
    }

    pub fn reset_counters(&mut self) {
        self.sent.fill(Sent::default());
        self.changes.clear();
    }

    fn schedule_step(&mut self, index: usize, at: Time) {
        if self.nodes[index].next != at {
            self.nodes[index].next = at;
            self.schedule(at, Event::Step(index));
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.event_id += 1;
        self.events.insert(self.event_id, event);
        self.queue.push(Reverse((at, self.event_id)));
    }

    fn step(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if !node.up || node.inbox.is_some() {
            return;
        }
        let mut out = Vec::new();
        let next = node.fleet.step(self.now, &mut out);
        assert!(next > self.now, "a step must not schedule another at once");
        self.schedule_step(index, next);
        for output in out {
            match output {
                Output::Send { to, message } => self.send(index, to, message),
                Output::Changed { member, before } => {
                    self.changes.push(Change {
                        at: self.now,
                        observer: index,
                        member,
                        before,
                    });
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: Instance, message: Message) {
        self.sent[from].messages += 1;
        self.sent[from].bytes += (encoded_len(&message) + HEADER_BYTES) as u64;
        let lost = self.rng.random_range(0..1_000) < self.loss_permille;
        let target = self.index_by_instance.get(&to).copied();
        let target = target.filter(|target| self.partition[*target] == self.partition[from]);
        if let Some(target) = target.filter(|_| !lost) {
            let delay = DELAY_US + self.rng.random_range(0..JITTER_US);
            let at = self.now + Duration::from_micros(delay);
            self.schedule(at, Event::Message(target, instance(from), message));
        }
    }

    fn deliver(&mut self, to: usize, from: Instance, message: Message) {
        let node = &mut self.nodes[to];
        match &mut node.inbox {
            _ if !node.up => {}
            Some(inbox) => inbox.push((from, message)),
            None => {
                node.fleet.receive(self.now, from, &message);
                self.step(to);
            }
        }
    }
}

/// The size of `message` as `bincode` writes it.
pub fn encoded_len(message: &Message) -> usize {
    let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard());
    bytes.expect("the message cannot be serialized").len()
}

/// `count` daemons after convergence, with counters reset.
pub fn converged(count: usize, seed: u64) -> Net {
    let mut net = Net::new(count, seed);
    net.converge(SECOND * 30);
    net.run(SECOND * 2);
    net.reset_counters();
    net
}
