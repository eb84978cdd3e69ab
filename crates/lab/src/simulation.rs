//! Simulates one run in virtual time: owners, schedulers, engines and messages.

mod fault;
mod outcome;
mod owner;
mod replica;
mod scheduler;

pub use fault::Fault;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use ident::Handle;
use ident::Incarnation;
use ident::Replica;
use ident::Time;
use ident::Zone;
use route::phase::Phase;
use route::replica::Member;
use route::replica::Report;
use route::replica::Role;
use route::ticket::Ticket;
use route::ticket::Work;
use route::verdict::Verdict;

use crate::engine::Attempt;
use crate::engine::Engine;
use crate::network::Network;
use crate::rival::Mode;
use crate::rival::Rival;
use crate::stats::Stats;
use crate::workload::Request;
use crate::workload::Workload;
use outcome::Progress;
use scheduler::LocatedScheduler;

/// Data centres.
const DATA_CENTRES: usize = 3;
/// Entry daemons.
const OWNERS: usize = 8;
/// Slots of a decode replica.
const SLOTS: usize = 20;
/// Plain replicas.
const PLAIN_REPLICAS: usize = 3;
/// Most concurrent calls of a plain replica.
const PLAIN_SLOTS: usize = 4;
/// Start of the measured window.
const WARMUP: Time = Time::from_millis(10_000);
/// Time after the last arrival in which requests may still end.
const DRAIN: Duration = Duration::from_mins(1);

/// Setup of one run.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Replicas and callers.
    pub workload: Workload,
    /// Policy and where it runs.
    pub rival: Rival,
    /// Arrival rate relative to full load.
    pub load: f64,
    /// Injected fault.
    pub fault: Fault,
    /// Seed of the arrivals and of the policy's draws.
    pub seed: u64,
    /// Time during which requests arrive.
    pub span: Duration,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Cancel(usize),
    Submit(Attempt),
    Advance(Attempt, Phase),
    Wake(usize),
    Verdict(Attempt, Verdict),
    PrefillOrder(Attempt),
    PrefillEnd(usize, u64, Attempt),
    PrefillAnswer(Attempt),
    DecodeOrder(Attempt),
    DecodeRefused(Attempt, bool),
    Imported(usize, u64, Attempt),
    Step(usize, u64),
    PlainOrder(Attempt),
    PlainEnd(usize, u64, Attempt),
    Failed(Attempt, usize),
    Release(Attempt),
    Poll(usize),
    Report(usize, usize, Report),
    Fault(u8),
}

#[derive(Debug)]
struct AttemptState {
    request: usize,
    owner: usize,
    number: u8,
    avoid: Vec<Replica>,
    prefill: Option<(usize, u64)>,
    decode: Option<usize>,
    computed: u32,
    cached: u32,
    kept_until: Time,
    phase: Option<Phase>,
    rejections: u32,
    placed: bool,
    ended: bool,
}

/// The state of one run.
#[derive(Debug)]
pub struct Simulation {
    setup: Setup,
    now: Time,
    serial: u64,
    events: BTreeMap<(Time, u64), Event>,
    engines: Vec<Engine>,
    names: Vec<Replica>,
    indexes: HashMap<Replica, usize>,
    network: Network,
    schedulers: Vec<LocatedScheduler>,
    requests: Vec<Request>,
    progress: Vec<Progress>,
    attempts: Vec<AttemptState>,
    decoding: Vec<u64>,
    retry_checks: Vec<(usize, Time)>,
    stats: Stats,
}

/// Runs `setup` until all events are handled or the drain time is over.
pub fn run(setup: &Setup) -> Stats {
    let mut simulation = Simulation::new(setup.clone());
    let end = Time::ZERO + setup.span + DRAIN;
    while let Some(((now, _), event)) = simulation.events.pop_first() {
        if now > end {
            break;
        }
        simulation.now = now;
        simulation.handle(event);
    }
    simulation.finish()
}

impl Simulation {
    fn new(setup: Setup) -> Self {
        let workload = &setup.workload;
        let cancel = if setup.fault == Fault::CallersCancel {
            0.1
        } else {
            0.0
        };
        let requests = workload.requests(setup.load, setup.span, cancel, setup.seed);
        let engines = engines(workload);
        let names: Vec<Replica> = (0..engines.len())
            .map(|i| Replica::new(&format!("r{i}")))
            .collect();
        let indexes = names
            .iter()
            .enumerate()
            .map(|(i, name)| (*name, i))
            .collect();
        let seconds = (setup.span.saturating_sub(WARMUP.since(Time::ZERO))).as_secs_f64();
        let mut simulation = Self {
            now: Time::ZERO,
            serial: 0,
            events: BTreeMap::new(),
            network: Network::new(workload.delay),
            schedulers: Vec::new(),
            progress: requests.iter().map(|_| Progress::default()).collect(),
            attempts: Vec::new(),
            decoding: vec![0; workload.classes.len()],
            retry_checks: Vec::new(),
            stats: Stats::new(workload.classes.len(), seconds),
            engines,
            names,
            indexes,
            requests,
            setup,
        };
        simulation.create_schedulers();
        simulation.schedule_initial_events();
        simulation
    }

