//! What this daemon has learnt of one replica.

use std::time::Duration;

use ident::Time;
use slotmap::new_key_type;

use crate::claims;
use crate::claims::Others;
use crate::forecast::Curve;
use crate::replica::Load;
use crate::replica::Replica;

new_key_type! {
    /// A replica in the pool.
    pub struct Key;
}

/// How long a told load counts; it fades out linearly. Replicas answer several times as often.
const LOAD_AGE: Duration = Duration::from_secs(2);
/// Time in which the share of failures falls to a third without further sends.
const FAILURE_FADE: Duration = Duration::from_secs(4);
/// Weight of the newest send in the share of failures.
const FAILURE_STEP: f64 = 0.35;
/// Weight of the newest read in the mean time of reads.
const READ_STEP: f64 = 0.4;
/// How long the mean time of reads counts without a further read.
const READ_AGE: Duration = Duration::from_secs(2);
/// Weight of the newest piece of work in the mean time a unit.
const PACE_STEP: f64 = 0.3;
/// How long the mean time a unit counts without further work; a replica that was left because it was
/// slow is tried again after it.
const PACE_AGE: Duration = Duration::from_secs(3);
/// How long a replica that had no room is asked after those that were not asked.
const FULL_AGE: Duration = Duration::from_millis(200);

/// One replica and what this daemon has learnt of it.
#[derive(Debug, Clone)]
pub struct Server {
    /// As the platform lists it.
    pub replica: Replica,
    /// The hash of its id and birth, by which other daemons name it in claims.
    pub hash: u64,
    /// Version of the store at which its entry changed last, as far as this daemon knows.
    pub(crate) changed: u64,
    /// Requests of this daemon that it is at work on.
    pub in_flight: u32,
    /// Tokens of these requests.
    pub tokens: u64,
    /// Requests of others that it told of last, and when.
    foreign: Option<(u32, Time)>,
    /// Share of failures among the last sends, and when it was brought up to date.
    failures: (f64, Time),
    /// Mean time that it took to read a prompt, queue included, and when the last one was read.
    read: Option<(Duration, Time)>,
    /// Mean seconds a unit of work, and when the last work ended.
    pace: Option<(f64, Time)>,
    /// When it last had no room.
    full: Option<Time>,
    /// Whether a replica with another id answered at its address.
    pub(crate) replaced: bool,
    /// What the runs that this daemon knows of will hold, its own and those of others.
    pub(crate) forecast: Curve,
    /// Runs of other daemons among them.
    pub(crate) told_runs: u32,
    /// All runs that this daemon knows of.
    pub(crate) known_runs: u32,
    /// Prompts of such runs that it reads itself, though it makes tokens.
    pub(crate) reads: u32,
    /// Until when it is used though the list lacks it.
    pub(crate) lapses: Option<Time>,
}

impl Server {
    pub(crate) fn new(replica: Replica, changed: u64, now: Time) -> Self {
        Self {
            hash: claims::hash(&replica.id, replica.birth),
            replica,
            changed,
            in_flight: 0,
            tokens: 0,
            foreign: None,
            read: None,
            pace: None,
            full: None,
            failures: (0.0, now),
            replaced: false,
            forecast: Curve::flat(0.0),
            told_runs: 0,
            known_runs: 0,
            reads: 0,
            lapses: None,
        }
    }

    pub(crate) fn usable(&self, now: Time) -> bool {
        let listed = self.lapses.is_none_or(|until| now < until);
        listed && !self.replica.draining && !self.replaced
    }

    /// Takes what the runs of `others` will hold, in place of all that was known.
    pub(crate) const fn expect(&mut self, others: Others) {
        self.forecast = others.curve;
        self.told_runs = others.runs;
        self.known_runs = others.runs;
        self.reads = others.reads;
    }

    /// Adds a run of this daemon; `is_read` if the replica reads its prompt.
    pub(crate) fn add_run(&mut self, curve: &Curve, is_read: bool) {
        self.forecast = self.forecast.plus(curve);
        self.known_runs += 1;
        self.reads += u32::from(is_read);
    }

    /// Whether the list lacks it and the time is over for which it was used on.
    pub(crate) fn is_over(&self, now: Time) -> bool {
        self.lapses.is_some_and(|until| until <= now)
    }

    pub(crate) fn begin(&mut self, tokens: u64) {
        self.in_flight += 1;
        self.tokens += tokens;
    }

    pub(crate) fn end(&mut self, tokens: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(tokens);
    }

    pub(crate) fn note(&mut self, now: Time, failed: bool) {
        let share = self.failure_share(now);
        let sample = if failed { 1.0 } else { 0.0 };
        self.failures = (share + FAILURE_STEP * (sample - share), now);
    }

    pub(crate) fn note_read(&mut self, now: Time, took: Duration) {
        let mean = self.read_time(now).unwrap_or(took);
        let mean = mean.mul_f64(1.0 - READ_STEP) + took.mul_f64(READ_STEP);
        self.read = Some((mean, now));
    }

    pub(crate) fn note_pace(&mut self, now: Time, seconds: f64) {
        let mean = self.pace(now).unwrap_or(seconds);
        self.pace = Some((mean + PACE_STEP * (seconds - mean), now));
    }

    pub(crate) const fn note_full(&mut self, now: Time) {
        self.full = Some(now);
    }

    pub(crate) fn told(&mut self, now: Time, load: Load) {
        let others = (load.running + load.waiting).saturating_sub(self.in_flight);
        self.foreign = Some((others, now));
    }

    /// Mean time of reads, if one ended a short time ago.
    pub(crate) fn read_time(&self, now: Time) -> Option<Duration> {
        let (mean, at) = self.read?;
        (now.since(at) < READ_AGE).then_some(mean)
    }

    /// Mean seconds a unit of work, if some ended a short time ago.
    pub(crate) fn pace(&self, now: Time) -> Option<f64> {
        let (mean, at) = self.pace?;
        (now.since(at) < PACE_AGE).then_some(mean)
    }

    /// Whether it had no room a moment ago.
    pub(crate) fn is_full(&self, now: Time) -> bool {
        self.full.is_some_and(|at| now.since(at) < FULL_AGE)
    }

    /// Requests at work here, those of other daemons among them as far as they are known.
    pub(crate) fn load(&self, now: Time) -> f64 {
        f64::from(self.in_flight) + self.foreign(now)
    }

    /// Requests of other daemons at work here, as far as the replica told; fades with time.
    pub(crate) fn foreign(&self, now: Time) -> f64 {
        self.foreign.map_or(0.0, |(count, told)| {
            let age = now.since(told).as_secs_f64() / LOAD_AGE.as_secs_f64();
            f64::from(count) * (1.0 - age).max(0.0)
        })
    }

    /// Share of failures among the last sends; fades while nothing is sent.
    pub fn failure_share(&self, now: Time) -> f64 {
        let (share, at) = self.failures;
        share * (-now.since(at).as_secs_f64() / FAILURE_FADE.as_secs_f64()).exp()
    }
}
