//! State of one replica as known to this daemon.

use std::cmp::Ordering;
use std::time::Duration;

use ident::Time;
use rapidhash::v3::rapidhash_v3;
use slotmap::new_key_type;

use crate::claims;
use crate::claims::PeerUsage;
use crate::forecast::Curve;
use crate::notices::Notices;
use crate::pace::Pace;
use crate::replica::Load;
use crate::replica::Replica;
use crate::revision::Revision;

new_key_type! {
    /// Identifies an incarnation of a replica in the pool.
    pub struct Key;
}

/// How long a reported load is used; its weight decreases linearly. Replicas answer several times
/// as often.
const LOAD_AGE: Duration = Duration::from_secs(2);
/// How long a reported slowdown is used; it changes several times a second.
const SLOWDOWN_AGE: Duration = Duration::from_millis(300);
/// Time in which the failure share decays to 1/e, about a third, without further sends.
const FAILURE_DECAY: Duration = Duration::from_secs(4);
/// Weight of the newest send in the failure share.
const FAILURE_WEIGHT: f64 = 0.35;
/// Weight of the newest prefill in the mean time per prompt token.
const PREFILL_WEIGHT: f64 = 0.4;
/// How long that mean is used without a further prefill; after that, the mean of all replicas is.
const PREFILL_AGE: Duration = Duration::from_secs(5);
/// Weight of the newest piece of work in the mean time per unit.
const PACE_WEIGHT: f64 = 0.3;
/// How long the mean time per unit is used without further work; a replica avoided for its slowness
/// is tried again after it.
const PACE_AGE: Duration = Duration::from_secs(3);
/// The same if no other work ended within [`PACE_CONFIRMATION`] before: a single piece of work may
/// take long by chance.
const SINGLE_PACE_AGE: Duration = Duration::from_secs(1);
/// Time within which a second measurement confirms the first.
const PACE_CONFIRMATION: Duration = Duration::from_secs(6);
/// How long a replica is ranked behind the others after its first refusal.
const REFUSED_AGE: Duration = Duration::from_millis(200);
/// The same for a replica that did not answer. Longer, since trying it uses up most of the time
/// that a caller waits.
const NO_ANSWER_AGE: Duration = Duration::from_millis(800);
/// How long an answer to this daemon outweighs what others report of the replica.
const ANSWER_AGE: Duration = Duration::from_millis(300);
/// Maximum doublings of these times, one per successive refusal. A leaving replica refuses each
/// reservation and looks emptier the longer it does: with a third of 320 replicas leaving
/// unnoticed, nearly all reservations were tried at those.
const MAX_DOUBLINGS: u32 = 4;

/// How long requests already assigned to a replica are still sent after this daemon learnt that it
/// is draining. Covers requests whose prompt is prefilled within this time, and ends before the
/// replica must no longer receive any.
const DRAINING_GRACE: Duration = Duration::from_millis(250);

/// Failed reservations at a replica.
#[derive(Debug, Clone, Copy, Default)]
struct Refusals {
    /// Number in a row.
    count: u32,
    /// When the replica stops being ranked behind the others.
    until: Time,
}

/// Mean time that a replica takes per unit of work.
#[derive(Debug, Clone, Copy)]
struct WorkPace {
    /// Seconds per unit.
    mean: f64,
    /// When the last work ended.
    at: Time,
    /// How long the mean is used without further work.
    max_age: Duration,
}

