//! Simulates one run.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use relay::fingerprint::Content;
use relay::fingerprint::Fingerprint;

use crate::crash::fleet::Fleet;
use crate::crash::fleet::Message;
use crate::crash::load::CRASHES;
use crate::crash::load::Load;
use crate::crash::load::QUIET;

/// Time of a prefill.
const PREFILL: Duration = Duration::from_millis(200);
/// Shortest and longest time of a generation.
const GENERATION_MS: [u64; 2] = [600, 2_500];
/// Shortest and longest time from the begin of an answer to the crash.
const CRASH_MS: [u64; 2] = [50, 110];
/// Shortest and longest time until a replica is back, under a new id.
const RETURN_MS: [u64; 2] = [2_000, 4_000];
/// Time after which the daemons of its runs know of an end.
const PROBE: Duration = Duration::from_millis(4);
/// Age of an answer from which an end is not put down to its parts.
const STEADY: Duration = Duration::from_millis(500);
/// Longest pause before a daemon clears a part on which its runs are steady.
const CLEAR_MS: u64 = 300;
/// Parts that sound prompts have as their second one; the first one is common to all.
const SUBJECTS: u64 = 40;
/// Crashes on one part that are free, and the time after them from which sends count.
const FREE_CRASHES: usize = 5;
const CONTACT: Duration = Duration::from_secs(3);

/// Statistics of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Stats {
    /// Most replicas that crashed on one part.
    pub crashes: usize,
    /// Most sends of one part later than 3 s after its fifth crash.
    pub late_sends: usize,
    /// Sound requests after the first crash that were refused, as a fraction.
    pub refused: f64,
    /// The same from 6 s after the first crash on.
    pub refused_late: f64,
    /// Messages between daemons.
    pub messages: u64,
}

#[derive(Debug)]
enum Event {
    /// A caller's request, with this crashing part; the next one follows.
    Arrival(Option<u64>),
    /// A caller's request with this crashing part.
    Single(u64),
    /// A prompt is prefilled.
    Prefilled(Request),
    /// A run ends in full.
    Complete(u64),
    /// A replica ends.
    Crash(usize),
    /// A replica is back.
    Return(usize),
    /// A daemon learns that a replica ended under contents of its requests.
    Noted(usize, Vec<Fingerprint>, u64),
    /// A datagram arrives.
    Received(Message),
    /// A daemon looks for steady runs on a part.
    Clear(usize, Fingerprint),
    /// The rack ends.
    Rack,
}

#[derive(Debug, Clone)]
struct Request {
    daemon: usize,
    content: Content,
    crashing: Option<u64>,
}

#[derive(Debug)]
struct Run {
    request: Request,
    replica: usize,
    begun: Duration,
}

struct Simulation {
    load: Load,
    random: Pcg64,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    scheduled: u64,
    fleet: Fleet,
    /// Id of each replica's incarnation; `None` while it is down.
    replicas: Vec<Option<u64>>,
    runs: HashMap<u64, Run>,
    requests: u64,
    crashes: HashMap<u64, Vec<Duration>>,
    sends: Vec<(u64, Duration)>,
    /// Times of sound requests, and whether they were refused.
    sound: Vec<(Duration, bool)>,
}

/// Runs `load`.
pub fn simulate(load: Load, seed: u64) -> Stats {
    let mut simulation = Simulation::new(load, seed);
    simulation.schedule(Duration::ZERO, Event::Arrival(None));
    for part in 0..load.crashing_parts {
        simulation.schedule(QUIET, Event::Arrival(Some(part)));
        for _ in 0..if load.together { load.daemons } else { 0 } {
            simulation.schedule(QUIET, Event::Single(part));
        }
    }
    if load.rack > 0.0 {
        simulation.schedule(QUIET + Duration::from_secs(1), Event::Rack);
    }
    simulation.run();
    simulation.stats()
}

