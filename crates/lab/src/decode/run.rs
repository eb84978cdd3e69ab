//! Simulates one run in virtual time.

use std::cell::RefCell;

use ident::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use relay::claims::ClaimUpdate;
use relay::migration::Move;
use relay::runs::RunId;
use relay::runs::Size;
use relay::server::Key;

use crate::decode::daemon::Daemon;
use crate::decode::replica::Replica;
use crate::decode::replica::ReplicaEvent;
use crate::decode::replica::Run;
use crate::decode::setup::Distribution;
use crate::decode::setup::Policy;
use crate::decode::setup::Setup;
use crate::decode::stats::Stats;

/// Length of a step, in milliseconds; decisions are some tens of milliseconds apart.
const TICK_MS: f64 = 2.0;
/// Time between two checks of a daemon on the memory of the replicas, in milliseconds.
const CHECK_INTERVAL_MS: f64 = 50.0;
/// Time between two placement rounds of a waiting generation, in milliseconds.
const ROUND_INTERVAL_MS: f64 = 30.0;
/// Replicas tried in one round.
const REPLICAS_PER_ROUND: usize = 3;
/// Fraction of the objective for which a generation waits for a placement.
const WAIT_FRACTION: f64 = 0.5;
/// Time of a prefill besides its computation, queues included, in milliseconds.
const PREFILL_OVERHEAD_MS: f64 = 60.0;
/// Mean time after which a refused caller retries, in milliseconds; it varies by a quarter.
const RETRY_AFTER_MS: f64 = 3_400.0;
/// Pause of a stream during a migration, in milliseconds.
const MOVE_PAUSE_MS: f64 = 8.0;
/// Prompts longer than this multiple of the mean are the largest tenth.
const LARGE_PROMPT: f64 = 1.7;
/// Longest time after the last arrival in which runs may still end, in milliseconds.
const DRAIN_MS: f64 = 30_000.0;

/// A generation of a caller.
#[derive(Debug, Clone, Copy)]
struct Request {
    daemon: usize,
    size: Size,
    total: f64,
    arrived: f64,
    state: State,
    /// When the last event arrived; at first, when the request did.
    last_event: f64,
    late: bool,
    retried: bool,
}

#[derive(Debug, Clone, Copy)]
enum State {
    /// Waits for a placement: the next round is at `next`, and none is after `until`.
    Waiting { next: f64, until: f64 },
    /// Its prefill runs until then; `reserved` tokens of the decode replica are reserved for it.
    Prefilling {
        until: f64,
        id: RunId,
        key: Key,
        reserved: f64,
    },
    /// It runs at a decode replica.
    Decoding { id: RunId },
    /// It was refused and retries then.
    BackingOff { until: f64 },
    /// It is complete or finally refused.
    Ended,
}

/// Claims in transit: when they arrive, the sending daemon, and the claims.
type ClaimsInTransit = (f64, usize, ClaimUpdate);

struct Simulation {
    setup: Setup,
    random: RefCell<Pcg64Mcg>,
    daemons: Vec<Daemon>,
    replicas: Vec<Replica>,
    requests: Vec<Request>,
    in_transit: Vec<ClaimsInTransit>,
    stats: Stats,
    now: f64,
}

/// Runs `setup` with the random numbers of `seed`.
pub fn run(setup: Setup, seed: u64) -> Stats {
    let mut simulation = Simulation {
        setup,
        random: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        daemons: (0..setup.daemons)
            .map(|_| Daemon::new(setup.replicas, setup.engine.memory))
            .collect(),
        replicas: vec![Replica::new(setup.engine); setup.replicas],
        requests: Vec::new(),
        in_transit: Vec::new(),
        stats: Stats::default(),
        now: 0.0,
    };
    while simulation.now < setup.length_ms
        || (simulation.is_busy() && simulation.now < setup.length_ms + DRAIN_MS)
    {
        simulation.tick();
    }
    simulation.stats
}

impl Simulation {
    fn tick(&mut self) {
        self.now += TICK_MS;
        if self.now < self.setup.length_ms {
            self.arrive();
        }
        self.deliver_claims();
        for request in 0..self.requests.len() {
            self.advance(request);
        }
        self.step_replicas();
        if self.now % CHECK_INTERVAL_MS < TICK_MS {
            self.check_memory();
        }
        self.send_claims();
    }

