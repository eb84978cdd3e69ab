//! Replicas that do not answer.

use ident::Time;

use crate::pool::Pool;
use crate::server::Key;

/// Part of the replicas that may be silent at once if it is they, and not this daemon, that are cut off.
const MAX_SILENT: f64 = 0.5;

impl Pool {
    /// Hashes of the replicas that have not answered this daemon lately. None if they are many: then it is
    /// this daemon that is cut off.
    pub fn silent_replicas(&self, now: Time) -> Vec<u64> {
        let silent = self.servers.values().filter(|server| server.is_silent(now));
        let silent: Vec<u64> = silent.map(|server| server.hash).collect();
        if silent.len() as f64 > self.servers.len() as f64 * MAX_SILENT {
            return Vec::new();
        }
        silent
    }

    /// Takes from another daemon which replicas do not answer it.
    pub fn apply_silent_report(&mut self, now: Time, silent: &[u64]) {
        for server in self.servers.values_mut() {
            if silent.contains(&server.hash) {
                server.hear_silent(now);
            }
        }
    }

    /// Notes that `key` did not answer a question.
    pub fn record_no_answer(&mut self, now: Time, key: Key) {
        if let Some(server) = self.servers.get_mut(key) {
            server.note_silent(now);
        }
    }
}