/// One replica and what this daemon knows of it.
#[derive(Debug, Clone)]
pub struct Server {
    /// Entry in the platform's list.
    pub replica: Replica,
    /// Hash of its id and start time, which identifies it in claims.
    pub hash: u64,
    /// Hash of the entry.
    pub(crate) entry_hash: u64,
    /// Version of the store at which its entry last changed, as far as this daemon knows.
    pub(crate) changed: Revision,
    /// When this daemon first had it in its list.
    pub(crate) listed_at: Time,
    /// Requests of this daemon in progress there.
    pub in_flight: u32,
    /// Tokens of these requests.
    pub tokens: u64,
    /// Latest reported number of requests of others, and when.
    peer_requests: Option<(u32, Time)>,
    /// How much longer than usual work takes, by its last answer, and when.
    slowdown: Option<(f64, Time)>,
    /// Failure share of the recent sends, and when it was updated.
    failures: (f64, Time),
    /// Mean seconds to prefill a token, and when the last prefill ended.
    prefill_pace: Option<(f64, Time)>,
    /// Tokens that it has yet to prefill for other daemons; `None` if no other daemon has reported.
    pub(crate) peer_prefill_tokens: Option<u64>,
    /// Mean time per unit of work.
    work_pace: Option<WorkPace>,
    /// Time per token at its stage, by the newest measurement of any daemon.
    pub(crate) token_pace: Option<Pace>,
    refusals: Refusals,
    /// When it last answered this daemon.
    last_answer: Option<Time>,
    /// When it last failed to answer this daemon.
    last_no_answer: Option<Time>,
    /// Until when it is excluded from selection because of its limit.
    pub(crate) throttled_until: Time,
    /// Whether a replica with another id answered at its address.
    pub(crate) replaced: bool,
    /// Whether its data centre is evacuated.
    pub(crate) evacuated: bool,
    /// Until when it may be cold although its entry does not show it.
    pub(crate) assumed_cold_until: Time,
    /// Memory forecast for the known runs of all daemons.
    pub(crate) forecast: Curve,
    /// Whether the pool lists it as a replica with a forecast.
    pub(crate) has_forecast: bool,
    /// Known runs of other daemons.
    pub(crate) peer_runs: u32,
    /// Known runs of all daemons.
    pub(crate) known_runs: u32,
    /// Prompts of these runs that it prefills itself although it is a decode replica.
    pub(crate) prefills: u32,
    /// When its use ends, if it is missing from the list.
    pub(crate) lapses_at: Option<Time>,
    /// When this daemon learnt from the list that it is draining; `None` if it is not, or was
    /// draining when first listed.
    pub(crate) draining_since: Option<Time>,
    /// Era of the list in which this daemon learnt that it is draining.
    pub(crate) draining_era: u64,
    /// What it said of its availability. Kept regardless of the list, which may be older.
    pub(crate) notices: Notices,
}

impl Server {
    pub(crate) fn new(replica: Replica, changed: Revision, now: Time) -> Self {
        Self {
            hash: claims::incarnation_hash(&replica.id, replica.birth),
            entry_hash: entry_hash(&replica),
            replica,
            changed,
            listed_at: now,
            in_flight: 0,
            tokens: 0,
            peer_requests: None,
            slowdown: None,
            prefill_pace: None,
            peer_prefill_tokens: None,
            work_pace: None,
            token_pace: None,
            refusals: Refusals::default(),
            last_answer: None,
            last_no_answer: None,
            failures: (0.0, now),
            throttled_until: Time::ZERO,
            replaced: false,
            evacuated: false,
            assumed_cold_until: Time::ZERO,
            forecast: Curve::flat(0.0),
            has_forecast: false,
            peer_runs: 0,
            known_runs: 0,
            prefills: 0,
            lapses_at: None,
            draining_since: None,
            draining_era: changed.era,
            notices: Notices::new(),
        }
    }

    /// Whether it is in the list.
    pub(crate) const fn is_listed(&self) -> bool {
        self.lapses_at.is_none()
    }

    /// Whether `replica`, an entry of the same incarnation in a list of `era`, is older than the known
    /// one, which says that it is draining. One that was written as often is older only if the store
    /// has come back from a copy since.
    pub(crate) fn outdates(&self, era: u64, replica: &Replica) -> bool {
        let known = &self.replica;
        let is_older = match replica.writes.cmp(&known.writes) {
            Ordering::Less => true,
            Ordering::Equal => self.draining_era < era,
            Ordering::Greater => false,
        };
        known.draining && !replica.draining && is_older
    }

    /// Replaces the entry.
    pub(crate) fn set_entry(&mut self, replica: Replica) {
        self.entry_hash = entry_hash(&replica);
        self.replica = replica;
    }

    pub(crate) fn is_available(&self, now: Time) -> bool {
        let listed = self.lapses_at.is_none_or(|until| now < until);
        listed && !self.is_draining() && !self.replaced && !self.evacuated
    }

    /// Whether it is draining, by the list or by its own answers.
    pub const fn is_draining(&self) -> bool {
        self.replica.draining || self.notices.draining_at.is_some()
    }

