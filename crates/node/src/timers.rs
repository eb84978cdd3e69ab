//! Work that is due at points in time.

use std::time::Duration;

use ident::Time;

use crate::action::Action;
use crate::node::Node;

/// Time between two housekeeping rounds.
const HOUSEKEEPING: Duration = Duration::from_millis(100);

/// Time between two looks at the keepers of all pools; changes of members and list look at once.
const REASSIGN: Duration = Duration::from_secs(1);

/// When each kind of work is due next.
#[derive(Debug)]
pub(crate) struct Timers {
    pub(crate) fleet: Time,
    pub(crate) cells: Time,
    pub(crate) inspect: Time,
    pub(crate) audit: Time,
    pub(crate) poll: Time,
    pub(crate) news: Time,
    pub(crate) record: Time,
    pub(crate) housekeeping: Time,
    pub(crate) reassign: Time,
}

impl Timers {
    /// Everything is due at once.
    pub(crate) const fn new(now: Time) -> Self {
        Self {
            fleet: now,
            cells: now,
            inspect: now,
            audit: now,
            poll: now,
            news: now,
            record: now,
            housekeeping: now,
            reassign: now,
        }
    }

    fn first(&self) -> Time {
        self.fleet
            .min(self.cells)
            .min(self.inspect)
            .min(self.audit)
            .min(self.poll)
            .min(self.news)
            .min(self.record)
            .min(self.housekeeping)
    }
}

impl Node {
    /// When `Event::Tick` is wanted at the latest.
    pub fn wake(&self) -> Time {
        self.timers.first().min(self.holds.next())
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
        self.keys.expire(self.unix_s());
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
