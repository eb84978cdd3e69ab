//! Choosing replicas, and recording what their answers show.

use std::time::Duration;

use ident::Zone;
use relay::admission::MemoryDemand;
use relay::answer::Answer;
use relay::plan::Route;
use relay::pool::Pool;
use relay::replica::Notice;
use relay::replica::Stage;
use relay::score::Criteria;
use relay::score::Version;
use relay::server::Key;
use relay::server::Server;

use crate::shared::Shared;

/// Assumed time of a decode replica for an answer before the first one: some hundred tokens of 8
/// ms.
const DEFAULT_ANSWER_TIME: Duration = Duration::from_secs(3);
/// Range of the factors by which the mean answer time is multiplied for the retry time of refused
/// callers.
const MIN_RETRY_FACTOR: f64 = 0.75;
const MAX_RETRY_FACTOR: f64 = 1.25;
/// Weight of the newest answer in the moving average.
const ANSWER_TIME_WEIGHT: f64 = 0.1;

/// Where a request may be served.
#[derive(Debug, Clone, Copy)]
pub struct Destination<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Data centres; `None` if it may be served anywhere.
    pub homes: Option<&'a [Zone]>,
    /// Software versions that may serve it.
    pub software: Version<'a>,
}

impl Shared {
    /// Chooses the replica to send a request to; `None` if no untried one is available.
    pub fn choose(&self, to: Destination<'_>, stage: Option<Stage>, tried: &[Key]) -> Option<Key> {
        let criteria = self.criteria(to, stage, tried);
        let pool = self.pool.borrow();
        pool.choose(self.clock.now(), &criteria, rand::random)
    }

    /// Whether a replica of `stage` other than `tried` may be chosen, with room or without.
    pub fn has_candidate(&self, to: Destination<'_>, stage: Option<Stage>, tried: &[Key]) -> bool {
        let criteria = self.criteria(to, stage, tried);
        let pool = self.pool.borrow();
        pool.has_candidate(self.clock.now(), &criteria)
    }

    /// Chooses the prefill replica for a prompt of `tokens`, preferably one of `data_centre`.
    pub fn choose_prefill(
        &self,
        to: Destination<'_>,
        tried: &[Key],
        data_centre: Zone,
        tokens: u64,
    ) -> Option<Key> {
        self.update_pending_prefills();
        let criteria = Criteria {
            data_centre,
            prompt_tokens: tokens,
            ..self.criteria(to, Some(Stage::Prefill), tried)
        };
        let pool = self.pool.borrow();
        pool.choose(self.clock.now(), &criteria, rand::random)
    }

