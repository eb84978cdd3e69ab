//! Waiting requests become late, and late ones are given up.

use ident::Handle;
use ident::Time;

use crate::cell::Cell;
use crate::row::Lane;
use crate::verdict::Reason;

impl Cell {
    /// Moves requests that miss their target to the late tier, and refuses doomed ones.
    pub(super) fn expire(&mut self, now: Time) {
        let mut missing = Vec::new();
        let mut doomed = Vec::new();
        for lane in self.lanes.values() {
            let late = |handle: &Handle| {
                self.flows
                    .get(handle)
                    .is_some_and(|flow| now + flow.fastest > flow.due)
            };
            let over = |handle: &Handle| {
                self.flows
                    .get(handle)
                    .is_some_and(|flow| now + flow.fastest > flow.expiry)
            };
            missing.extend(lane.queue.punctual().take_while(late));
            doomed.extend(lane.queue.late().take_while(over));
        }
        for handle in doomed {
            self.expel(now, handle, Reason::Doomed);
        }
        for handle in missing {
            self.demote(now, handle);
        }
    }

    /// Moves a request to the late tier, or refuses it if it would wait there for nothing.
    pub(super) fn demote(&mut self, now: Time, handle: Handle) -> bool {
        let Some(flow) = self.flows.get_mut(&handle) else {
            return false;
        };
        let Some(lane) = self.lanes.get_mut(&flow.ticket.row) else {
            return false;
        };
        if self.policy.foresight && is_hopeless(now, lane, flow.expiry - flow.fastest) {
            self.expel(now, handle, Reason::Doomed);
            return true;
        }
        flow.late = true;
        lane.queue.demote(flow.order, flow.expiry, handle);
        true
    }

    /// Refuses a request that waited, wherever it waited.
    pub(super) fn expel(&mut self, now: Time, handle: Handle, reason: Reason) {
        self.unqueue(now, handle);
        if let Some(flow) = self.flows.remove(&handle) {
            self.refuse(
                now,
                handle,
                flow.ticket.row,
                reason,
                now.since(flow.arrived),
            );
        }
    }
}

/// Whether the late requests of `lane` take so long that one more will not start by `latest`.
fn is_hopeless(now: Time, lane: &Lane, latest: Time) -> bool {
    let queued = lane.queue.late_len();
    let wait = queued as f64 / lane.late_grants.rate(now).max(1e-6);
    queued > 0 && wait > latest.since(now).as_secs_f64()
}
