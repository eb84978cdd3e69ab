//! Which services this daemon reaches, from its connections to their replicas.

use ident::Time;

use crate::pool::Pool;
use crate::reach::Change;
use crate::reach::MIN_UNREACHED;
use crate::reach::Reach;
use crate::server::Key;

/// Draws for each replica to probe; a service may have fewer replicas, and one may be drawn twice.
const DRAWS: usize = 4;

impl Pool {
    /// Reachability of the services.
    pub const fn reach(&self) -> &Reach {
        &self.reach
    }

    /// Records that no connection to `key` could be opened.
    pub fn record_unreached(&mut self, now: Time, key: Key) {
        if let Some(server) = self.servers.get(key) {
            let service = &server.replica.service;
            self.reach.record_unreached(now, service, key);
        }
    }

    /// Records that a connection to `key` was opened.
    pub fn record_reached(&mut self, key: Key) {
        if let Some(server) = self.servers.get(key) {
            self.reach.record_reached(&server.replica.service);
        }
    }

    /// Suspects that the service of `key` is unreachable; see [`Reach::doubt`].
    pub fn doubt_reach(&mut self, key: Key) {
        if let Some(server) = self.servers.get(key) {
            self.reach.doubt(&server.replica.service);
        }
    }

    /// Records that `reached` of `probed` replicas of `service` accepted a connection. If it is
    /// reachable again, its replicas no longer count as failing: the path to them did.
    pub fn record_probes(
        &mut self,
        now: Time,
        service: &str,
        reached: usize,
        probed: usize,
    ) -> Option<Change> {
        let unreached: Vec<Key> = self.reach.unreached(service).collect();
        let available = self.index.of_service(service);
        let available = available.filter(|key| self.servers[*key].is_available(now));
        // Counting more would go over all replicas.
        let replicas = available.take(MIN_UNREACHED).count();
        let reach = &mut self.reach;
        let change = reach.record_probes(now, service, reached, probed, replicas);
        if matches!(change, Some(Change::Restored { .. })) {
            self.forget_failures(now, service, &unreached);
        }
        change
    }

    /// Forgets that `unreached`, and the replicas of `service` that did not answer, failed.
    fn forget_failures(&mut self, now: Time, service: &str, unreached: &[Key]) {
        for key in unreached.iter().chain(&self.unresponsive) {
            let server = self.servers.get_mut(*key);
            let server = server.filter(|server| server.replica.service == service);
            if let Some(server) = server {
                server.forget_failures(now);
            }
        }
    }

    /// The replica `id` and its service.
    pub fn find(&self, id: &str) -> Option<(Key, &str)> {
        let key = self.index.by_id(id)?;
        Some((key, &self.servers[key].replica.service))
    }

    /// Up to `count` different random replicas of `service` that can be sent requests. `draw` returns
    /// random numbers uniform in `0.0..1.0`.
    pub fn probe_targets(
        &self,
        now: Time,
        service: &str,
        count: usize,
        draw: impl Fn() -> f64,
    ) -> Vec<Key> {
        let mut targets = Vec::new();
        // Drawing with replacement does not go over all replicas.
        for _ in 0..DRAWS * count {
            let key = self.index.at(service, draw());
            let is_available = |key: &Key| self.servers[*key].is_available(now);
            let key = key.filter(|key| is_available(key) && !targets.contains(key));
            targets.extend(key);
            if targets.len() == count {
                break;
            }
        }
        targets
    }
}
