//! Memory forecasts of the replicas that have runs.

use ident::Time;

use crate::claims::Claims;
use crate::claims::PeerUsage;
use crate::pool::Pool;
use crate::runs::Runs;
use crate::server::Key;

impl Pool {
    /// Updates the memory forecast of `key` from this daemon's `runs` and the `claims` of others.
    pub fn update_forecast(&mut self, now: Time, key: Key, runs: &Runs, claims: &Claims) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.reset_forecast(claims.peer_usage(now, server.hash));
        for (id, entry) in runs.iter().filter(|(_, entry)| entry.server == key) {
            server.add_run(&runs.curve(now, id), entry.is_prefilling());
        }
        if !std::mem::replace(&mut server.has_forecast, true) {
            self.with_forecast.push(key);
        }
    }

    /// Updates the memory forecasts and the pending prefills of all replicas that have any.
    pub fn update_all_forecasts(&mut self, now: Time, runs: &Runs, claims: &Claims) {
        self.update_pending_prefills(now, claims);
        let outdated = std::mem::take(&mut self.with_forecast);
        self.note_examined(outdated.len());
        for key in outdated {
            if let Some(server) = self.servers.get_mut(key) {
                server.reset_forecast(PeerUsage::default());
                server.has_forecast = false;
            }
        }
        for (hash, usage) in claims.all_peer_usage(now) {
            let Some(key) = self.index.by_hash(hash) else {
                continue;
            };
            if let Some(server) = self.servers.get_mut(key) {
                server.reset_forecast(usage);
                server.has_forecast = true;
                self.with_forecast.push(key);
            }
        }
        for (id, entry) in runs.iter() {
            let Some(server) = self.servers.get_mut(entry.server) else {
                continue;
            };
            server.add_run(&runs.curve(now, id), entry.is_prefilling());
            if !std::mem::replace(&mut server.has_forecast, true) {
                self.with_forecast.push(entry.server);
            }
        }
    }
}
