//! Releases memory on replicas.

use ledger::holds::HoldKey;
use ledger::ids::OrderId;

use crate::action::Action;
use crate::action::Task;
use crate::decision::Step;
use crate::event::Failure;
use crate::http_status;
use crate::node::Node;
use crate::state::OrderPurpose;

impl Node {
    /// Starts the release of a hold after aborting the order that created it.
    pub(crate) fn release_hold(&mut self, hold: Option<HoldKey>, out: &mut Vec<Action>) {
        let now = self.now;
        let start = hold.and_then(|hold| self.requests.holds.release(now, hold));
        out.extend(start.map(|order| Action::Abort { order }));
    }

    /// Sends the releases that are due.
    pub(crate) fn run_releases(&mut self, out: &mut Vec<Action>) {
        while let Some(cancel) = self.requests.holds.due(self.now) {
            let order = self.new_order(OrderPurpose::Cancel);
            self.requests.holds.sent(cancel.hold, order);
            let handle = cancel.handle;
            let replica = self.replica_name(cancel.replica);
            self.log(
                &handle.to_string(),
                Step::Release,
                &replica,
                "no longer wanted",
                out,
            );
            out.push(Action::Order {
                order,
                replica: cancel.replica,
                handle,
                owner: cancel.owner,
                fence: cancel.fence,
                task: Task::Cancel,
            });
        }
    }

    pub(crate) fn release_confirmed(&mut self, order: OrderId, _out: &mut Vec<Action>) {
        self.requests.holds.confirmed(order);
    }

    pub(crate) fn release_failed(&mut self, order: OrderId, failure: Failure) {
        match failure {
            Failure::Refused {
                status: http_status::CONFLICT,
                ..
            } => self.requests.holds.superseded(order),
            _ => self.requests.holds.failed(self.now, order),
        }
    }
}
