//! Excludes the replicas of evacuated data centres.

use std::collections::BTreeSet;
use std::time::Duration;

use ident::Time;
use ident::Zone;

use crate::pool::Pool;

impl Pool {
    /// Sets the evacuated data centres, whose replicas get no requests. Replicas whose evacuation
    /// ends count as cold for as long as replicas of their service stay cold: their entries in the
    /// list may not show it yet.
    pub fn set_evacuated(&mut self, now: Time, evacuated: BTreeSet<Zone>) {
        for server in self.servers.values_mut() {
            let is_evacuated = evacuated.contains(&server.replica.data_centre);
            if server.evacuated && !is_evacuated {
                let cold_start = self.cold_starts.get(&server.replica.service);
                let duration = cold_start.map_or(Duration::ZERO, |cold_start| cold_start.duration);
                server.assumed_cold_until = now + duration;
            }
            server.evacuated = is_evacuated;
        }
        self.evacuated = evacuated;
    }
}
