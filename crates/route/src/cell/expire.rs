//! Waiting requests become late, and late ones are given up.

use ident::Handle;
use ident::Time;

use crate::cell::Cell;
use crate::row::Lane;
use crate::verdict::Reason;

impl Cell {
    /// Moves requests that miss their target to the late tier, and refuses doomed ones.
    pub(super) fn expire(&mut self, now: Time) {
        let mut doomed = Vec::new();
        for lane in self.lanes.values_mut() {
            while let Some((order, handle)) = lane.queue.punctual() {
                let Some(flow) = self.flows.get(&handle).filter(|f| now + f.fastest > f.due) else {
                    break;
                };
                if self.policy.foresight && is_hopeless(now, lane, flow.expiry - flow.fastest) {
                    lane.queue.remove(order, flow.expiry, handle);
                    doomed.push(handle);
                    continue;
                }
                lane.queue.demote(order, flow.expiry, handle);
            }
            while let Some((expiry, handle)) = lane.queue.late() {
                if self
                    .flows
                    .get(&handle)
                    .is_none_or(|flow| now + flow.fastest <= expiry)
                {
                    break;
                }
                lane.queue.remove(expiry, expiry, handle);
                doomed.push(handle);
            }
        }
        self.waiting -= doomed.len();
        for handle in doomed {
            self.expel(now, handle, Reason::Doomed);
        }
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
