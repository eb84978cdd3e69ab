//! One run in virtual time.

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
use crate::decode::figures::Figures;
use crate::decode::replica::Happened;
use crate::decode::replica::Replica;
use crate::decode::replica::Work;
use crate::decode::setup::Policy;
use crate::decode::setup::Setup;
use crate::decode::setup::Spread;

/// Time that passes at once, in milliseconds; decisions are some tens of milliseconds apart.
const TICK_MS: f64 = 2.0;
/// Time between two looks of a daemon at the memory of the replicas, in milliseconds.
const LOOK_MS: f64 = 50.0;
/// Time between two rounds of a generation that waits, in milliseconds.
const ROUND_MS: f64 = 30.0;
/// Replicas asked in one round.
const ROUND: usize = 3;
/// Part of the objective for which a generation waits for a place.
const WAIT_PART: f64 = 0.5;
/// Time to read a prompt besides the reading itself, queues included, in milliseconds.
const READ_MS: f64 = 60.0;
/// Mean time after which a refused caller comes back, in milliseconds; it is spread by a quarter.
const COME_BACK_MS: f64 = 3_400.0;
/// Time that a move holds a stream up, in milliseconds.
const MOVE_MS: f64 = 8.0;
/// Prompts from which on a generation is among the largest tenth, as a part of the mean.
const LARGE: f64 = 1.7;
/// Longest time after the last arrival, in milliseconds.
const TAIL_MS: f64 = 30_000.0;

/// One generation of a caller.
#[derive(Debug, Clone, Copy)]
struct Request {
    daemon: usize,
    size: Size,
    total: f64,
    arrived: f64,
    state: State,
    /// When the last event came.
    last: f64,
    late: bool,
    came_back: bool,
}

#[derive(Debug, Clone, Copy)]
enum State {
    /// Looks for a place at `next`, and gives up at `until`.
    Waits { next: f64, until: f64 },
    /// Its prompt is read until then; `reserved` tokens are kept for it.
    Reads {
        until: f64,
        id: RunId,
        key: Key,
        reserved: f64,
    },
    /// It is at work at a replica.
    Runs { id: RunId },
    /// It is refused and comes back then.
    Away { until: f64 },
    /// It has ended.
    Over,
}

/// Claims on their way.
type Mail = (f64, usize, ClaimUpdate);

struct World {
    setup: Setup,
    random: RefCell<Pcg64Mcg>,
    daemons: Vec<Daemon>,
    replicas: Vec<Replica>,
    requests: Vec<Request>,
    mail: Vec<Mail>,
    figures: Figures,
    now: f64,
}

/// Plays `setup` with the random numbers of `seed`.
pub fn run(setup: Setup, seed: u64) -> Figures {
    let mut world = World {
        setup,
        random: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        daemons: (0..setup.daemons)
            .map(|_| Daemon::new(setup.replicas, setup.engine.memory))
            .collect(),
        replicas: vec![Replica::new(setup.engine); setup.replicas],
        requests: Vec::new(),
        mail: Vec::new(),
        figures: Figures::default(),
        now: 0.0,
    };
    while world.now < setup.length_ms || (world.is_busy() && world.now < setup.length_ms + TAIL_MS)
    {
        world.tick();
    }
    world.figures
}

impl World {
    fn tick(&mut self) {
        self.now += TICK_MS;
        if self.now < self.setup.length_ms {
            self.arrive();
        }
        self.deliver();
        for request in 0..self.requests.len() {
            self.advance(request);
        }
        self.work();
        if self.now % LOOK_MS < TICK_MS {
            self.look();
        }
        self.tell();
    }

    fn is_busy(&self) -> bool {
        let mut requests = self.requests.iter();
        requests.any(|request| !matches!(request.state, State::Over))
    }

    fn time(&self) -> Time {
        Time::from_millis(self.now as u64)
    }

    fn draw(&self) -> f64 {
        self.random.borrow_mut().random()
    }

    /// Draws a size.
    fn size(&self, spread: Spread) -> f64 {
        let median = spread.mean / (spread.spread * spread.spread / 2.0).exp();
        (median * (spread.spread * self.normal()).exp()).clamp(1.0, spread.most)
    }

    fn normal(&self) -> f64 {
        // A sum of twelve even numbers is close to a normal one.
        (0..12).map(|_| self.draw()).sum::<f64>() - 6.0
    }

    fn arrive(&mut self) {
        let (rate, length) = self.setup.at(self.now);
        if self.draw() >= rate * TICK_MS / 1_000.0 {
            return;
        }
        let answer = self.size(self.setup.answer);
        let estimate = answer * (self.setup.estimate * self.normal()).exp();
        let most = self.setup.answer.most;
        let prompt = self.size(self.setup.prompt);
        let wait = self.setup.objective_ms * WAIT_PART;
        self.requests.push(Request {
            daemon: (self.draw() * self.setup.daemons as f64) as usize,
            size: Size {
                prompt: prompt as u64,
                estimate: estimate.min(most) as u64,
                max_tokens: most as u64,
                generated: 0,
            },
            total: (answer * length).min(most),
            arrived: self.now,
            state: State::Waits {
                next: self.now,
                until: self.now + wait,
            },
            last: self.now,
            late: false,
            came_back: false,
        });
        self.figures.asked += 1;
        self.figures.asked_of[self.size_class(self.requests.len() - 1)] += 1;
    }

