//! Measures the paces of replicas, and exchanges them with other daemons.

use std::time::Duration;

use ident::Time;
use relay::pace::meter::StreamMeter;
use relay::pace::report::MAX_REPORTS;
use relay::pace::report::Merge;
use relay::pace::report::PaceReport;
use relay::server::Key;

use crate::shared::Shared;

/// Interval between log lines about what cannot be used.
const LOG_INTERVAL: Duration = Duration::from_mins(1);

impl Shared {
    /// Records that this daemon runs, which a frozen one does not; called by the housekeeping.
    pub fn note_running(&self) {
        let now = self.clock.now();
        self.paces.standstill.borrow_mut().tick(now);
        self.paces.freeze.borrow_mut().tick(now);
    }

    /// Records that `key` said that work takes `slowdown` times as long as usual there. From then on,
    /// the paces of its service are measured and announced.
    pub fn note_slowdown(&self, key: Key, slowdown: f64) {
        let now = self.clock.now();
        let mut pool = self.pool.borrow_mut();
        if !pool.record_slowdown(now, key, slowdown) {
            return;
        }
        let service = pool.get(key).map_or("", |server| &server.replica.service);
        log::info!(kind = "speed", service = service; "replicas of a service report how fast they work");
    }

    /// Records that `key` prefilled a prompt of `tokens` since `begun`, with `queued` tokens known
    /// to be queued before.
    pub fn measure_prefill(&self, key: Key, begun: Time, queued: u64, tokens: u64) {
        let now = self.clock.now();
        let stood_still = self.paces.standstill.borrow().occurred_since(now, begun);
        if queued > 0 || stood_still || !self.pool.borrow().reports_speed(key) {
            return;
        }
        let took = now.since(begun);
        let pace = self
            .pool
            .borrow_mut()
            .measure_prefill(now, key, took, tokens);
        self.note_measured(now, key, pace);
    }

    /// Records that events with `tokens` of one stream arrived from `key`.
    pub fn measure_decode(&self, key: Key, meter: &mut StreamMeter, tokens: u64) {
        if !self.pool.borrow().reports_speed(key) {
            return;
        }
        let now = self.clock.now();
        let measured = meter.record(now, tokens, &self.paces.standstill.borrow());
        let Some((took, tokens)) = measured else {
            return;
        };
        let pace = self
            .pool
            .borrow_mut()
            .measure_decode(now, key, took, tokens);
        self.note_measured(now, key, pace);
    }

    /// Whether the pace of `key` is known.
    pub fn knows_pace(&self, key: Key) -> bool {
        let pool = self.pool.borrow();
        pool.token_pace(self.clock.now(), key).is_some()
    }

    /// Whether this process stood still just before `now`, so that runs look slow which are not.
    pub fn stood_still(&self, now: Time) -> bool {
        self.paces.standstill.borrow().occurred_since(now, now)
    }

    fn note_measured(&self, now: Time, key: Key, pace: Option<f64>) {
        if let Some(pace) = pace {
            self.paces.publisher.borrow_mut().note_measured(key);
            self.log_pace(now, key, pace, "own");
        }
    }

    /// Paces to announce with the datagram that is being sent.
    pub fn due_paces(&self) -> Vec<PaceReport> {
        let now = self.clock.now();
        let mut pool = self.pool.borrow_mut();
        self.paces.publisher.borrow_mut().due(now, &mut pool)
    }

    /// Applies paces that a peer announced, except in a datagram that may have waited while the
    /// process was frozen: they are older than they seem.
    pub fn merge_paces(&self, reports: &[PaceReport]) {
        let now = self.clock.now();
        if self.paces.freeze.borrow().occurred_since(now, now) {
            return;
        }
        for report in reports.iter().take(MAX_REPORTS) {
            let merged = self.pool.borrow_mut().merge_pace(now, report);
            match merged {
                Merge::Taken => self.log_peer_pace(now, report),
                Merge::Invalid => self.log_unusable_pace("a pace is not positive"),
                Merge::Outdated | Merge::Unknown | Merge::OtherStage => {}
            }
        }
        self.metrics.pace_reports("received", reports.len());
    }

    fn log_peer_pace(&self, now: Time, report: &PaceReport) {
        let key = self.pool.borrow().key_of(report.replica);
        let is_first = |key: &Key| !self.paces.log_filter.borrow().is_known(*key);
        let Some(key) = key.filter(is_first) else {
            return;
        };
        let pace = self.pool.borrow().token_pace(now, key);
        if let Some(pace) = pace {
            self.log_pace(now, key, pace, "peer");
        }
    }

    /// Logs that what follows a datagram, or a pace in it, cannot be used, once a minute.
    pub fn log_unusable_pace(&self, cause: &str) {
        let now = self.clock.now();
        let logged = self.paces.logged_unusable.get();
        if logged.is_some_and(|at| now.since(at) < LOG_INTERVAL) {
            return;
        }
        self.paces.logged_unusable.set(Some(now));
        log::warn!(kind = "gossip", cause = cause; "announced paces cannot be used");
    }

    /// Logs the pace of `key` if it was unknown or differs from the last logged one.
    fn log_pace(&self, now: Time, key: Key, pace: f64, source: &str) {
        if !self.paces.log_filter.borrow_mut().is_due(now, key, pace) {
            return;
        }
        let pool = self.pool.borrow();
        let Some(server) = pool.get(key) else { return };
        let replica = &server.replica;
        let stage = replica.stage.map(|stage| format!("{stage:?}"));
        log::info!(kind = "pace", replica = replica.id, stage = stage.unwrap_or_default(), us_per_token = pace * 1e6, source = source, runs = server.known_runs(); "the pace of a replica is known or has changed");
    }
}
