//! The runs of this daemon at decode replicas: how far they are, and what they will hold.

use std::collections::HashMap;

use ident::Time;
use slotmap::SecondaryMap;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::claims::Claim;
use crate::forecast::Curve;
use crate::forecast::Run;
use crate::length::LengthDistribution;
use crate::server::Key;

new_key_type! {
    /// A run of this daemon.
    pub struct RunId;
}

/// Seconds that an answer as long as estimated takes until some were seen.
const USUAL_ANSWER: f64 = 3.0;
/// Weight of the newest answer in the mean pace of a service.
const PACE_STEP: f64 = 0.1;
/// Time for which a run has to make tokens before its own pace counts: some ten steps.
const PACE_FROM: f64 = 0.25;

/// What a generation asks of a decode replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Tokens that the caller expects.
    pub estimate: u64,
    /// Tokens that may be made at most.
    pub max_tokens: u64,
    /// Tokens that were made before, at another replica.
    pub generated: u64,
}

/// One run of this daemon.
#[derive(Debug, Clone)]
pub struct RunState {
    /// Its service.
    pub service: String,
    /// Its replica.
    pub server: Key,
    size: Size,
    /// Tokens made in all.
    made: f64,
    /// When the first event came from this replica, and the tokens made by then.
    started: Option<(Time, f64)>,
    /// Whether its replica reads its prompt.
    reads: bool,
    /// Until when it is not moved: a move is in progress, or one failed.
    settled: Option<Time>,
}

/// What was learnt of the answers of one service.
#[derive(Debug, Default)]
struct Learnt {
    length: LengthDistribution,
    /// Mean tokens a second.
    pace: Option<f64>,
}

/// All runs of this daemon.
#[derive(Debug, Default)]
pub struct Runs {
    entries: SlotMap<RunId, RunState>,
    learnt: HashMap<String, Learnt>,
    /// Until when no run leaves a replica, since it did not move one.
    unmoved: SecondaryMap<Key, Time>,
}

impl RunState {
    /// When it began to make tokens at its replica; `None` before.
    pub fn started(&self) -> Option<Time> {
        self.started.map(|(at, _)| at)
    }

    /// Whether it may be moved at `now`.
    pub fn is_movable(&self, now: Time) -> bool {
        self.started.is_some() && self.settled.is_none_or(|until| until <= now)
    }

    /// Whether its replica reads its prompt.
    pub const fn is_prefilling(&self) -> bool {
        self.reads
    }

    fn pace(&self, now: Time) -> Option<f64> {
        let (at, before) = self.started?;
        let seconds = now.since(at).as_secs_f64();
        (seconds > PACE_FROM && self.made > before).then(|| (self.made - before) / seconds)
    }
}

impl Runs {
    /// None.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a run of `size` gets a place at `server`.
    pub fn begin(&mut self, service: &str, server: Key, size: Size) -> RunId {
        if !self.learnt.contains_key(service) {
            self.learnt.insert(service.to_owned(), Learnt::default());
        }
        self.entries.insert(RunState {
            service: service.to_owned(),
            server,
            size,
            made: size.generated as f64,
            started: None,
            reads: false,
            settled: None,
        })
    }