    fn schedule_initial_events(&mut self) {
        for index in 0..self.requests.len() {
            self.schedule_at(self.requests[index].at, Event::Arrive(index));
            if let Some(time) = self.requests[index].cancel {
                self.schedule_at(time, Event::Cancel(index));
            }
        }
        for engine in 0..self.engines.len() {
            self.schedule_at(Time::from_millis(engine as u64 + 1), Event::Poll(engine));
        }
        self.schedule_fault();
    }

    fn schedule_at(&mut self, time: Time, event: Event) {
        self.serial += 1;
        self.events.insert((time.max(self.now), self.serial), event);
    }

    fn schedule_after(&mut self, span: Duration, event: Event) {
        self.schedule_at(self.now + span, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Cancel(request) => self.cancel(request),
            Event::Submit(attempt) => self.submit(attempt),
            Event::Advance(attempt, phase) => self.advance(attempt, phase),
            Event::Wake(scheduler) => self.wake(scheduler),
            Event::Verdict(attempt, verdict) => self.verdict(attempt, verdict),
            Event::PrefillOrder(attempt) => self.prefill_order(attempt),
            Event::PrefillEnd(engine, boot, attempt) => self.prefill_end(engine, boot, attempt),
            Event::PrefillAnswer(attempt) => self.handle_prefill_answer(attempt),
            Event::DecodeOrder(attempt) => self.decode_order(attempt),
            Event::DecodeRefused(attempt, gone) => self.decode_refused(attempt, gone),
            Event::Imported(engine, boot, attempt) => self.imported(engine, boot, attempt),
            Event::Step(engine, boot) => self.decode_step(engine, boot),
            Event::PlainOrder(attempt) => self.plain_order(attempt),
            Event::PlainEnd(engine, boot, attempt) => self.plain_end(engine, boot, attempt),
            Event::Failed(attempt, engine) => self.failed(attempt, Some(engine)),
            Event::Release(attempt) => self.release(attempt),
            Event::Poll(engine) => self.poll(engine),
            Event::Report(scheduler, engine, report) => self.report(scheduler, engine, &report),
            Event::Fault(step) => self.fault(step),
        }
    }

    fn members(&self, plain: bool) -> Vec<Member> {
        let of_kind = |engine: &&Engine| (engine.role == Role::Plain) == plain;
        let named = self.engines.iter().zip(&self.names);
        named
            .filter(|(engine, _)| of_kind(engine))
            .map(|(engine, name)| Member {
                replica: *name,
                zone: zone(engine.zone),
                role: engine.role,
                slots: engine.slots as u32,
                leaving: false,
            })
            .collect()
    }

    fn class_of(&self, attempt: Attempt) -> usize {
        self.requests[self.attempts[attempt].request].class
    }

    fn is_plain(&self, attempt: Attempt) -> bool {
        self.setup.workload.classes[self.class_of(attempt)].plain
    }

    fn replica_delay(&self, attempt: Attempt, engine: usize) -> Duration {
        self.network.delay(
            self.attempts[attempt].owner % DATA_CENTRES,
            self.engines[engine].zone,
        )
    }

    fn handle_of(&self, attempt: Attempt) -> Handle {
        Handle::new(
            Incarnation(self.attempts[attempt].owner as u64 + 1),
            attempt as u64,
        )
    }

    fn ticket(&self, attempt: Attempt) -> Ticket {
        let this = &self.attempts[attempt];
        let request = &self.requests[this.request];
        let class = &self.setup.workload.classes[request.class];
        let done = self.progress[this.request].tokens;
        let longest = (class.output * 4.0) as u32 + 8;
        let known = self.setup.rival.mode == Mode::Oracle;
        let work = Work::Model {
            prompt_tokens: request.prompt + done,
            max_tokens: if known {
                request.output - done
            } else {
                longest
            },
            blocks: request.blocks.clone(),
            done_tokens: done,
        };
        Ticket {
            handle: self.handle_of(attempt),
            row: class.rule.row,
            work: if class.plain { Work::Plain } else { work },
            waited: self.now.since(request.at),
            home: zone(this.owner % DATA_CENTRES),
            attempt: this.number,
            avoid: this.avoid.clone(),
        }
    }
}

fn zone(index: usize) -> Zone {
    Zone::new(["a", "b", "c"][index % DATA_CENTRES])
}

fn engines(workload: &Workload) -> Vec<Engine> {
    let prefills = (0..workload.prefills).map(|i| Engine::new(Role::Prefill, i % DATA_CENTRES, 1));
    let decodes = (0..workload.decodes).map(|i| Engine::new(Role::Decode, i % DATA_CENTRES, SLOTS));
    let plains =
        (0..PLAIN_REPLICAS).map(|i| Engine::new(Role::Plain, i % DATA_CENTRES, PLAIN_SLOTS));
    prefills.chain(decodes).chain(plains).collect()
}
