//! Simulates one run in virtual time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

use ident::Time;
use ident::Zone;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use relay::pool::Pool;
use relay::replica::Load;
use relay::replica::Replica;
use relay::replica::Snapshot;
use relay::replica::Stage;
use relay::revision::Revision;
use relay::score::Criteria;
use relay::score::Version;
use relay::server::Key;

use crate::site::engine::Engine;
use crate::site::setup::Choice;
use crate::site::setup::Setup;
use crate::site::stats::Stats;

/// Objective for the first token, in milliseconds.
const OBJECTIVE_MS: f64 = 900.0;
/// The gateway's longest wait for a placement, its pause between rounds and the replicas tried in one.
const WAIT_MS: f64 = 0.22 * OBJECTIVE_MS;
const ROUND_PAUSE_MS: f64 = 30.0;
const REPLICAS_PER_ROUND: usize = 3;
/// Round trip to a replica, in milliseconds.
const ROUND_TRIP_MS: f64 = 2.0;
/// Mean time after which a refused caller retries, in milliseconds; it varies by a quarter.
const RETRY_AFTER_MS: f64 = 3_500.0;
/// Bytes of KV cache per token, and rate of a link in bytes per millisecond.
const TOKEN_BYTES: f64 = 35_136.0;
const LINK_BYTES_MS: f64 = 92_500_000.0;
/// Setup time of a transfer, in milliseconds.
const TRANSFER_SETUP_MS: f64 = 2.5;
/// Mean, standard deviation of the logarithm, and upper bound of prompt tokens and of events.
const PROMPT: (f64, f64, f64) = (5_000.0, 0.5, 11_000.0);
const EVENTS: (f64, f64, f64) = (70.0, 0.7, 170.0);
/// Tokens in one event.
const EVENT_TOKENS: f64 = 6.0;
/// Period of the load and length of the burst in it, in milliseconds.
const CYCLE_MS: f64 = 11_000.0;
const BURST_MS: f64 = 5_000.0;

/// A request of a caller.
#[derive(Debug, Clone, Copy)]
struct Job {
    daemon: usize,
    prompt: u64,
    tokens: u64,
    /// When the first attempt arrived.
    first_arrived: f64,
    /// When the current attempt arrived.
    arrived: f64,
    retried: bool,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Arrive,
    Place(Job),
    PrefillEnd(Job, Key, Key, f64),
    DecodeEnd(usize, Key, u64),
}

#[derive(Debug)]
struct Event {
    at: f64,
    step: Step,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.at.total_cmp(&other.at) == Ordering::Equal
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at)
    }
}

/// State of one run.
#[derive(Debug)]
struct Simulation {
    setup: Setup,
    random: Pcg64Mcg,
    events: BinaryHeap<Event>,
    engines: Vec<Engine>,
    pools: Vec<Pool>,
    /// A pool without load, which chooses at random.
    unloaded_pool: Pool,
    stats: Stats,
}

/// Runs `setup` with the random numbers of `seed`.
pub fn run(setup: Setup, seed: u64) -> Stats {
    let mut simulation = Simulation::new(setup, seed);
    simulation.push(0.0, Step::Arrive);
    while let Some(Event { at, step }) = simulation.events.pop() {
        match step {
            Step::Arrive => simulation.arrive(at),
            Step::Place(job) => simulation.place(at, job),
            Step::PrefillEnd(job, prefill, decode, started) => {
                simulation.finish_prefill(at, job, prefill, decode, started);
            }
            Step::DecodeEnd(daemon, key, tokens) => simulation.end(daemon, key, tokens),
        }
    }
    simulation.stats
}

