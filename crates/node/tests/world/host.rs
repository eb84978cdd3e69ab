//! Daemons: their processes, what they do, and how events reach them.

use std::collections::VecDeque;
use std::time::Duration;

use ident::Incarnation;
use ident::Instance;
use ident::Pool;
use ident::Time;
use ident::Zone;
use node::Node;
use node::event::Event;
use node::list::ListedInstance;
use node::list::ListedReplica;
use node::list::PlatformList;
use node::settings::Settings;
use rand::RngExt;

use super::LEASE;
use super::UNIX_MS;
use super::World;
use super::item::Item;

/// How long callers keep an address answer.
pub const ADDRESS_TTL: Duration = Duration::from_secs(2);
/// Least pause between two wakes, against cores that ask to be woken in the past.
const LEAST_PAUSE: Duration = Duration::from_micros(100);
/// Time between two lists.
const LIST_EVERY: Duration = Duration::from_secs(1);

/// One daemon instance, over all its processes.
#[derive(Debug)]
pub struct Host {
    pub name: String,
    pub instance: Instance,
    pub zone: Zone,
    /// The present process; `None` while there is none.
    pub core: Option<Node>,
    /// Counts its processes.
    pub run: u32,
    /// Until when it is paused.
    pub paused: Time,
    /// Whether a planned stop was asked for.
    pub stopping: bool,
    /// Difference of its clocks from the world's, in milliseconds.
    pub skew: u64,
    backlog: VecDeque<Event>,
    wake: Time,
    /// The highest generation it decided by, over all its processes.
    pub decided: u64,
}

impl Host {
    /// The daemon number `index`; its clocks are ahead by `skew` milliseconds.
    pub fn new(index: usize, skew: u64) -> Self {
        let name = format!("entry-{index}");
        Self {
            instance: Instance::new(&name),
            zone: Zone::new(["osijek-a", "vinkovci-b"][index % 2]),
            name,
            core: None,
            run: 0,
            paused: Time::ZERO,
            stopping: false,
            skew,
            backlog: VecDeque::new(),
            wake: Time::NEVER,
            decided: 0,
        }
    }

    /// Its monotonic clock when the world's shows `now`.
    pub fn local(&self, now: Time) -> Time {
        now + Duration::from_millis(self.skew)
    }
}

impl World {
    pub(super) fn start(&mut self, host: usize) {
        let seeds = self.hosts.iter().map(|other| other.instance).collect();
        let incarnation = Incarnation(self.rng.random());
        let seed = self.rng.random();
        let slot = &mut self.hosts[host];
        let settings = Settings {
            instance: slot.instance,
            name: slot.name.clone(),
            zone: slot.zone,
            incarnation,
            started_ms: UNIX_MS + self.now.as_millis() + slot.skew,
            seeds,
            secret: b"sixteen bytes or more".to_vec(),
            lease: LEASE,
            window: Duration::from_mins(10),
            address_ttl: ADDRESS_TTL,
            orphan_grace: Duration::from_secs(4),
            inspect_every: Duration::from_millis(250),
            poll_every: Duration::from_millis(500),
            max_open: 64,
            max_keys: 1_024,
        };
        slot.run += 1;
        slot.stopping = false;
        slot.backlog.clear();
        slot.core = Some(Node::new(settings, slot.local(self.now), seed));
        let run = slot.run;
        self.note(|| format!("entry-{host} starts as {incarnation}"));
        self.after(Duration::ZERO, Item::Wake { host, run });
        self.after(Duration::ZERO, Item::List(host));
    }

    /// The process of `host` is gone; its connections break.
    pub(super) fn end_process(&mut self, host: usize) {
        self.hosts[host].core = None;
        self.hosts[host].backlog.clear();
        self.break_conns(host);
        self.forget_orders(host);
    }

    pub(super) fn tell_list(&mut self, host: usize) {
        let instances = self.hosts.iter().map(|slot| ListedInstance {
            instance: slot.instance,
            name: slot.name.clone(),
            zone: slot.zone,
            caller: slot.name.clone(),
            leaving: slot.stopping,
        });
        let replicas = self.engines.iter().map(|engine| ListedReplica {
            replica: engine.replica,
            name: engine.name.clone(),
            zone: Zone::new("osijek-a"),
            pool: Pool::new(&engine.pool),
            role: engine.role,
            slots: engine.slots,
            fences: engine.fences,
            leaving: false,
        });
        let list = PlatformList {
            instances: instances.collect(),
            replicas: replicas.collect(),
        };
        let run = self.hosts[host].run;
        if self.hosts[host].core.is_none() {
            return;
        }
        let lag = Duration::from_millis(self.rng.random_range(0..1_500));
        let first = self.hosts[host].wake == Time::NEVER;
        let lag = if first { Duration::ZERO } else { lag };
        let event = Event::Listed(list);
        self.after(lag, Item::Event { host, run, event });
        self.after(LIST_EVERY, Item::List(host));
    }

    pub(super) fn wake(&mut self, host: usize, run: u32) {
        let slot = &self.hosts[host];
        if slot.run == run && self.now < slot.paused {
            let rest = slot.paused.since(self.now);
            return self.after(rest, Item::Wake { host, run });
        }
        if slot.run != run || slot.core.is_none() {
            return;
        }
        while let Some(event) = self.hosts[host].backlog.pop_front() {
            self.step(host, event);
        }
        self.step(host, Event::Tick);
    }

    pub(super) fn event(&mut self, host: usize, run: u32, event: Event) {
        let slot = &mut self.hosts[host];
        match () {
            () if slot.run != run || slot.core.is_none() => (),
            () if self.now < slot.paused => slot.backlog.push_back(event),
            () => self.step(host, event),
        }
    }

    fn step(&mut self, host: usize, event: Event) {
        let now = self.now;
        let slot = &mut self.hosts[host];
        let local = slot.local(now);
        let run = slot.run;
        let Some(core) = slot.core.as_mut() else {
            return;
        };
        if let Event::Arrived { call, .. } | Event::Resumed { call, .. } = &event {
            self.conns.entry(*call).and_modify(|conn| conn.seen = true);
        }
        let mut actions = Vec::new();
        core.step(local, event, &mut actions);
        let wake = core.next_wake() - Duration::from_millis(slot.skew);
        for action in actions {
            if self.hosts[host].core.is_some() {
                self.act(host, run, action);
            }
        }
        let wake = wake.max(now + LEAST_PAUSE);
        let slot = &mut self.hosts[host];
        if wake < slot.wake || slot.wake <= now || slot.wake == Time::NEVER {
            slot.wake = wake;
            self.after(wake.since(now), Item::Wake { host, run });
        }
    }
}
