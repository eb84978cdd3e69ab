//! Moves waiting requests to the late tier and refuses those that cannot start in time.

use ident::Handle;
use ident::Time;

use crate::row::RowState;
use crate::scheduler::Scheduler;
use crate::verdict::Reason;

/// Grants in the window below which the grant rate counts as unknown.
const MIN_GRANTS: f64 = 3.0;
/// Lower bound of the grant rate, in requests per second.
const MIN_RATE: f64 = 1e-6;

impl Scheduler {
    /// Moves requests that miss their target to the late tier and refuses doomed ones.
    pub(super) fn expire(&mut self, now: Time) {
        let mut missing = Vec::new();
        let mut doomed = Vec::new();
        for row_state in self.row_states.values() {
            let late = |handle: &Handle| {
                self.requests
                    .get(handle)
                    .is_some_and(|request| now + request.min_ttft > request.due)
            };
            let expired = |handle: &Handle| {
                self.requests
                    .get(handle)
                    .is_some_and(|request| now + request.min_ttft > request.expiry)
            };
            missing.extend(row_state.queue.on_time().take_while(late));
            doomed.extend(row_state.queue.late().take_while(expired));
        }
        for handle in doomed {
            self.refuse_waiting(now, handle, Reason::Doomed);
        }
        for handle in missing {
            self.demote(now, handle);
        }
    }

    /// Moves a request to the late tier, or refuses it if it could not start from there in time.
    pub(super) fn demote(&mut self, now: Time, handle: Handle) -> bool {
        let Some(request) = self.requests.get_mut(&handle) else {
            return false;
        };
        let Some(row_state) = self.row_states.get_mut(&request.ticket.row) else {
            return false;
        };
        let latest = request.expiry - request.min_ttft;
        if now > latest || (self.policy.refuse_early && would_expire(now, row_state, latest)) {
            self.refuse_waiting(now, handle, Reason::Doomed);
            return true;
        }
        request.late = true;
        row_state
            .queue
            .demote(request.order, request.expiry, handle);
        true
    }

    /// Refuses a waiting request of either tier.
    pub(super) fn refuse_waiting(&mut self, now: Time, handle: Handle, reason: Reason) {
        self.dequeue(now, handle);
        if let Some(request) = self.requests.remove(&handle) {
            self.refuse(
                now,
                handle,
                request.ticket.row,
                reason,
                now.since(request.arrived),
            );
        }
    }
}

/// Whether one more late request of the row would not start by `latest`.
///
/// Late requests are granted at the late rate while others wait, and otherwise at the row's full
/// rate. With too few grants in the window the rate is unknown, and the request may wait.
fn would_expire(now: Time, row_state: &RowState, latest: Time) -> bool {
    let queued = row_state.queue.late_len();
    if queued == 0 || row_state.grants.decayed(now) < MIN_GRANTS {
        return false;
    }
    let contended = row_state.queue.len() > queued + 1;
    let meter = if contended {
        &row_state.late_grants
    } else {
        &row_state.grants
    };
    let wait = queued as f64 / meter.rate(now).max(MIN_RATE);
    wait > latest.since(now).as_secs_f64()
}
