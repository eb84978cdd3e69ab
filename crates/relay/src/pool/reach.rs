//! Which services this daemon reaches, from its connections to their replicas.

use ident::Time;

use crate::pool::Pool;
use crate::reach::Change;
use crate::reach::Reach;
use crate::server::Key;

/// Replicas probed at once to find out whether their service is reachable.
const MAX_PROBED: usize = 3;
/// Draws for them; a service may have fewer replicas, and one may be drawn twice.
const MAX_DRAWS: usize = 12;

impl Pool {
    /// Reachability of the services.
    pub const fn reach(&self) -> &Reach {
        &self.reach
    }

    /// Records that no connection to `key` could be opened.
    pub fn record_unreached(&mut self, now: Time, key: Key) -> Option<Change> {
        let service = &self.servers.get(key)?.replica.service;
        let replicas = self.index.count(service);
        self.reach.record_unreached(now, service, key, replicas)
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
        let change = self.reach.record_probes(now, service, reached, probed);
        if change.is_some() {
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

    /// Up to [`MAX_PROBED`] random replicas of `service` other than `except`. `draw` returns random
    /// numbers uniform in `0.0..1.0`.
    pub fn probe_targets(
        &self,
        service: &str,
        except: Option<Key>,
        draw: impl Fn() -> f64,
    ) -> Vec<Key> {
        let mut targets = Vec::new();
        // Drawing with replacement does not go over all replicas.
        for _ in 0..MAX_DRAWS {
            let key = self.index.at(service, draw());
            let key = key.filter(|key| !targets.contains(key) && except != Some(*key));
            targets.extend(key);
            if targets.len() == MAX_PROBED {
                break;
            }
        }
        targets
    }
}
