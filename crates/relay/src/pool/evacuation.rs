//! Excludes the replicas of evacuated data centres.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use ident::Time;
use ident::Zone;

use crate::plan::ColdStart;
use crate::pool::Pool;
use crate::replica::Replica;

impl Pool {
    /// Sets the evacuated data centres, whose replicas get no requests. Replicas whose evacuation
    /// ends count as cold for as long as replicas of their service stay cold: their entries in the
    /// list may not show it yet.
    pub fn set_evacuated(&mut self, now: Time, evacuated: BTreeSet<Zone>) {
        for zone in self.evacuated.difference(&evacuated) {
            self.evacuation_ends.insert(*zone, now);
        }
        self.evacuated = evacuated;
        for server in self.servers.values_mut() {
            let zone = &server.replica.data_centre;
            server.evacuated = self.evacuated.contains(zone);
            server.assumed_cold_until =
                cold_until(&self.evacuation_ends, &self.cold_starts, &server.replica);
        }
    }

    /// Until when `replica`, which is about to be listed, counts as cold.
    pub(super) fn assumed_cold_until(&self, replica: &Replica) -> Time {
        cold_until(&self.evacuation_ends, &self.cold_starts, replica)
    }
}

/// Until when `replica` counts as cold after the last evacuation of its data centre.
fn cold_until(
    evacuation_ends: &BTreeMap<Zone, Time>,
    cold_starts: &HashMap<String, ColdStart>,
    replica: &Replica,
) -> Time {
    let ended_at = evacuation_ends.get(&replica.data_centre);
    let cold_start = cold_starts.get(&replica.service);
    match (ended_at, cold_start) {
        (Some(ended_at), Some(cold_start)) => *ended_at + cold_start.duration,
        _ => Time::ZERO,
    }
}
