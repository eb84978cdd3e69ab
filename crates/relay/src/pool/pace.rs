//! The paces of replicas.

use ident::Time;

use crate::pace::Pace;
use crate::pool::Pool;
use crate::replica::Stage;
use crate::server::Key;

impl Pool {
    /// Records that `key` takes `seconds` for a token at its stage.
    pub fn record_token_pace(&mut self, now: Time, key: Key, seconds: f64) {
        if let Some(server) = self.servers.get_mut(key) {
            server.token_pace = Some(Pace::new(now, seconds));
        }
    }

    /// Seconds that `key` takes for a token at its stage; `None` if that is not known.
    pub fn token_pace(&self, now: Time, key: Key) -> Option<f64> {
        self.servers.get(key)?.token_pace?.current(now)
    }

    /// Median of the known paces of the replicas of `stage` of `service`.
    pub fn median_token_pace(&self, now: Time, service: &str, stage: Option<Stage>) -> Option<f64> {
        let keys = self.index.group(service, stage);
        let mut paces: Vec<f64> = keys.filter_map(|key| self.token_pace(now, key)).collect();
        let middle = paces.len().checked_sub(1)? / 2;
        let (_, median, _) = paces.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*median)
    }
}