impl Simulation {
    fn new(load: Load, seed: u64) -> Self {
        Self {
            load,
            random: Pcg64::seed_from_u64(seed),
            now: Duration::ZERO,
            events: BTreeMap::new(),
            scheduled: 0,
            fleet: Fleet::new(load.daemons, load.loss),
            replicas: (0..load.replicas as u64).map(Some).collect(),
            runs: HashMap::new(),
            requests: load.replicas as u64,
            crashes: HashMap::new(),
            sends: Vec::new(),
            sound: Vec::new(),
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        self.events
            .insert((self.now + after, self.scheduled), event);
    }

    fn run(&mut self) {
        let mut has_restarted = !self.load.restarts;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > QUIET + CRASHES {
                return;
            }
            if at >= QUIET && !has_restarted {
                has_restarted = true;
                self.fleet = Fleet::new(self.load.daemons, self.load.loss);
                self.runs.clear();
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(part) => {
                let rate = part.map_or(self.load.sound_rate, |_| self.load.crashing_rate);
                let pause = -self.random.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
                self.schedule(Duration::from_secs_f64(pause), Event::Arrival(part));
                self.handle_arrival(part);
            }
            Event::Single(part) => self.handle_arrival(Some(part)),
            Event::Prefilled(request) => self.handle_prefilled(request),
            Event::Complete(run) => self.handle_complete(run),
            Event::Crash(replica) => self.handle_crash(replica),
            Event::Return(replica) => {
                self.requests += 1;
                self.replicas[replica] = Some(self.requests);
            }
            Event::Noted(daemon, contents, replica) => {
                let noted = self.fleet.note_end(self.now, daemon, &contents, replica);
                self.send(noted.0);
                for part in noted.1 {
                    self.schedule_clear(daemon, part);
                }
            }
            Event::Received(message) => {
                let (answer, is_quarantined) = self.fleet.receive(self.now, &message);
                self.send(answer.into_iter().collect());
                if is_quarantined {
                    self.schedule_clear(message.to, message.record.fingerprint);
                }
            }
            Event::Clear(daemon, part) => self.handle_clear(daemon, part),
            Event::Rack => {
                let count = (self.load.replicas as f64 * self.load.rack) as usize;
                for replica in 0..count {
                    self.handle_crash(replica);
                }
            }
        }
    }

    fn handle_arrival(&mut self, part: Option<u64>) {
        self.requests += 1;
        let subject = format!("s{}", self.random.random_range(0..SUBJECTS));
        let crashing = part.map(|part| format!("c{part}"));
        let ids: Vec<String> = ["first".to_owned(), subject]
            .into_iter()
            .chain(crashing)
            .collect();
        let request = Request {
            daemon: self.random.random_range(0..self.load.daemons),
            content: Content::new(Fingerprint(self.requests), "llm", &ids),
            crashing: part,
        };
        let is_refused = self.is_withheld(&request);
        if part.is_none() {
            self.sound.push((self.now, is_refused));
        }
        if !is_refused {
            self.sends.extend(part.map(|part| (part, self.now)));
            self.schedule(PREFILL, Event::Prefilled(request));
        }
    }

    fn is_withheld(&self, request: &Request) -> bool {
        let withheld = self
            .fleet
            .withheld(self.now, request.daemon, &request.content);
        withheld.is_some()
    }

    fn handle_prefilled(&mut self, request: Request) {
        let live: Vec<usize> = (0..self.replicas.len())
            .filter(|r| self.replicas[*r].is_some())
            .collect();
        if self.is_withheld(&request) || live.is_empty() {
            return;
        }
        let replica = live[self.random.random_range(0..live.len())];
        self.requests += 1;
        let id = self.requests;
        match request.crashing {
            Some(part) => {
                self.sends.push((part, self.now));
                let after = self.random.random_range(CRASH_MS[0]..CRASH_MS[1]);
                self.schedule(Duration::from_millis(after), Event::Crash(replica));
                let crash = self.now + Duration::from_millis(after);
                self.crashes.entry(part).or_default().push(crash);
            }
            None => {
                let after = self.random.random_range(GENERATION_MS[0]..GENERATION_MS[1]);
                self.schedule(Duration::from_millis(after), Event::Complete(id));
            }
        }
        let run = Run {
            request,
            replica,
            begun: self.now,
        };
        self.runs.insert(id, run);
    }

    fn handle_complete(&mut self, id: u64) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        let Request {
            daemon, content, ..
        } = run.request;
        let messages = self
            .fleet
            .note_served(self.now, daemon, content.fingerprints());
        self.send(messages);
    }

    fn handle_crash(&mut self, replica: usize) {
        let Some(incarnation) = self.replicas[replica].take() else {
            return;
        };
        let lost: Vec<u64> = self
            .runs
            .iter()
            .filter(|(_, run)| run.replica == replica)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            let Some(run) = self.runs.remove(&id) else {
                continue;
            };
            let Request {
                daemon, content, ..
            } = run.request;
            let is_steady = self.now.saturating_sub(run.begun) >= STEADY;
            let contents = content
                .fingerprints()
                .take(if is_steady { 1 } else { usize::MAX });
            let noted = Event::Noted(daemon, contents.collect(), incarnation);
            self.schedule(PROBE, noted);
        }
        let back = self.random.random_range(RETURN_MS[0]..RETURN_MS[1]);
        self.schedule(Duration::from_millis(back), Event::Return(replica));
    }

    fn schedule_clear(&mut self, daemon: usize, part: Fingerprint) {
        let pause = self.random.random_range(0..CLEAR_MS);
        self.schedule(Duration::from_millis(pause), Event::Clear(daemon, part));
    }

    /// A daemon with a steady run on `part` clears it.
    fn handle_clear(&mut self, daemon: usize, part: Fingerprint) {
        let has_part = |run: &Run| {
            run.request
                .content
                .parts
                .iter()
                .any(|own| own.fingerprint == part)
        };
        let is_steady = |run: &&Run| {
            run.request.daemon == daemon && self.now.saturating_sub(run.begun) >= STEADY
        };
        if self.runs.values().filter(is_steady).any(has_part) {
            let messages = self.fleet.note_served(self.now, daemon, [part].into_iter());
            self.send(messages);
        }
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            if let Some(delay) = self.fleet.delay(&mut self.random) {
                self.schedule(delay, Event::Received(message));
            }
        }
    }

    fn stats(&self) -> Stats {
        let late_sends = self.crashes.iter().map(|(part, crashes)| {
            let mut crashes = crashes.clone();
            crashes.sort_unstable();
            let from = crashes.get(FREE_CRASHES - 1).map(|fifth| *fifth + CONTACT);
            let sends = self.sends.iter().filter(|(sent, _)| sent == part);
            from.map_or(0, |from| sends.filter(|(_, at)| *at > from).count())
        });
        let share = |from: Duration| {
            let sound = self.sound.iter().filter(|(at, _)| *at >= from);
            let count = sound.clone().count().max(1) as f64;
            sound.filter(|(_, is_refused)| *is_refused).count() as f64 / count
        };
        Stats {
            crashes: self
                .crashes
                .values()
                .map(Vec::len)
                .max()
                .unwrap_or_default(),
            late_sends: late_sends.max().unwrap_or_default(),
            refused: share(QUIET),
            refused_late: share(QUIET + Duration::from_secs(6)),
            messages: self.fleet.messages,
        }
    }
}
