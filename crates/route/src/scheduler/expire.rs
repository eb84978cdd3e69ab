//! Waiting requests become late, and late ones are given up.

use ident::Handle;
use ident::Time;

use crate::row::Lane;
use crate::scheduler::Scheduler;
use crate::verdict::Reason;

/// Grants in the window without which the drain rate is unknown.
const MIN_GRANTS: f64 = 3.0;
/// The least drain rate that is reckoned with, in requests a second.
const LEAST_RATE: f64 = 1e-6;

impl Scheduler {
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
        let latest = flow.expiry - flow.fastest;
        if now > latest || (self.policy.foresight && is_hopeless(now, lane, latest)) {
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
///
/// They are served at the rate of late requests while others wait, and at the whole rate else. With
/// hardly a grant in the window nothing is known, and the request may wait.
fn is_hopeless(now: Time, lane: &Lane, latest: Time) -> bool {
    let queued = lane.queue.late_len();
    if queued == 0 || lane.grants.decayed(now) < MIN_GRANTS {
        return false;
    }
    let contended = lane.queue.len() > queued + 1;
    let meter = if contended {
        &lane.late_grants
    } else {
        &lane.grants
    };
    let wait = queued as f64 / meter.rate(now).max(LEAST_RATE);
    wait > latest.since(now).as_secs_f64()
}