    fn is_busy(&self) -> bool {
        let mut requests = self.requests.iter();
        requests.any(|request| !matches!(request.state, State::Ended))
    }

    fn time(&self) -> Time {
        Time::from_millis(self.now as u64)
    }

    fn draw(&self) -> f64 {
        self.random.borrow_mut().random()
    }

    /// Draws a size from a log-normal distribution.
    fn size(&self, distribution: Distribution) -> f64 {
        let median = distribution.mean / (distribution.sigma * distribution.sigma / 2.0).exp();
        (median * (distribution.sigma * self.normal()).exp()).clamp(1.0, distribution.max)
    }

    fn normal(&self) -> f64 {
        // A sum of twelve uniform numbers is close to a normal distribution.
        (0..12).map(|_| self.draw()).sum::<f64>() - 6.0
    }

    fn arrive(&mut self) {
        let (rate, length) = self.setup.at(self.now);
        if self.draw() >= rate * TICK_MS / 1_000.0 {
            return;
        }
        let answer = self.size(self.setup.answer);
        let estimate = answer * (self.setup.estimate_sigma * self.normal()).exp();
        let max = self.setup.answer.max;
        let prompt = self.size(self.setup.prompt);
        let wait = self.setup.objective_ms * WAIT_FRACTION;
        self.requests.push(Request {
            daemon: (self.draw() * self.setup.daemons as f64) as usize,
            size: Size {
                prompt: prompt as u64,
                estimate: estimate.min(max) as u64,
                max_tokens: max as u64,
                generated: 0,
            },
            total: (answer * length).min(max),
            arrived: self.now,
            state: State::Waiting {
                next: self.now,
                until: self.now + wait,
            },
            last_event: self.now,
            late: false,
            retried: false,
        });
        self.stats.offered += 1;
        self.stats.offered_by_size[self.size_class(self.requests.len() - 1)] += 1;
    }

    fn size_class(&self, request: usize) -> usize {
        let prompt = self.requests[request].size.prompt as f64;
        usize::from(prompt > self.setup.prompt.mean * LARGE_PROMPT)
    }

    fn deliver_claims(&mut self) {
        let now = self.now;
        let time = self.time();
        let (due, rest) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.in_transit = rest;
        let due: Vec<ClaimsInTransit> = due;
        for (_, from, claims) in due {
            for (index, daemon) in self.daemons.iter_mut().enumerate() {
                if index != from {
                    daemon.receive_claims(time, from, claims.clone());
                }
            }
        }
    }

    fn advance(&mut self, request: usize) {
        let now = self.now;
        match self.requests[request].state {
            State::Waiting { next, until } if next <= now => self.place(request, until),
            State::BackingOff { until } if until <= now => {
                let wait = self.setup.objective_ms * WAIT_FRACTION;
                let daemon = (self.draw() * self.setup.daemons as f64) as usize;
                let request = &mut self.requests[request];
                request.daemon = daemon;
                request.late = true;
                request.state = State::Waiting {
                    next: now,
                    until: now + wait,
                };
            }
            State::Prefilling {
                until,
                id,
                key,
                reserved,
            } if until <= now => {
                let Request {
                    daemon,
                    size,
                    total,
                    ..
                } = self.requests[request];
                let replica = self.daemons[daemon].replica(key);
                let run = Run::new(request, size.prompt as f64, total);
                self.replicas[replica].begin(now, run, reserved);
                self.requests[request].state = State::Decoding { id };
            }
            _ => {}
        }
    }

