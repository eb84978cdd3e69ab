//! Which services this daemon reaches.

use relay::reach::Change;
use relay::server::Key;

use crate::shared::Shared;

impl Shared {
    /// Records that a connection to `key` was opened.
    pub fn note_reached(&self, key: Key) {
        self.pool.borrow_mut().record_reached(key);
    }

    /// Records that no connection to `key` could be opened, and has its service probed.
    pub fn note_unreached(&self, key: Key) {
        let now = self.clock.now();
        let mut pool = self.pool.borrow_mut();
        pool.record_unreached(now, key);
        drop(pool);
        self.reach_doubted.notify_one();
    }

    /// Has the service of `key` probed, which was silent for too long.
    pub fn doubt_reach(&self, key: Key) {
        self.pool.borrow_mut().doubt_reach(key);
        self.reach_doubted.notify_one();
    }

    /// Records that `reached` of `probed` replicas of `service` accepted a connection.
    pub fn note_reach_probes(&self, service: &str, reached: usize, probed: usize) {
        let now = self.clock.now();
        let mut pool = self.pool.borrow_mut();
        let change = pool.record_probes(now, service, reached, probed);
        drop(pool);
        if let Some(change) = change {
            log_reach(service, change);
        }
    }

    /// Whether this daemon cannot connect to the replicas of `service`.
    pub fn is_unreachable(&self, service: &str) -> bool {
        self.pool.borrow().reach().is_lost(service)
    }
}

fn log_reach(service: &str, change: Change) {
    match change {
        Change::Lost { unreached, since } => {
            log::warn!(kind = "reach", service = service, reachable = false, unreached = unreached as u64, ms = since.as_millis() as u64; "no connection to the replicas of a service can be opened");
        }
        Change::Restored { after } => {
            log::warn!(kind = "reach", service = service, reachable = true, ms = after.as_millis() as u64; "the replicas of a service accept connections again");
        }
    }
}