    /// Whether it is cold, or may be.
    pub(crate) fn is_cold(&self, now: Time) -> bool {
        self.replica.cold || now < self.assumed_cold_until
    }

    /// Whether it asked for no requests for a time that has not ended.
    pub fn backs_off(&self, now: Time) -> bool {
        now < self.notices.backoff_until
    }

    /// Whether new work may be assigned to it.
    pub fn accepts_work(&self, now: Time) -> bool {
        self.is_available(now) && self.excluded_until() <= now
    }

    /// Until when it is excluded from selection, because of its limit or at its own request.
    pub(crate) fn excluded_until(&self) -> Time {
        self.throttled_until.max(self.notices.backoff_until)
    }

    /// Whether a request assigned to it may still be sent.
    pub fn may_receive(&self, now: Time) -> bool {
        self.withheld_cause(now).is_none()
    }

    /// Why a request assigned to it must not be sent any more; `None` if it may be sent.
    pub fn withheld_cause(&self, now: Time) -> Option<&'static str> {
        let noticed = self.notices.draining_at;
        let mut draining_since = self.draining_since.iter().chain(&noticed);
        match self {
            _ if draining_since.any(|since| now.since(*since) > DRAINING_GRACE) => {
                Some("the replica is draining")
            }
            _ if self.backs_off(now) => Some("the replica asked for no requests"),
            _ if self.has_lapsed(now) => Some("the replica is no longer listed"),
            _ if self.evacuated => Some("the data centre of the replica is evacuated"),
            _ => None,
        }
    }

    /// Replaces the forecast by that of the runs of `others`.
    pub(crate) const fn reset_forecast(&mut self, others: PeerUsage) {
        self.forecast = others.curve;
        self.peer_runs = others.runs;
        self.known_runs = others.runs;
        self.prefills = others.prefills;
    }

    /// Adds a run of this daemon; `is_prefilling` if the replica prefills its prompt itself.
    pub(crate) fn add_run(&mut self, curve: &Curve, is_prefilling: bool) {
        self.forecast = self.forecast.plus(curve);
        self.known_runs += 1;
        self.prefills += u32::from(is_prefilling);
    }

    /// Known runs of all daemons there.
    pub const fn known_runs(&self) -> u32 {
        self.known_runs
    }

    /// Whether it is missing from the list and its grace period is over.
    pub(crate) fn has_lapsed(&self, now: Time) -> bool {
        self.lapses_at.is_some_and(|until| until <= now)
    }

    pub(crate) fn start_request(&mut self, tokens: u64) {
        self.in_flight += 1;
        self.tokens += tokens;
    }

    pub(crate) fn end_request(&mut self, tokens: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(tokens);
    }

    pub(crate) fn record_result(&mut self, now: Time, failed: bool) {
        let share = self.failure_share(now);
        let sample = if failed { 1.0 } else { 0.0 };
        if !failed {
            self.record_room(now);
        }
        self.failures = (share + FAILURE_WEIGHT * (sample - share), now);
    }

    /// Records that a prompt took `seconds` per token.
    pub(crate) fn record_prefill(&mut self, now: Time, seconds: f64) {
        let mean = self.prefill_pace(now).unwrap_or(seconds);
        self.prefill_pace = Some((mean + PREFILL_WEIGHT * (seconds - mean), now));
    }

    /// Tokens that it has yet to prefill, as far as known.
    pub(crate) fn queued_tokens(&self) -> u64 {
        self.tokens + self.peer_prefill_tokens.unwrap_or_default()
    }

    pub(crate) fn record_work(&mut self, now: Time, seconds: f64) {
        let mean = self.pace(now).unwrap_or(seconds);
        let is_confirmed = self
            .work_pace
            .is_some_and(|before| now.since(before.at) < PACE_CONFIRMATION);
        self.work_pace = Some(WorkPace {
            mean: mean + PACE_WEIGHT * (seconds - mean),
            at: now,
            max_age: if is_confirmed {
                PACE_AGE
            } else {
                SINGLE_PACE_AGE
            },
        });
    }

    /// Records that it refused a reservation.
    pub(crate) fn record_full(&mut self, now: Time) {
        self.last_answer = Some(now);
        self.record_refusal(now, REFUSED_AGE);
    }

    /// Records that it did not answer.
    pub(crate) fn record_no_answer(&mut self, now: Time) {
        self.last_no_answer = Some(now);
        self.record_refusal(now, NO_ANSWER_AGE);
    }

    /// Records that it accepted a reservation, or completed work.
    pub(crate) fn record_room(&mut self, now: Time) {
        self.last_answer = Some(now);
        self.refusals = Refusals::default();
    }

    /// Forgets failed sends and reservations.
    pub(crate) fn forget_failures(&mut self, now: Time) {
        self.failures = (0.0, now);
        self.refusals = Refusals::default();
        self.last_no_answer = None;
    }

    /// Applies a report of another daemon that it does not answer, unless it has just answered this
    /// daemon.
    pub(crate) fn apply_silent_report(&mut self, now: Time) {
        let answered = self
            .last_answer
            .is_some_and(|at| now.since(at) < ANSWER_AGE);
        if !answered && self.refusals(now) == 0 {
            self.record_refusal(now, NO_ANSWER_AGE);
        }
    }

    /// Whether it lately failed to answer this daemon and has not answered since.
    pub(crate) fn is_silent(&self, now: Time) -> bool {
        self.last_no_answer.is_some_and(|at| {
            now.since(at) < NO_ANSWER_AGE && self.last_answer.is_none_or(|answered| answered < at)
        })
    }

    fn record_refusal(&mut self, now: Time, age: Duration) {
        let Refusals { count, until } = self.refusals;
        // Reservations that were in flight at the last refusal count as one with it.
        let count = if now < until { count } else { count + 1 };
        let doublings = (count - 1).min(MAX_DOUBLINGS);
        self.refusals = Refusals {
            count,
            until: until.max(now + age * 2_u32.pow(doublings)),
        };
    }

    pub(crate) fn record_load(&mut self, now: Time, load: Load) {
        let others = (load.running + load.waiting).saturating_sub(self.in_flight);
        self.peer_requests = Some((others, now));
    }

    pub(crate) const fn record_slowdown(&mut self, now: Time, slowdown: f64) {
        self.slowdown = Some((slowdown, now));
    }

    /// How much longer than usual work takes there, as a factor, if it has just said so.
    pub(crate) fn slowdown(&self, now: Time) -> Option<f64> {
        let (slowdown, at) = self.slowdown?;
        (now.since(at) < SLOWDOWN_AGE).then_some(slowdown)
    }

    /// Mean seconds to prefill a token, if measured recently.
    pub(crate) fn prefill_pace(&self, now: Time) -> Option<f64> {
        let (mean, at) = self.prefill_pace?;
        (now.since(at) < PREFILL_AGE).then_some(mean)
    }

    /// Mean seconds per unit of work, if measured recently.
    pub(crate) fn pace(&self, now: Time) -> Option<f64> {
        let pace = self.work_pace?;
        (now.since(pace.at) < pace.max_age).then_some(pace.mean)
    }

    /// Number of successive failed reservations while it is ranked behind the others for them;
    /// otherwise 0.
    pub(crate) fn refusals(&self, now: Time) -> u32 {
        if now < self.refusals.until {
            self.refusals.count
        } else {
            0
        }
    }

    /// Requests in progress there, including those of other daemons as far as known.
    pub(crate) fn load(&self, now: Time) -> f64 {
        f64::from(self.in_flight) + self.peer_requests(now)
    }

    /// Requests of other daemons in progress there by its last report, whose weight decreases with
    /// age.
    pub(crate) fn peer_requests(&self, now: Time) -> f64 {
        self.peer_requests.map_or(0.0, |(count, reported_at)| {
            let age = now.since(reported_at).as_secs_f64() / LOAD_AGE.as_secs_f64();
            f64::from(count) * (1.0 - age).max(0.0)
        })
    }

    /// Failure share of the recent sends; decays while nothing is sent.
    pub fn failure_share(&self, now: Time) -> f64 {
        let (share, at) = self.failures;
        share * (-now.since(at).as_secs_f64() / FAILURE_DECAY.as_secs_f64()).exp()
    }
}

/// Hash of all fields of an entry but the number of its writes; equal at every daemon.
fn entry_hash(replica: &Replica) -> u64 {
    let content = Replica {
        writes: 0,
        ..replica.clone()
    };
    rapidhash_v3(format!("{content:?}").as_bytes())
}