    fn place(&mut self, request: usize, until: f64) {
        let Request { daemon, size, .. } = self.requests[request];
        let (spreads, tokens) = match self.setup.policy {
            Policy::Reserve => (None, (size.prompt + size.estimate) as f64),
            Policy::Forecast { spreads, .. } => (Some(spreads), size.prompt as f64),
        };
        let time = self.time();
        let mut tried = Vec::new();
        for _ in 0..REPLICAS_PER_ROUND {
            let found = self.daemons[daemon].choose(time, size, &tried, spreads, || self.draw());
            let Some(key) = found else { break };
            let replica = self.daemons[daemon].replica(key);
            if self.replicas[replica].reserve(tokens) {
                let id = self.daemons[daemon].begin(time, key, size);
                let prefill = size.prompt as f64 / self.setup.engine.prefill_tokens_ms;
                self.requests[request].state = State::Prefilling {
                    until: self.now + PREFILL_OVERHEAD_MS + prefill,
                    id,
                    key,
                    reserved: tokens,
                };
                return;
            }
            tried.push(key);
            self.daemons[daemon].pool.record_full(time, key);
        }
        let next = self.now + ROUND_INTERVAL_MS;
        self.requests[request].state = match self.requests[request] {
            _ if next <= until => State::Waiting { next, until },
            Request { retried: true, .. } => {
                self.stats.refused += 1;
                self.stats.refused_by_size[self.size_class(request)] += 1;
                State::Ended
            }
            _ => State::BackingOff {
                until: self.now + RETRY_AFTER_MS * (0.75 + self.draw() / 2.0),
            },
        };
        self.requests[request].retried |=
            matches!(self.requests[request].state, State::BackingOff { .. });
    }

    /// Simulates one step of all replicas.
    fn step_replicas(&mut self) {
        let mut out = Vec::new();
        for replica in &mut self.replicas {
            replica.advance(self.now, TICK_MS, &mut out);
        }
        for event in out {
            match event {
                ReplicaEvent::Preempted(tokens) => {
                    self.stats.preempted += 1;
                    self.stats.recomputed += tokens;
                }
                ReplicaEvent::Generated {
                    request,
                    events,
                    complete,
                } => self.record_event(request, events, complete),
            }
        }
    }

    fn record_event(&mut self, number: usize, events: u64, complete: bool) {
        let time = self.time();
        let request = &mut self.requests[number];
        let State::Decoding { id } = request.state else {
            return;
        };
        let allowed = if events <= 1 && request.last_event <= request.arrived {
            self.setup.objective_ms
        } else {
            self.setup.pause_ms
        };
        request.late |= self.now - request.last_event > allowed;
        request.last_event = self.now;
        let tokens = self.setup.engine.event_tokens;
        let daemon = &mut self.daemons[request.daemon];
        daemon.runs.record_tokens(time, id, tokens);
        if complete {
            daemon.end(time, id, request.size, true);
            request.state = State::Ended;
            if request.late {
                self.stats.late += 1;
            } else {
                self.stats.in_time += 1;
            }
        }
    }

    /// Has each daemon update its forecasts and migrate the runs that are due.
    fn check_memory(&mut self) {
        let moves = matches!(self.setup.policy, Policy::Forecast { moves: true, .. });
        let time = self.time();
        for daemon in 0..self.daemons.len() {
            for Move { run, to } in self.daemons[daemon].due_moves(time, moves) {
                self.migrate(daemon, run, to);
            }
        }
    }

    /// Migrates the run `id` to the replica `to`, if that has memory.
    fn migrate(&mut self, daemon: usize, id: RunId, to: Key) {
        let is_run =
            |request: &Request| matches!(request.state, State::Decoding { id: own } if own == id);
        let mut requests = self.requests.iter();
        let found = requests.position(|request| request.daemon == daemon && is_run(request));
        let from = self.daemons[daemon].runs.get(id).map(|entry| entry.server);
        let (Some(request), Some(from)) = (found, from) else {
            return;
        };
        let target = self.daemons[daemon].replica(to);
        let source = self.daemons[daemon].replica(from);
        let held = self.daemons[daemon].runs.held_tokens(id) as f64;
        if !self.replicas[target].reserve(held) {
            return;
        }
        if let Some(run) = self.replicas[source].stop(request) {
            self.replicas[target].begin(self.now, run, held);
            self.daemons[daemon].runs.record_move(id, to);
            self.requests[request].last_event -= MOVE_PAUSE_MS;
            self.stats.moved += 1;
        }
    }

    fn send_claims(&mut self) {
        let time = self.time();
        let at = self.now + self.setup.claim_ms;
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            if let Some(claims) = daemon.due_claims(time) {
                self.in_transit.push((at, index, claims));
            }
        }
    }
}
