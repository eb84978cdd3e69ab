//! Tracks replicas that do not answer.

use ident::Time;

use crate::pool::Pool;
use crate::server::Key;

/// Maximum fraction of silent replicas. If more are silent, this daemon is cut off, not they.
const MAX_SILENT: f64 = 0.5;

impl Pool {
    /// Hashes of the replicas that have not answered this daemon lately, without those of services
    /// that this daemon may not reach; empty if there are so many that this daemon must be cut off.
    pub fn silent_replicas(&self, now: Time) -> Vec<u64> {
        let servers = self.unresponsive.iter();
        let servers = servers.filter_map(|key| self.servers.get(*key));
        let reached = servers.filter(|server| !self.reach.is_doubtful(&server.replica.service));
        let silent = reached.filter(|server| server.is_silent(now));
        let silent: Vec<u64> = silent.map(|server| server.hash).collect();
        if silent.len() as f64 > self.servers.len() as f64 * MAX_SILENT {
            return Vec::new();
        }
        silent
    }

    /// Applies the report of another daemon on replicas that do not answer it.
    pub fn apply_silent_report(&mut self, now: Time, silent: &[u64]) {
        for hash in silent {
            let key = self.index.by_hash(*hash);
            if let Some(server) = key.and_then(|key| self.servers.get_mut(key)) {
                server.apply_silent_report(now);
            }
        }
    }

    /// Records that `key` did not answer.
    pub fn record_no_answer(&mut self, now: Time, key: Key) {
        let servers = &self.servers;
        let is_silent = |key: &Key| servers.get(*key).is_some_and(|s| s.is_silent(now));
        self.unresponsive.retain(is_silent);
        if let Some(server) = self.servers.get_mut(key) {
            server.record_no_answer(now);
            self.unresponsive.insert(key);
        }
    }
}
