//! Limits of requests to replicas that are cold or have another limit.

use ident::Time;

use crate::plan::ColdStart;
use crate::pool::Pool;
use crate::server::Key;

impl Pool {
    /// Sets what the replicas of `service` tolerate while they are cold; `None` if they have no
    /// limit then.
    pub fn set_cold_start(&mut self, service: &str, cold_start: Option<ColdStart>) {
        match cold_start {
            Some(cold_start) => self.cold_starts.insert(service.to_owned(), cold_start),
            None => self.cold_starts.remove(service),
        };
    }

    /// Limit of `key` in requests per second, across all daemons: its own, that of a cold replica,
    /// or the lower of both. `None` if it has no limit.
    pub fn request_limit(&self, now: Time, key: Key) -> Option<f64> {
        let server = self.servers.get(key)?;
        let cold_start = self.cold_starts.get(&server.replica.service);
        let cold = cold_start.filter(|_| server.is_cold(now));
        let limits = [
            server.notices.limit,
            cold.map(|cold_start| cold_start.max_rate),
        ];
        limits.into_iter().flatten().min_by(f64::total_cmp)
    }
}
