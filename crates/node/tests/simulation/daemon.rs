//! Daemons: their processes, clocks and pauses, and the delivery of events to them.

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
use super::Simulation;
use super::UNIX_MS;
use super::sim_event::SimEvent;

/// Time for which callers may keep a list of addresses.
pub const ADDRESS_TTL: Duration = Duration::from_secs(2);
/// Minimum delay between two wakes, since a core may request one in the past.
const MIN_WAKE_DELAY: Duration = Duration::from_micros(100);
/// Interval between updates of the platform's list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// One instance, over all its processes.
#[derive(Debug)]
pub struct Daemon {
    pub name: String,
    pub instance: Instance,
    pub zone: Zone,
    /// The current process; `None` while none runs.
    pub core: Option<Node>,
    /// Number of the current process.
    pub run: u32,
    /// End of the current pause.
    pub paused_until: Time,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// Lead of its clocks over simulation time, in milliseconds.
    pub skew: u64,
    backlog: VecDeque<Event>,
    wake: Time,
    /// The highest generation of its decisions, over all its processes.
    pub last_generation: u64,
}

impl Daemon {
    /// Creates daemon `index`, whose clocks are ahead by `skew` milliseconds.
    pub fn new(index: usize, skew: u64) -> Self {
        let name = format!("entry-{index}");
        Self {
            instance: Instance::new(&name),
            zone: Zone::new(["osijek-a", "vinkovci-b"][index % 2]),
            name,
            core: None,
            run: 0,
            paused_until: Time::ZERO,
            stopping: false,
            skew,
            backlog: VecDeque::new(),
            wake: Time::NEVER,
            last_generation: 0,
        }
    }

    /// Converts simulation time to the monotonic clock of the daemon.
    pub fn local(&self, now: Time) -> Time {
        now + Duration::from_millis(self.skew)
    }
}

impl Simulation {
    pub(super) fn start(&mut self, daemon: usize) {
        let seeds = self.daemons.iter().map(|other| other.instance).collect();
        let incarnation = Incarnation(self.rng.random());
        let seed = self.rng.random();
        let entry = &mut self.daemons[daemon];
        let settings = Settings {
            instance: entry.instance,
            name: entry.name.clone(),
            zone: entry.zone,
            incarnation,
            started_ms: UNIX_MS + self.now.as_millis() + entry.skew,
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
        entry.run += 1;
        entry.stopping = false;
        entry.backlog.clear();
        entry.core = Some(Node::new(settings, entry.local(self.now), seed));
        let run = entry.run;
        self.trace_line(|| format!("entry-{daemon} starts as {incarnation}"));
        self.schedule(Duration::ZERO, SimEvent::Wake { daemon, run });
        self.schedule(Duration::ZERO, SimEvent::List(daemon));
    }

    /// Removes the process of `daemon` and breaks its connections.
    pub(super) fn end_process(&mut self, daemon: usize) {
        self.daemons[daemon].core = None;
        self.daemons[daemon].backlog.clear();
        self.break_conns(daemon);
        self.drop_orders(daemon);
    }

    pub(super) fn send_list(&mut self, daemon: usize) {
        let instances = self.daemons.iter().map(|entry| ListedInstance {
            instance: entry.instance,
            name: entry.name.clone(),
            zone: entry.zone,
            caller: entry.name.clone(),
            leaving: entry.stopping,
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
        let run = self.daemons[daemon].run;
        if self.daemons[daemon].core.is_none() {
            return;
        }
        let lag = Duration::from_millis(self.rng.random_range(0..1_500));
        let first = self.daemons[daemon].wake == Time::NEVER;
        let lag = if first { Duration::ZERO } else { lag };
        let event = Event::Listed(list);
        self.schedule(lag, SimEvent::DaemonEvent { daemon, run, event });
        self.schedule(LIST_INTERVAL, SimEvent::List(daemon));
    }

    pub(super) fn wake(&mut self, daemon: usize, run: u32) {
        let entry = &self.daemons[daemon];
        if entry.run == run && self.now < entry.paused_until {
            let rest = entry.paused_until.since(self.now);
            return self.schedule(rest, SimEvent::Wake { daemon, run });
        }
        if entry.run != run || entry.core.is_none() {
            return;
        }
        while let Some(event) = self.daemons[daemon].backlog.pop_front() {
            self.step(daemon, event);
        }
        self.step(daemon, Event::Tick);
    }

    pub(super) fn deliver_event(&mut self, daemon: usize, run: u32, event: Event) {
        let entry = &mut self.daemons[daemon];
        match () {
            () if entry.run != run || entry.core.is_none() => (),
            () if self.now < entry.paused_until => entry.backlog.push_back(event),
            () => self.step(daemon, event),
        }
    }

    fn step(&mut self, daemon: usize, event: Event) {
        let now = self.now;
        let entry = &mut self.daemons[daemon];
        let local = entry.local(now);
        let run = entry.run;
        let Some(core) = entry.core.as_mut() else {
            return;
        };
        if let Event::Arrived { call, .. } | Event::Resumed { call, .. } = &event {
            self.conns.entry(*call).and_modify(|conn| conn.seen = true);
        }
        let mut actions = Vec::new();
        core.step(local, event, &mut actions);
        let wake = core.next_wake() - Duration::from_millis(entry.skew);
        for action in actions {
            if self.daemons[daemon].core.is_some() {
                self.carry_out_action(daemon, run, action);
            }
        }
        let wake = wake.max(now + MIN_WAKE_DELAY);
        let entry = &mut self.daemons[daemon];
        if wake < entry.wake || entry.wake <= now || entry.wake == Time::NEVER {
            entry.wake = wake;
            self.schedule(wake.since(now), SimEvent::Wake { daemon, run });
        }
    }
}