impl Simulation {
    fn new(setup: Setup, seed: u64) -> Self {
        let count = setup.prefill + setup.decode;
        let replicas: Vec<Replica> = (0..count).map(|index| replica(index, &setup)).collect();
        let list = Snapshot {
            version: Revision::new(0, 1),
            replicas,
            lapsing: Vec::new(),
            grace: Duration::ZERO,
        };
        let pool = || {
            let mut pool = Pool::new();
            pool.set_memory("llm", setup.memory);
            pool.apply(Time::ZERO, &list);
            pool
        };
        let pools = (0..setup.daemons).map(|_| pool());
        let slow = |index: usize| index == 0 || index == setup.prefill;
        let engines = (0..count).map(|index| {
            let slowness = if slow(index) { setup.slowness } else { 1.0 };
            Engine::new(setup.memory, slowness)
        });
        Self {
            setup,
            random: Pcg64Mcg::seed_from_u64(seed),
            events: BinaryHeap::new(),
            engines: engines.collect(),
            pools: pools.collect(),
            unloaded_pool: pool(),
            stats: Stats::new(),
        }
    }

    fn push(&mut self, at: f64, step: Step) {
        self.events.push(Event { at, step });
    }

    fn arrive(&mut self, now: f64) {
        if now > self.setup.length.as_secs_f64() * 1_000.0 {
            return;
        }
        let prompt = self.size(PROMPT);
        let output = self.size(EVENTS) * EVENT_TOKENS;
        let job = Job {
            daemon: self.random.random_range(0..self.setup.daemons),
            prompt: prompt as u64,
            tokens: (prompt + output) as u64,
            first_arrived: now,
            arrived: now,
            retried: false,
        };
        self.stats.offered += 1;
        self.push(now, Step::Place(job));
        let burst = now % CYCLE_MS > CYCLE_MS - BURST_MS;
        let factor = if burst { self.setup.burst } else { 1.0 };
        let gap = -self.random.random::<f64>().max(f64::MIN_POSITIVE).ln();
        self.push(
            now + gap * 1_000.0 / (self.setup.rate * factor),
            Step::Arrive,
        );
    }

