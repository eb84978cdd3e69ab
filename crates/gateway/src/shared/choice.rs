//! Choosing replicas, and what is learnt of them.

use std::time::Duration;

use ident::Zone;
use relay::admission::MemoryDemand;
use relay::plan::Route;
use relay::replica::Stage;
use relay::score::Criteria;
use relay::server::Key;

use crate::shared::Shared;

/// Time of a decode replica for an answer until one was seen: some hundred tokens of 8 ms.
const ANSWER_LENGTH: Duration = Duration::from_secs(3);
/// Times the mean answer after which callers that were refused may come back: the least, and the most.
const COME_BACK_FROM: f64 = 0.75;
const COME_BACK_TO: f64 = 1.25;
/// Weight of the newest answer in the mean.
const LENGTH_STEP: f64 = 0.1;

impl Shared {
    /// The replica to send a request to; `None` if there is none that was not tried.
    pub fn choose(&self, service: &str, stage: Option<Stage>, tried: &[Key]) -> Option<Key> {
        self.choose_near(service, stage, tried, self.near)
    }

    /// The same, preferring replicas of `data_centre`.
    pub fn choose_near(
        &self,
        service: &str,
        stage: Option<Stage>,
        tried: &[Key],
        data_centre: Zone,
    ) -> Option<Key> {
        let want = Criteria {
            service,
            stage,
            tried,
            data_centre,
            demand: None,
        };
        let pool = self.pool.borrow();
        pool.choose(self.clock.now(), &want, rand::random)
    }

    /// The decode replica to send a generation to, which asks for so much memory; `None` if none that
    /// was not tried has room.
    pub fn choose_room(&self, service: &str, tried: &[Key], ask: MemoryDemand) -> Option<Key> {
        let want = Criteria {
            service,
            stage: Some(Stage::Decode),
            tried,
            data_centre: self.near,
            demand: Some(ask),
        };
        let pool = self.pool.borrow();
        pool.choose(self.clock.now(), &want, rand::random)
    }

    /// Records the request limit in an answer of `key`, and logs a change.
    pub fn note_limit(&self, key: Key, limit: Option<f64>) {
        let mut pool = self.pool.borrow_mut();
        if !pool.set_limit(key, limit) {
            return;
        }
        let replica = pool.get(key).map_or("", |server| &server.replica.id);
        let rate = limit.map_or("none".to_owned(), |rate| rate.to_string());
        log::info!(kind = "limit", replica = replica, rate = rate; "replica request limit changed");
    }

    /// Whether `key` has a request limit.
    pub fn is_limited(&self, key: Key) -> bool {
        let pool = self.pool.borrow();
        pool.get(key).is_some_and(|server| server.limit.is_some())
    }

    /// Time until the first throttled replica of `service` may be chosen again; `None` if none is throttled.
    pub fn throttle_remaining(&self, service: &str) -> Option<Duration> {
        let pool = self.pool.borrow();
        pool.throttle_remaining(self.clock.now(), service)
    }

    /// The data centre of `key`; this daemon's own if the replica is gone.
    pub fn data_centre_of(&self, key: Key) -> Zone {
        let pool = self.pool.borrow();
        pool.get(key)
            .map_or(self.near, |server| server.replica.data_centre)
    }

    /// Whether the decode replica `key` may read a prompt itself.
    pub fn may_read(&self, key: Key) -> bool {
        self.pool.borrow().may_prefill(key)
    }

    /// Part of the prompts that decode replicas are to read, since `key` is slow or fails.
    pub fn own_reads(&self, key: Key, tokens: u64, objective: Duration) -> f64 {
        let pool = self.pool.borrow();
        pool.decode_prefill_share(self.clock.now(), key, tokens, objective)
    }

    /// Time until a prompt of `tokens` of `service` is read at the replica that is best for it; `None` if
    /// that is not known.
    pub fn read_time(&self, service: &str, tokens: u64) -> Option<Duration> {
        let key = self.choose(service, Some(Stage::Prefill), &[])?;
        let pool = self.pool.borrow();
        pool.estimate_prefill_time(self.clock.now(), key, tokens)
    }

    /// Notes that `key` took `took` to read `tokens`, those that waited before them included.
    pub fn note_read(&self, key: Key, took: Duration, tokens: u64) {
        let now = self.clock.now();
        self.pool
            .borrow_mut()
            .record_prefill(now, key, took, tokens);
    }

    /// Notes that `key` took `took` for `units` of work.
    pub fn note_pace(&self, key: Key, took: Duration, units: f64) {
        let now = self.clock.now();
        self.pool.borrow_mut().record_work(now, key, took, units);
    }

    /// Notes how long a decode replica was at work on an answer of `service`.
    pub fn note_answer(&self, service: &str, took: Duration) {
        let mut lengths = self.lengths.borrow_mut();
        let mean = lengths.entry(service.to_owned()).or_insert(ANSWER_LENGTH);
        *mean = mean.mul_f64(1.0 - LENGTH_STEP) + took.mul_f64(LENGTH_STEP);
    }

    /// When a caller of `service` may come back that found no room: about when the answers that
    /// are being made have ended, spread so that callers do not come back together.
    pub fn come_back(&self, service: &str) -> Duration {
        let mean = self.answer_length(service);
        mean.mul_f64(rand::random_range(COME_BACK_FROM..COME_BACK_TO))
    }

    /// Mean time of a decode replica for an answer of `service`.
    pub fn answer_length(&self, service: &str) -> Duration {
        let lengths = self.lengths.borrow();
        lengths.get(service).copied().unwrap_or(ANSWER_LENGTH)
    }

    /// Whether a caller with this limit seems to have been refused before: its limit is shorter than that
    /// of others by the time after which it was told to come back.
    pub fn has_returned(&self, route: &Route, service: &str, limit: Option<Duration>) -> bool {
        let Some(limit) = limit.filter(|_| route.mode.streams()) else {
            return false;
        };
        let mut patiences = self.patiences.borrow_mut();
        let patience = patiences.entry(route.name.clone()).or_default();
        let least = self.answer_length(service).mul_f64(COME_BACK_FROM);
        patience.estimate_waited(limit) >= least.max(route.objective)
    }

    /// Notes that `key` did not answer a question, and has the other daemons told.
    pub fn note_silent(&self, key: Key) {
        self.pool
            .borrow_mut()
            .record_no_answer(self.clock.now(), key);
        self.runs_changed.notify_one();
    }

    /// Closes the idle connections to `key`, which had no answer in time.
    pub fn forget_links(&self, key: Key) {
        let address = self.pool.borrow().get(key).map(|s| s.replica.address);
        if let Some(address) = address {
            self.connections.close_idle(address);
        }
    }
}