    fn size_class(&self, request: usize) -> usize {
        let prompt = self.requests[request].size.prompt as f64;
        usize::from(prompt > self.setup.prompt.mean * LARGE)
    }

    fn deliver(&mut self) {
        let now = self.now;
        let time = self.time();
        let (due, rest) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.mail = rest;
        let due: Vec<Mail> = due;
        for (_, from, told) in due {
            for (index, daemon) in self.daemons.iter_mut().enumerate() {
                if index != from {
                    daemon.hear(time, from, told.clone());
                }
            }
        }
    }

    fn advance(&mut self, request: usize) {
        let now = self.now;
        match self.requests[request].state {
            State::Waits { next, until } if next <= now => self.look_for_place(request, until),
            State::Away { until } if until <= now => {
                let wait = self.setup.objective_ms * WAIT_PART;
                let daemon = (self.draw() * self.setup.daemons as f64) as usize;
                let request = &mut self.requests[request];
                request.daemon = daemon;
                request.late = true;
                request.state = State::Waits {
                    next: now,
                    until: now + wait,
                };
            }
            State::Reads {
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
                let work = Work::new(request, size.prompt as f64, total);
                self.replicas[replica].begin(now, work, reserved);
                self.requests[request].state = State::Runs { id };
            }
            _ => {}
        }
    }

    fn look_for_place(&mut self, request: usize, until: f64) {
        let Request { daemon, size, .. } = self.requests[request];
        let (spreads, tokens) = match self.setup.policy {
            Policy::Reserve => (None, (size.prompt + size.estimate) as f64),
            Policy::Forecast { spreads, .. } => (Some(spreads), size.prompt as f64),
        };
        let time = self.time();
        let mut tried = Vec::new();
        for _ in 0..ROUND {
            let found = self.daemons[daemon].choose(time, size, &tried, spreads, || self.draw());
            let Some(key) = found else { break };
            let replica = self.daemons[daemon].replica(key);
            if self.replicas[replica].reserve(tokens) {
                let id = self.daemons[daemon].begin(time, key, size);
                let read = size.prompt as f64 / self.setup.engine.read_tokens_ms;
                self.requests[request].state = State::Reads {
                    until: self.now + READ_MS + read,
                    id,
                    key,
                    reserved: tokens,
                };
                return;
            }
            tried.push(key);
            self.daemons[daemon].pool.record_full(time, key);
        }
        let next = self.now + ROUND_MS;
        self.requests[request].state = match self.requests[request] {
            _ if next <= until => State::Waits { next, until },
            Request {
                came_back: true, ..
            } => {
                self.figures.refused += 1;
                self.figures.refused_of[self.size_class(request)] += 1;
                State::Over
            }
            _ => State::Away {
                until: self.now + COME_BACK_MS * (0.75 + self.draw() / 2.0),
            },
        };
        self.requests[request].came_back |=
            matches!(self.requests[request].state, State::Away { .. });
    }

    /// Lets the replicas work.
    fn work(&mut self) {
        let mut happened = Vec::new();
        for replica in &mut self.replicas {
            replica.pass(self.now, TICK_MS, &mut happened);
        }
        for what in happened {
            match what {
                Happened::SetAside(tokens) => {
                    self.figures.set_aside += 1;
                    self.figures.read_again += tokens;
                }
                Happened::Made {
                    request,
                    events,
                    over,
                } => self.event(request, events, over),
            }
        }
    }

    fn event(&mut self, number: usize, events: u64, over: bool) {
        let time = self.time();
        let request = &mut self.requests[number];
        let State::Runs { id } = request.state else {
            return;
        };
        let allowed = if events <= 1 && request.last <= request.arrived {
            self.setup.objective_ms
        } else {
            self.setup.pause_ms
        };
        request.late |= self.now - request.last > allowed;
        request.last = self.now;
        let tokens = self.setup.engine.event_tokens;
        let daemon = &mut self.daemons[request.daemon];
        daemon.runs.record_tokens(time, id, tokens);
        if over {
            daemon.end(time, id, request.size, true);
            request.state = State::Over;
            if request.late {
                self.figures.late += 1;
            } else {
                self.figures.in_time += 1;
            }
        }
    }

    /// Lets each daemon look after its runs.
    fn look(&mut self) {
        let moves = matches!(self.setup.policy, Policy::Forecast { moves: true, .. });
        let time = self.time();
        for daemon in 0..self.daemons.len() {
            for Move { run, to } in self.daemons[daemon].look(time, moves) {
                self.relocate(daemon, run, to);
            }
        }
    }

    /// Has the run `id` go on at `to`.
    fn relocate(&mut self, daemon: usize, id: RunId, to: Key) {
        let is_it =
            |request: &Request| matches!(request.state, State::Runs { id: own } if own == id);
        let mut requests = self.requests.iter();
        let found = requests.position(|request| request.daemon == daemon && is_it(request));
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
        if let Some(work) = self.replicas[source].stop(request) {
            self.replicas[target].begin(self.now, work, held);
            self.daemons[daemon].runs.record_move(id, to);
            self.requests[request].last -= MOVE_MS;
            self.figures.moved += 1;
        }
    }

    fn tell(&mut self) {
        let time = self.time();
        let at = self.now + self.setup.claim_ms;
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            if let Some(told) = daemon.tell(time) {
                self.mail.push((at, index, told));
            }
        }
    }
}
