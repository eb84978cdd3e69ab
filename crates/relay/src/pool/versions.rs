//! Which software versions serve.

use std::time::Duration;

use ident::Time;

use crate::pool::Pool;

impl Pool {
    /// The only software version that served `service` throughout the last `period`. `None` if there
    /// were several, or if this daemon cannot exclude it: it has not followed the list for so long.
    pub fn only_version(&self, now: Time, service: &str, period: Duration) -> Option<&str> {
        let followed = self
            .outdated_at
            .is_some_and(|since| now.since(since) >= period);
        if !followed || self.is_outdated(now) {
            return None;
        }
        self.versions.only(now, service, period)
    }

    /// Whether a replica of `service` that is not draining has the software version `software`.
    pub fn serves_version(&self, service: &str, software: &str) -> bool {
        self.versions.serves(service, software)
    }
}
