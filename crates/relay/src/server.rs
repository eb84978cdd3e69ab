//! What this daemon has learnt of one replica.

use std::time::Duration;

use ident::Time;
use slotmap::new_key_type;

use crate::claims;
use crate::claims::PeerUsage;
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
/// Weight of the newest read in the mean time that a token of a prompt takes.
const READ_STEP: f64 = 0.4;
/// How long that mean counts without a further read; where it is not known, that of all replicas does.
const READ_AGE: Duration = Duration::from_secs(5);
/// Weight of the newest piece of work in the mean time a unit.
const PACE_STEP: f64 = 0.3;
/// How long the mean time a unit counts without further work; a replica that was left because it was
/// slow is tried again after it.
const PACE_AGE: Duration = Duration::from_secs(3);
/// How long a replica that had no room is asked after the others, the first time.
const FULL_AGE: Duration = Duration::from_millis(200);
/// The same for one that did not answer; asking it costs a caller most of the time that it waits.
const SILENT_AGE: Duration = Duration::from_millis(800);
/// How long an answer to this daemon counts for more than what others say of the replica.
const ANSWERED_AGE: Duration = Duration::from_millis(300);
/// Doublings of these times at most, one for each time in a row: a replica that is leaving refuses each
/// reservation and looks the emptier the longer it does. With a third of 320 replicas leaving unnoticed,
/// nearly all reservations were asked of those.
const MAX_DOUBLINGS: u32 = 4;

/// How long requests already assigned to a replica are still sent to it after this daemon learnt that it is draining. Covers
/// requests whose prompt is read within this time, and ends before the replica must no longer receive any.
const DRAINING_GRACE: Duration = Duration::from_millis(250);

/// Reservations that failed at a replica.
#[derive(Debug, Clone, Copy, Default)]
struct Refused {
    /// How many in a row.
    count: u32,
    /// Until when it is asked after the others.
    until: Time,
}

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
    /// Mean seconds that it took to read a token, and when the last prompt was read.
    read: Option<(f64, Time)>,
    /// Tokens that it is to read for other daemons; `None` if none is heard of.
    pub(crate) unread: Option<u64>,
    /// Mean seconds a unit of work, and when the last work ended.
    pace: Option<(f64, Time)>,
    refused: Refused,
    /// When it last answered this daemon.
    answered: Option<Time>,
    /// When it last did not answer this daemon.
    silent: Option<Time>,
    /// Limit in requests per second, across all daemons; `None` if it has none.
    pub limit: Option<f64>,
    /// Until when it is excluded from selection because of its limit.
    pub(crate) throttled_until: Time,
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
    /// When this daemon learnt that it is draining; `None` if it is not, or was draining when first listed.
    pub(crate) draining_since: Option<Time>,
}

impl Server {
    pub(crate) fn new(replica: Replica, changed: u64, now: Time) -> Self {
        Self {
            hash: claims::incarnation_hash(&replica.id, replica.birth),
            replica,
            changed,
            in_flight: 0,
            tokens: 0,
            foreign: None,
            read: None,
            unread: None,
            pace: None,
            refused: Refused::default(),
            answered: None,
            silent: None,
            failures: (0.0, now),
            limit: None,
            throttled_until: Time::ZERO,
            replaced: false,
            forecast: Curve::flat(0.0),
            told_runs: 0,
            known_runs: 0,
            reads: 0,
            lapses: None,
            draining_since: None,
        }
    }

    pub(crate) fn usable(&self, now: Time) -> bool {
        let listed = self.lapses.is_none_or(|until| now < until);
        listed && !self.replica.draining && !self.replaced
    }

    /// Whether a request that is assigned to it may still be sent: not after `DRAINING_GRACE`, nor once it is no longer used
    /// after it left the list.
    pub fn may_receive(&self, now: Time) -> bool {
        let grace_ended = self
            .draining_since
            .is_some_and(|since| now.since(since) > DRAINING_GRACE);
        !grace_ended && !self.is_over(now)
    }

    /// Takes what the runs of `others` will hold, in place of all that was known.
    pub(crate) const fn expect(&mut self, others: PeerUsage) {
        self.forecast = others.curve;
        self.told_runs = others.runs;
        self.known_runs = others.runs;
        self.reads = others.prefills;
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
        if !failed {
            self.note_room(now);
        }
        self.failures = (share + FAILURE_STEP * (sample - share), now);
    }

    /// Notes that a token of a prompt took so many seconds.
    pub(crate) fn note_read(&mut self, now: Time, seconds: f64) {
        let mean = self.read_pace(now).unwrap_or(seconds);
        self.read = Some((mean + READ_STEP * (seconds - mean), now));
    }

    /// Tokens that it is to read, as far as is known.
    pub(crate) fn queued(&self) -> u64 {
        self.tokens + self.unread.unwrap_or_default()
    }

    pub(crate) fn note_pace(&mut self, now: Time, seconds: f64) {
        let mean = self.pace(now).unwrap_or(seconds);
        self.pace = Some((mean + PACE_STEP * (seconds - mean), now));
    }

    /// Notes that it had no room.
    pub(crate) fn note_full(&mut self, now: Time) {
        self.answered = Some(now);
        self.note_refused(now, FULL_AGE);
    }

    /// Notes that it did not answer.
    pub(crate) fn note_silent(&mut self, now: Time) {
        self.silent = Some(now);
        self.note_refused(now, SILENT_AGE);
    }

    /// Notes that it had room, or did its work.
    pub(crate) fn note_room(&mut self, now: Time) {
        self.answered = Some(now);
        self.refused = Refused::default();
    }

    /// Takes from another daemon that it does not answer, unless it answered this one a moment ago.
    pub(crate) fn hear_silent(&mut self, now: Time) {
        let answered = self.answered.is_some_and(|at| now.since(at) < ANSWERED_AGE);
        if !answered && self.refusals(now) == 0 {
            self.note_refused(now, SILENT_AGE);
        }
    }

    /// Whether it did not answer this daemon a moment ago, and has not answered since.
    pub(crate) fn is_silent(&self, now: Time) -> bool {
        self.silent.is_some_and(|at| {
            now.since(at) < SILENT_AGE && self.answered.is_none_or(|answered| answered < at)
        })
    }

    fn note_refused(&mut self, now: Time, age: Duration) {
        let Refused { count, until } = self.refused;
        // Answers to questions that were asked before the last refusal count as one with it.
        let count = if now < until { count } else { count + 1 };
        let doublings = (count - 1).min(MAX_DOUBLINGS);
        self.refused = Refused {
            count,
            until: until.max(now + age * 2_u32.pow(doublings)),
        };
    }

    pub(crate) fn told(&mut self, now: Time, load: Load) {
        let others = (load.running + load.waiting).saturating_sub(self.in_flight);
        self.foreign = Some((others, now));
    }

    /// Mean seconds that it takes to read a token, if a prompt was read a short time ago.
    pub(crate) fn read_pace(&self, now: Time) -> Option<f64> {
        let (mean, at) = self.read?;
        (now.since(at) < READ_AGE).then_some(mean)
    }

    /// Mean seconds a unit of work, if some ended a short time ago.
    pub(crate) fn pace(&self, now: Time) -> Option<f64> {
        let (mean, at) = self.pace?;
        (now.since(at) < PACE_AGE).then_some(mean)
    }

    /// Reservations in a row that failed, while it is asked after the others for that; else 0.
    pub(crate) fn refusals(&self, now: Time) -> u32 {
        if now < self.refused.until {
            self.refused.count
        } else {
            0
        }
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
