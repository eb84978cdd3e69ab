//! Runs periodic work when it is due.

use std::time::Duration;

use ident::Time;

use crate::action::Action;
use crate::node::Node;

/// Interval between two rounds of housekeeping.
const HOUSEKEEPING: Duration = Duration::from_millis(100);
/// Interval between two checks of the keepers of all pools; changes of members and list are
/// handled at once.
const REASSIGN: Duration = Duration::from_secs(1);

impl Node {
    /// Returns the latest time for the next `Event::Tick`.
    pub fn next_wake(&self) -> Time {
        self.timers.earliest().min(self.requests.holds.next_due())
    }

    /// Runs all work that is due.
    pub(crate) fn run_timers(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        if now >= self.timers.fleet {
            self.step_fleet(out);
        }
        if now >= self.timers.housekeeping {
            self.timers.housekeeping = now + HOUSEKEEPING;
            self.housekeeping(out);
        }
        if now >= self.timers.poll {
            self.poll(out);
        }
        if now >= self.timers.status {
            self.send_table_status(out);
        }
        if now >= self.timers.inspect {
            self.inspect(out);
        }
        if now >= self.timers.audit {
            self.audit(out);
        }
        if now >= self.timers.record {
            self.write_outcomes(out);
        }
        if now >= self.timers.schedulers {
            self.run_schedulers(out);
        }
        self.run_releases(out);
    }

    fn due_reassign(&mut self) -> bool {
        let due = self.now >= self.timers.reassign;
        if due {
            self.timers.reassign = self.now + REASSIGN;
        }
        due
    }

    fn housekeeping(&mut self, out: &mut Vec<Action>) {
        self.requests.keys.expire(self.unix_s());
        if self.due_reassign() {
            self.reassign(out);
        }
        self.resubmit(out);
        self.abort_stalled_orders(out);
        self.retry_attach(out);
        self.end_abandoned(out);
        self.expire_lookups(out);
        self.expire_edits(out);
        self.try_finish(out);
    }
}
