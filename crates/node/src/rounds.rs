//! Carries out what is due.

use std::time::Duration;

use ident::Time;

use crate::action::Action;
use crate::node::Node;

/// Time between two housekeeping rounds.
const HOUSEKEEPING: Duration = Duration::from_millis(100);
/// Time between two looks at the keepers of all pools; changes of members and list look at once.
const REASSIGN: Duration = Duration::from_secs(1);

impl Node {
    /// When `Event::Tick` is wanted at the latest.
    pub fn wake(&self) -> Time {
        self.timers.first().min(self.requests.holds.next_due())
    }

    /// Carries out all that is due.
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
        if now >= self.timers.news {
            self.tell_news(out);
        }
        if now >= self.timers.inspect {
            self.inspect(out);
        }
        if now >= self.timers.audit {
            self.audit(out);
        }
        if now >= self.timers.record {
            self.record(out);
        }
        if now >= self.timers.cells {
            self.step_cells(out);
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
        self.break_stalls(out);
        self.attach_again(out);
        self.give_up_left(out);
        self.expire_questions(out);
        self.expire_edits(out);
        self.try_finish(out);
    }
}