    /// Criteria of a request from this data centre.
    const fn criteria<'a>(
        &self,
        to: Destination<'a>,
        stage: Option<Stage>,
        tried: &'a [Key],
    ) -> Criteria<'a> {
        Criteria {
            service: to.service,
            stage,
            tried,
            homes: to.homes,
            software: to.software,
            reserved: &[],
            data_centre: self.data_centre,
            demand: None,
            answer: None,
            prompt_tokens: 0,
        }
    }

    /// Updates the pending prefills of other daemons before they are needed. Peers report far more
    /// often than this daemon chooses a prefill replica.
    fn update_pending_prefills(&self) {
        if self.pending_prefills_outdated.replace(false) {
            let claims = self.claims.borrow();
            let mut pool = self.pool.borrow_mut();
            pool.update_pending_prefills(self.clock.now(), &claims);
        }
    }

    /// Chooses the decode replica for `answer` of a generation that needs the memory `demand`, of no
    /// version in `reserved`; `None` if no untried one has room.
    pub fn choose_decode(
        &self,
        to: Destination<'_>,
        reserved: &[String],
        tried: &[Key],
        demand: MemoryDemand,
        answer: Option<&Answer>,
    ) -> Option<Key> {
        let criteria = Criteria {
            reserved,
            demand: Some(demand),
            answer,
            ..self.criteria(to, Some(Stage::Decode), tried)
        };
        let pool = self.pool.borrow();
        pool.choose(self.clock.now(), &criteria, rand::random)
    }

    /// Records the request limit in an answer of `key`, and logs a change.
    pub fn note_limit(&self, key: Key, limit: Option<f64>) {
        let mut pool = self.pool.borrow_mut();
        if !pool.set_limit(key, limit) {
            return;
        }
        let replica = listed_id(&pool, key);
        let rate = limit.map_or("none".to_owned(), |rate| rate.to_string());
        log::info!(kind = "limit", replica = replica, rate = rate; "replica request limit changed");
    }

    /// Applies what `key` said of its availability in an answer.
    pub fn apply_notice(&self, key: Key, notice: Notice) {
        let now = self.clock.now();
        if notice.is_draining {
            self.metrics.notice("draining");
            let change = self.pool.borrow_mut().note_draining(now, key);
            self.log_changes("answer", change.as_slice());
        }
        if let Some(retry_after) = notice.retry_after {
            self.metrics.notice("retry-after");
            let mut pool = self.pool.borrow_mut();
            if !pool.back_off(now, key, retry_after) {
                return;
            }
            let replica = listed_id(&pool, key);
            log::info!(kind = "backoff", replica = replica, ms = retry_after.as_millis() as u64; "a replica asks for no requests for a time");
        }
    }

    /// Why nothing may be sent to `key` at present; `None` if something may.
    pub fn withheld_cause(&self, key: Key) -> Option<&'static str> {
        let pool = self.pool.borrow();
        pool.get(key)?.withheld_cause(self.clock.now())
    }

    /// Whether new work may be assigned to `key`.
    pub fn accepts_work(&self, key: Key) -> bool {
        let pool = self.pool.borrow();
        let server = pool.get(key);
        server.is_some_and(|server| server.accepts_work(self.clock.now()))
    }

    /// Whether `key` is draining, by the list or by its own answers.
    pub fn is_draining(&self, key: Key) -> bool {
        let pool = self.pool.borrow();
        pool.get(key).is_some_and(Server::is_draining)
    }

    /// Whether `key` asked for no requests for a time that has not ended.
    pub fn backs_off(&self, key: Key) -> bool {
        let pool = self.pool.borrow();
        let server = pool.get(key);
        server.is_some_and(|server| server.backs_off(self.clock.now()))
    }

    /// Whether `key` has a request limit.
    pub fn is_limited(&self, key: Key) -> bool {
        let pool = self.pool.borrow();
        pool.request_limit(self.clock.now(), key).is_some()
    }

    /// Time until a replica of `stage` may be chosen again, if all available ones are throttled or
    /// asked for no requests, or if one of the required version is changing to that stage; otherwise
    /// `None`.
    pub fn exclusion_remaining(
        &self,
        to: Destination<'_>,
        stage: Option<Stage>,
    ) -> Option<Duration> {
        let now = self.clock.now();
        let criteria = self.criteria(to, stage, &[]);
        let excluded = self.pool.borrow().exclusion_remaining(now, &criteria);
        excluded.or_else(|| {
            let software = match to.software {
                Version::Exactly(software) if stage == Some(Stage::Decode) => software,
                _ => return None,
            };
            let services = self.version_stages.borrow();
            let mut by_homes = services.get(to.service)?.iter();
            let (_, stages) = by_homes.find(|(homes, _)| homes.data_centres() == to.homes)?;
            stages.change_remaining(now, software)
        })
    }

    /// The data centre of `key`; this daemon's own if the replica is gone.
    pub fn data_centre_of(&self, key: Key) -> Zone {
        let pool = self.pool.borrow();
        pool.get(key)
            .map_or(self.data_centre, |server| server.replica.data_centre)
    }

    /// Software version of `key`; `None` if it is unknown or the replica is gone.
    pub fn software_of(&self, key: Key) -> Option<String> {
        let pool = self.pool.borrow();
        pool.get(key)?.replica.software.clone()
    }

    /// Whether the list shows when `key` started.
    pub fn reports_birth(&self, key: Key) -> bool {
        let pool = self.pool.borrow();
        pool.get(key)
            .is_some_and(|server| server.replica.birth.is_some())
    }

    /// Whether the decode replica `key` may run a prefill itself, beside streams of `service` that
    /// may pause for up to `longest` between two events.
    pub fn may_prefill(&self, key: Key, service: &str, longest: Option<Duration>) -> bool {
        let plan = self.plan();
        let service = plan.as_ref().and_then(|plan| plan.services.get(service));
        let engine = service.and_then(|service| service.engine);
        let event_tokens = engine.map_or(0, |engine| engine.event_tokens);
        let pool = self.pool.borrow();
        pool.may_prefill(self.clock.now(), key, event_tokens, longest)
    }

    /// Fraction of the prompts that decode replicas have to prefill because the prefill replica
    /// `key` is slow or fails.
    pub fn decode_prefill_share(&self, key: Key, tokens: u64, objective: Duration) -> f64 {
        let pool = self.pool.borrow();
        pool.decode_prefill_share(self.clock.now(), key, tokens, objective)
    }

    /// Time until a prompt of `tokens` is prefilled at the best replica; `None` if that is not
    /// known.
    pub fn estimate_prefill_time(&self, to: Destination<'_>, tokens: u64) -> Option<Duration> {
        let key = self.choose_prefill(to, &[], self.data_centre, tokens)?;
        let pool = self.pool.borrow();
        pool.estimate_prefill_time(self.clock.now(), key, tokens)
    }

    /// Records that `key` took `took` to prefill `tokens`, including those queued ahead.
    pub fn record_prefill(&self, key: Key, took: Duration, tokens: u64) {
        let now = self.clock.now();
        self.pool
            .borrow_mut()
            .record_prefill(now, key, took, tokens);
    }

    /// Records that `key` took `took` for `units` of work.
    pub fn record_work(&self, key: Key, took: Duration, units: f64) {
        let now = self.clock.now();
        self.pool.borrow_mut().record_work(now, key, took, units);
    }

    /// Records how long a decode replica worked on an answer of `service`.
    pub fn note_answer(&self, service: &str, took: Duration) {
        let mut times = self.answer_times.borrow_mut();
        let mean = times
            .entry(service.to_owned())
            .or_insert(DEFAULT_ANSWER_TIME);
        *mean = mean.mul_f64(1.0 - ANSWER_TIME_WEIGHT) + took.mul_f64(ANSWER_TIME_WEIGHT);
    }

    /// Time after which a caller of `service` that found no room may retry: about when the answers
    /// in progress have ended, randomized so that callers do not retry together.
    pub fn retry_after(&self, service: &str) -> Duration {
        let mean = self.answer_time(service);
        mean.mul_f64(rand::random_range(MIN_RETRY_FACTOR..MAX_RETRY_FACTOR))
    }

    /// Mean time that a decode replica takes for an answer of `service`.
    pub fn answer_time(&self, service: &str) -> Duration {
        let times = self.answer_times.borrow();
        times.get(service).copied().unwrap_or(DEFAULT_ANSWER_TIME)
    }

    /// Whether a caller with this time limit was probably refused before: its limit is shorter than
    /// that of others by at least the time after which refused callers retry.
    pub fn was_refused_before(
        &self,
        route: &Route,
        service: &str,
        limit: Option<Duration>,
    ) -> bool {
        let Some(limit) = limit.filter(|_| route.mode.streams()) else {
            return false;
        };
        let mut timeouts = self.caller_timeouts.borrow_mut();
        let timeout = timeouts.entry(route.name.clone()).or_default();
        let least = self.answer_time(service).mul_f64(MIN_RETRY_FACTOR);
        timeout.estimate_waited(limit) >= least.max(route.objective)
    }

    /// Records that `key` did not answer a control call, and triggers a report to the other
    /// daemons.
    pub fn note_unresponsive(&self, key: Key) {
        self.pool
            .borrow_mut()
            .record_no_answer(self.clock.now(), key);
        self.runs_changed.notify_one();
    }

    /// Closes the idle connections to `key`, which did not answer in time.
    pub fn close_idle_links(&self, key: Key) {
        let address = self.pool.borrow().get(key).map(|s| s.replica.address);
        if let Some(address) = address {
            self.connections.close_idle(address);
        }
    }
}

/// Id of the replica that has or had `key`; empty if it is not listed.
fn listed_id(pool: &Pool, key: Key) -> &str {
    let server = pool.current_key(key).and_then(|key| pool.get(key));
    server.map_or("", |server| &server.replica.id)
}