    /// Notes that the replica of `id` reads its prompt.
    pub fn mark_prefilling(&mut self, id: RunId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.reads = true;
        }
    }

    /// Notes that `tokens` came.
    pub fn record_tokens(&mut self, now: Time, id: RunId, tokens: u64) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.made += tokens as f64;
            entry.reads = false;
            if entry.started.is_none() {
                entry.started = Some((now, entry.made));
            }
        }
    }

    /// Notes that the run goes on at `server`.
    pub fn record_move(&mut self, id: RunId, server: Key) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.server = server;
            entry.started = None;
        }
    }

    /// Leaves the run where it is until `until`.
    pub fn block_moves(&mut self, id: RunId, until: Time) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.settled = Some(until);
        }
    }

    /// Notes that the replica of `id` did not move it, or may not have: no run leaves it until `until`.
    pub fn block_moves_from_replica(&mut self, id: RunId, until: Time) {
        if let Some(entry) = self.entries.get(id) {
            self.unmoved.insert(entry.server, until);
        }
    }

    /// Whether runs may leave `server` at `now`.
    pub fn may_move_from(&self, now: Time, server: Key) -> bool {
        self.unmoved.get(server).is_none_or(|until| *until <= now)
    }

    /// Notes that the run is over; if it is `complete`, its length is learnt.
    pub fn end(&mut self, now: Time, id: RunId, complete: bool) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        let Some(learnt) = self.learnt.get_mut(&entry.service) else {
            return;
        };
        if !complete || entry.made <= 0.0 {
            return;
        }
        learnt.length.record(entry.made, entry.size.estimate as f64);
        if let Some(pace) = entry.pace(now) {
            let mean = learnt.pace.unwrap_or(pace);
            learnt.pace = Some(mean + PACE_STEP * (pace - mean));
        }
    }

    /// The run `id`.
    pub fn get(&self, id: RunId) -> Option<&RunState> {
        self.entries.get(id)
    }

    /// All runs.
    pub fn iter(&self) -> impl Iterator<Item = (RunId, &RunState)> {
        self.entries.iter()
    }

    /// Tokens that `id` holds now.
    pub fn held_tokens(&self, id: RunId) -> u64 {
        let entry = self.entries.get(id);
        entry.map_or(0, |entry| entry.size.prompt + entry.made as u64)
    }

    /// Tokens that `id` has made.
    pub fn generated_tokens(&self, id: RunId) -> u64 {
        self.entries.get(id).map_or(0, |entry| entry.made as u64)
    }

    /// What a run of `size` of `service` will hold, if it begins now.
    pub fn forecast(&self, service: &str, size: Size) -> Curve {
        let learnt = self.learnt.get(service);
        let pace = learnt.and_then(|learnt| learnt.pace);
        let run = run(size, size.generated as f64, pace);
        match learnt {
            Some(learnt) => run.curve(&learnt.length),
            None => run.curve(&LengthDistribution::new()),
        }
    }

    /// What the run `id` will hold.
    pub fn curve(&self, now: Time, id: RunId) -> Curve {
        let Some(entry) = self.entries.get(id) else {
            return Curve::default();
        };
        let learnt = &self.learnt[&entry.service];
        let pace = entry.pace(now).or(learnt.pace);
        run(entry.size, entry.made, pace).curve(&learnt.length)
    }

    /// What other daemons are told of the runs at `server`, the replica with this `hash`; `None` if
    /// there are none.
    pub fn claim(&self, now: Time, server: Key, hash: u64) -> Option<Claim> {
        let here = || self.entries.iter().filter(|(_, run)| run.server == server);
        let count = here().count() as u16;
        if count == 0 {
            return None;
        }
        let curve = here().fold(Curve::default(), |sum, (run, _)| {
            sum.plus(&self.curve(now, run))
        });
        let newest = here().filter_map(|(_, run)| run.started()).max();
        let newest_ms = newest.map_or(u16::MAX, |at| {
            now.since(at).as_millis().min(u128::from(u16::MAX - 1)) as u16
        });
        let reads = here().filter(|(_, run)| run.is_prefilling()).count() as u16;
        Some(Claim::new(hash, count, reads, newest_ms, &curve))
    }
}

fn run(size: Size, generated: f64, pace: Option<f64>) -> Run {
    let estimate = size.estimate.max(1) as f64;
    Run {
        prompt: size.prompt as f64,
        generated,
        estimate,
        max_tokens: size.max_tokens as f64,
        tokens_per_s: pace.unwrap_or(estimate / USUAL_ANSWER).max(1.0),
    }
}
