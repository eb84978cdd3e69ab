//! How long plain calls take at replicas that report how fast they work at the moment.
//!
//! A replica queues calls beyond its slots. With a full queue all of its answers are late, although it
//! works as fast as ever; with a short one those that it takes are in time.

use std::time::Duration;

use ident::Time;

use crate::pool::Pool;
use crate::server::Key;
use crate::server::Server;

/// Least weight of the newest answer in the mean time of the calls of a service; the first ones have
/// equal weights.
const MEAN_WEIGHT: f64 = 0.05;

impl Pool {
    /// Whether replicas of the service of `key` report how fast they work.
    pub fn reports_speed(&self, key: Key) -> bool {
        let calls = self.servers.get(key);
        let calls = calls.and_then(|server| self.calls.get(&server.replica.service));
        calls.is_some_and(|calls| calls.has_reports)
    }

    /// Records that a call took `took` at `key`, which had `load` other requests when it was sent.
    pub fn record_call(&mut self, now: Time, key: Key, took: Duration, load: f64) {
        let Some(server) = self.servers.get(key) else {
            return;
        };
        let factor = queue_factor(server, load) * server.slowdown(now).unwrap_or(1.0);
        let seconds = took.as_secs_f64() / factor;
        let calls = self.calls.entry(server.replica.service.clone());
        let calls = calls.or_default();
        calls.measured += 1;
        let weight = (1.0 / calls.measured as f64).max(MEAN_WEIGHT);
        calls.mean += weight * (seconds - calls.mean);
    }

    /// Requests at `key`, as far as known.
    pub fn load(&self, now: Time, key: Key) -> f64 {
        let server = self.servers.get(key);
        server.map_or(0.0, |server| server.load(now))
    }

    /// Expected time to the answer of a call that has to wait for a slot of `key`. `None` if a slot is
    /// free, or no call was measured.
    pub fn queued_call_time(&self, now: Time, key: Key) -> Option<Duration> {
        let server = self.servers.get(key)?;
        let calls = self.calls.get(&server.replica.service)?;
        let factor = queue_factor(server, server.load(now));
        if factor <= 1.0 || calls.measured == 0 {
            return None;
        }
        let slowdown = server.slowdown(now).unwrap_or(1.0);
        Duration::try_from_secs_f64(calls.mean * factor * slowdown).ok()
    }
}

/// Time of a call at `server` with `load` other requests, as a multiple of one that does not wait.
fn queue_factor(server: &Server, load: f64) -> f64 {
    let slots = f64::from(server.replica.slots.max(1));
    ((load + 1.0) / slots).max(1.0)
}
