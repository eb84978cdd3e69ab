//! One run: owners, cells, engines and messages in virtual time.

mod fault;
mod outcome;
mod owner;
mod replica;
mod seat;

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
use crate::figure::Figure;
use crate::network::Network;
use crate::rival::Mode;
use crate::rival::Rival;
use crate::workload::Request;
use crate::workload::Workload;
use outcome::Progress;
use seat::Seat;

/// Data centres.
const ZONES: usize = 3;
/// Entry daemons.
const OWNERS: usize = 8;
/// Slots of a decode replica.
const SLOTS: usize = 20;
/// Plain replicas.
const PLAINS: usize = 3;
/// Calls that a plain replica runs at once.
const PLAIN_SLOTS: usize = 4;
/// Start of the measured window.
const WARMUP: Time = Time::from_millis(10_000);
/// Time after the last arrival in which requests may end.
const DRAIN: Duration = Duration::from_mins(1);

/// What one run measures.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Fleet and callers.
    pub workload: Workload,
    /// Policy.
    pub rival: Rival,
    /// Arrivals against full load.
    pub load: f64,
    /// What goes wrong.
    pub fault: Fault,
    /// Seed of arrivals and draws.
    pub seed: u64,
    /// Length of the arrivals.
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
struct Try {
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
    over: bool,
}

/// The state of one run.
#[derive(Debug)]
pub struct World {
    setup: Setup,
    now: Time,
    serial: u64,
    events: BTreeMap<(Time, u64), Event>,
    engines: Vec<Engine>,
    names: Vec<Replica>,
    indexes: HashMap<Replica, usize>,
    network: Network,
    seats: Vec<Seat>,
    requests: Vec<Request>,
    progress: Vec<Progress>,
    tries: Vec<Try>,
    decoding: Vec<u64>,
    checks: Vec<(usize, Time)>,
    figure: Figure,
}

/// Runs `setup` to its end.
pub fn run(setup: &Setup) -> Figure {
    let mut world = World::new(setup.clone());
    let end = Time::ZERO + setup.span + DRAIN;
    while let Some(((now, _), event)) = world.events.pop_first() {
        if now > end {
            break;
        }
        world.now = now;
        world.handle(event);
    }
    world.finish()
}

impl World {
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
        let mut world = Self {
            now: Time::ZERO,
            serial: 0,
            events: BTreeMap::new(),
            network: Network::new(workload.delay),
            seats: Vec::new(),
            progress: requests.iter().map(|_| Progress::default()).collect(),
            tries: Vec::new(),
            decoding: vec![0; workload.classes.len()],
            checks: Vec::new(),
            figure: Figure::new(workload.classes.len(), seconds),
            engines,
            names,
            indexes,
            requests,
            setup,
        };
        world.open_seats();
        world.prime();
        world
    }

    fn prime(&mut self) {
        for index in 0..self.requests.len() {
            self.at(self.requests[index].at, Event::Arrive(index));
            if let Some(time) = self.requests[index].cancel {
                self.at(time, Event::Cancel(index));
            }
        }
        for engine in 0..self.engines.len() {
            self.at(Time::from_millis(engine as u64 + 1), Event::Poll(engine));
        }
        self.prime_fault();
    }

    fn at(&mut self, time: Time, event: Event) {
        self.serial += 1;
        self.events.insert((time.max(self.now), self.serial), event);
    }

    fn after(&mut self, span: Duration, event: Event) {
        self.at(self.now + span, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Cancel(request) => self.cancel(request),
            Event::Submit(attempt) => self.submit(attempt),
            Event::Advance(attempt, phase) => self.advance(attempt, phase),
            Event::Wake(seat) => self.wake(seat),
            Event::Verdict(attempt, verdict) => self.verdict(attempt, verdict),
            Event::PrefillOrder(attempt) => self.prefill_order(attempt),
            Event::PrefillEnd(engine, boot, attempt) => self.prefill_end(engine, boot, attempt),
            Event::PrefillAnswer(attempt) => self.prefill_answer(attempt),
            Event::DecodeOrder(attempt) => self.decode_order(attempt),
            Event::DecodeRefused(attempt, gone) => self.decode_refused(attempt, gone),
            Event::Imported(engine, boot, attempt) => self.imported(engine, boot, attempt),
            Event::Step(engine, boot) => self.decode_step(engine, boot),
            Event::PlainOrder(attempt) => self.plain_order(attempt),
            Event::PlainEnd(engine, boot, attempt) => self.plain_end(engine, boot, attempt),
            Event::Failed(attempt, engine) => self.failed(attempt, Some(engine)),
            Event::Release(attempt) => self.release(attempt),
            Event::Poll(engine) => self.poll(engine),
            Event::Report(seat, engine, report) => self.report(seat, engine, &report),
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
        self.requests[self.tries[attempt].request].class
    }

    fn is_plain(&self, attempt: Attempt) -> bool {
        self.setup.workload.classes[self.class_of(attempt)].plain
    }

    fn reach(&self, attempt: Attempt, engine: usize) -> Duration {
        self.network
            .delay(self.tries[attempt].owner % ZONES, self.engines[engine].zone)
    }

    fn handle_of(&self, attempt: Attempt) -> Handle {
        Handle::new(
            Incarnation(self.tries[attempt].owner as u64 + 1),
            attempt as u64,
        )
    }

    fn ticket(&self, attempt: Attempt) -> Ticket {
        let this = &self.tries[attempt];
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
            home: zone(this.owner % ZONES),
            attempt: this.number,
            avoid: this.avoid.clone(),
        }
    }
}

fn zone(index: usize) -> Zone {
    Zone::new(["a", "b", "c"][index % ZONES])
}

fn engines(workload: &Workload) -> Vec<Engine> {
    let prefills = (0..workload.prefills).map(|i| Engine::new(Role::Prefill, i % ZONES, 1));
    let decodes = (0..workload.decodes).map(|i| Engine::new(Role::Decode, i % ZONES, SLOTS));
    let plains = (0..PLAINS).map(|i| Engine::new(Role::Plain, i % ZONES, PLAIN_SLOTS));
    prefills.chain(decodes).chain(plains).collect()
}