    /// Draws a size with this mean, standard deviation of the logarithm and upper bound.
    fn size(&mut self, (mean, sigma, max): (f64, f64, f64)) -> f64 {
        // A sum of twelve uniform numbers is close to a normal distribution.
        let normal = (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0;
        let median = mean / (sigma * sigma / 2.0).exp();
        (median * (sigma * normal).exp()).clamp(1.0, max)
    }

    fn place(&mut self, now: f64, job: Job) {
        let mut tried = Vec::new();
        for _ in 0..REPLICAS_PER_ROUND {
            let Some(key) = self.choose(now, job.daemon, Stage::Decode, None, &tried) else {
                break;
            };
            tried.push(key);
            let engine = self.engine(job.daemon, key);
            if self.engines[engine].reserve(job.tokens) {
                self.send_to_prefill(now + ROUND_TRIP_MS * tried.len() as f64, job, key);
                return;
            }
            self.pools[job.daemon].record_full(time(now), key);
        }
        if now + ROUND_PAUSE_MS <= job.arrived + WAIT_MS {
            self.push(now + ROUND_PAUSE_MS, Step::Place(job));
            return;
        }
        if job.retried {
            self.stats.refused += 1;
            return;
        }
        let back = now + RETRY_AFTER_MS * self.random.random_range(0.75..1.25);
        let daemon = self.random.random_range(0..self.setup.daemons);
        let job = Job {
            daemon,
            arrived: back,
            retried: true,
            ..job
        };
        self.push(back, Step::Place(job));
    }

    fn send_to_prefill(&mut self, now: f64, job: Job, decode: Key) {
        self.pools[job.daemon].start_request(decode, job.tokens);
        let server = self.pools[job.daemon].get(decode);
        let software = server.and_then(|server| server.replica.software.clone());
        let Some(prefill) = self.choose(now, job.daemon, Stage::Prefill, software.as_deref(), &[])
        else {
            return;
        };
        self.pools[job.daemon].start_request(prefill, job.prompt);
        let engine = self.engine(job.daemon, prefill);
        let done = self.engines[engine].enqueue_prefill(now, job.prompt) + ROUND_TRIP_MS;
        self.push(done, Step::PrefillEnd(job, prefill, decode, now));
    }

    fn finish_prefill(&mut self, now: f64, job: Job, prefill: Key, decode: Key, started: f64) {
        let engine = self.engine(job.daemon, prefill);
        self.engines[engine].end_prefill();
        let took = Duration::from_secs_f64((now - started) / 1_000.0);
        let running = self.engines[engine].running();
        let pool = &mut self.pools[job.daemon];
        pool.end_request(prefill, job.prompt);
        pool.record_load(time(now), prefill, load(running));
        pool.record_prefill(time(now), prefill, took, job.prompt);
        pool.record_work(time(now), prefill, took, job.prompt as f64);
        self.stats
            .prefill_ms
            .saturating_record((now - started) as u64);
        let transfer = TRANSFER_SETUP_MS + job.prompt as f64 * TOKEN_BYTES / LINK_BYTES_MS;
        let engine = self.engine(job.daemon, decode);
        let step = self.engines[engine].step();
        let first = now + ROUND_TRIP_MS + transfer + step;
        let head = Duration::from_secs_f64((first - now) / 1_000.0);
        self.pools[job.daemon].record_work(time(first), decode, head, 1.0);
        let waited = first - job.first_arrived;
        self.stats.first_token_ms.saturating_record(waited as u64);
        if waited <= OBJECTIVE_MS {
            self.stats.in_time += 1;
        } else {
            self.stats.late += 1;
        }
        let output = (job.tokens - job.prompt) as f64;
        let end = Step::DecodeEnd(job.daemon, decode, job.tokens);
        self.push(first + output * step, end);
    }

    fn end(&mut self, daemon: usize, key: Key, tokens: u64) {
        let engine = self.engine(daemon, key);
        self.engines[engine].release(tokens);
        self.pools[daemon].end_request(key, tokens);
    }

    /// Chooses a replica, of the software version `software` if that is given.
    fn choose(
        &mut self,
        now: f64,
        daemon: usize,
        stage: Stage,
        software: Option<&str>,
        tried: &[Key],
    ) -> Option<Key> {
        let criteria = Criteria {
            service: "llm",
            stage: Some(stage),
            tried,
            homes: None,
            software: Version::exactly_or_any(software),
            reserved: &[],
            data_centre: Zone::new("here"),
            demand: None,
            answer: None,
            prompt_tokens: 0,
        };
        let draws: Vec<f64> = (0..self.engines.len())
            .map(|_| self.random.random())
            .collect();
        let next = std::cell::Cell::new(0);
        let draw = || {
            let at = next.replace(next.get() + 1);
            draws[at % draws.len()]
        };
        match self.setup.choice {
            Choice::Score => self.pools[daemon].choose(time(now), &criteria, draw),
            Choice::Chance => {
                // A pool without load chooses by the draws alone; its keys equal those of the daemons' pools.
                self.unloaded_pool.choose(time(now), &criteria, draw)
            }
        }
    }

    /// Index of the engine `key`; the id of a replica is its index.
    fn engine(&self, daemon: usize, key: Key) -> usize {
        let server = self.pools[daemon].get(key);
        let id = server.map_or("0", |server| &server.replica.id);
        id.parse().unwrap_or_default()
    }
}

const fn load(running: u32) -> Load {
    Load {
        running,
        waiting: 0,
    }
}

fn time(ms: f64) -> Time {
    Time::from_millis(ms as u64)
}

fn replica(index: usize, setup: &Setup) -> Replica {
    let (stage, number, count) = if index < setup.prefill {
        (Stage::Prefill, index, setup.prefill)
    } else {
        (Stage::Decode, index - setup.prefill, setup.decode)
    };
    let is_released = (number as f64) < setup.released * count as f64;
    let software = if is_released { "v1.1" } else { "v1" };
    Replica {
        id: index.to_string(),
        service: "llm".to_owned(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: Zone::new("here"),
        stage: Some(stage),
        slots: 64,
        draining: false,
        cold: false,
        writes: 1,
        birth: None,
        software: Some(software.to_owned()),
    }
}
