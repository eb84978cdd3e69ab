//! Failures of stream readers, and attach orders that read a stream again.

use std::time::Duration;

use ledger::backoff;
use ledger::reassembly::Reassembler;
use route::phase::Phase;

use crate::action::Action;
use crate::action::Outcome;
use crate::action::Reason;
use crate::action::Task;
use crate::event::Failure;
use crate::http_status;
use crate::node::Node;
use crate::open::End;
use crate::open::OpenId;
use crate::open::OpenRequest;
use crate::open::Withheld;
use crate::state::OrderPurpose;
use crate::takeovers::TAKEOVER_STEP;

/// Consecutive failures of attach orders after which a stream is considered lost.
const MAX_ATTACH_FAILURES: u32 = 3;

impl Node {
    /// Handles the failure of a decode or attach order.
    pub(crate) fn handle_decode_failure(
        &mut self,
        open_id: OpenId,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let entry = &mut self.requests.open[open_id];
        if let (Some(withheld), Some(order)) = (&mut entry.withheld, entry.order) {
            return withheld.push(Withheld::End(order, failure));
        }
        let started = !matches!(entry.phase, Some(Phase::Prefilled { .. }));
        match failure {
            Failure::NotSent
            | Failure::Refused {
                status: http_status::TOO_MANY,
                ..
            } if !started => {
                self.request_other_decode(open_id, out);
            }
            _ if !started => self.retry(open_id, failure, out),
            Failure::Refused {
                status: http_status::CONFLICT,
                fence: Some(fence),
            } if has_clock_skew(entry, fence) => {
                entry.attach_failures += 1;
                entry.fence = entry.fence.max(fence);
                let offset = entry.reassembler.delivered();
                self.attach(open_id, offset, out);
            }
            Failure::Refused {
                status: http_status::CONFLICT,
                fence: Some(_),
            } => {
                self.end(open_id, &End::Superseded, out);
            }
            Failure::Refused {
                status: http_status::NOT_FOUND | http_status::CONFLICT,
                ..
            } => {
                self.handle_lost_stream(open_id, failure, out);
            }
            // Without a caller no reader is needed here: the caller may read elsewhere.
            _ if entry.call.is_none() => entry.order = None,
            _ if entry.attach_failures < MAX_ATTACH_FAILURES => {
                entry.order = None;
                entry.reattach_at = Some(now + backoff::pause(entry.attach_failures));
                entry.attach_failures += 1;
            }
            _ => self.handle_lost_stream(open_id, failure, out),
        }
    }

    /// Sends the attach orders that are due after a failure.
    pub(crate) fn retry_attach(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let due = self
            .requests
            .open_where(|entry| entry.reattach_at.is_some_and(|at| now >= at));
        for open_id in due {
            let offset = self.requests.open[open_id].reassembler.delivered();
            self.attach(open_id, offset, out);
        }
    }

    /// Handles a stream that cannot be read any more: another replica continues it if the prompt is
    /// available here.
    pub(crate) fn handle_lost_stream(
        &mut self,
        open_id: OpenId,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        let adopted = self.requests.open[open_id].body_call.is_none();
        match failure {
            _ if !adopted => self.retry(open_id, failure, out),
            Failure::Refused { .. } => {
                self.give_up(open_id, Reason::StreamLost, Duration::ZERO, out);
            }
            Failure::NotSent | Failure::Lost => {
                self.refuse_unreachable_stream(open_id, failure, out);
            }
        }
    }

    /// Refuses an adopted stream whose engine is unreachable from here; other instances may reach
    /// it.
    fn refuse_unreachable_stream(
        &mut self,
        open_id: OpenId,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        let hold = self.requests.open[open_id].decode_hold;
        if let Some(hold) = hold.filter(|_| failure == Failure::NotSent) {
            self.requests.holds.erase(hold);
        }
        let refusal = self.refusal_elsewhere(Outcome::Unknown, Reason::StreamLost);
        self.end(open_id, &End::Refused(refusal), out);
    }

    /// Reads the rest of a stream again whose tokens have a gap; after several times without
    /// progress it is lost.
    pub(crate) fn read_again(&mut self, open_id: OpenId, out: &mut Vec<Action>) {
        let entry = &mut self.requests.open[open_id];
        if entry.attach_failures < MAX_ATTACH_FAILURES {
            entry.attach_failures += 1;
            let offset = entry.reassembler.delivered();
            return self.attach(open_id, offset, out);
        }
        entry.record_order_end(false);
        if let Some(order) = entry.order.take() {
            out.push(Action::Abort { order });
        }
        self.handle_lost_stream(open_id, Failure::Lost, out);
    }

    /// Reads the stream of a request from `offset` in place of its present reader.
    pub(crate) fn attach(&mut self, open_id: OpenId, offset: u32, out: &mut Vec<Action>) {
        let order = self.new_order(OrderPurpose::Decode(open_id));
        let owner = self.incarnation();
        let entry = &mut self.requests.open[open_id];
        let Some(placement) = entry.placement else {
            return;
        };
        if let Some(former) = entry.order.replace(order) {
            out.push(Action::Abort { order: former });
        }
        entry.fence += 1;
        entry.reattach_at = None;
        entry.record_order_sent(self.now);
        let (handle, fence) = (entry.handle(), entry.fence);
        entry.reassembler = Reassembler::new(offset);
        entry.withheld = None;
        match entry.decode_hold {
            Some(hold) => self.requests.holds.restart(hold, order, owner, fence),
            None => {
                let hold =
                    self.requests
                        .holds
                        .insert(placement.serving, handle, owner, fence, order);
                self.requests.open[open_id].decode_hold = Some(hold);
            }
        }
        let task = Task::Attach { offset };
        out.push(Action::Order {
            order,
            replica: placement.serving,
            handle,
            owner,
            fence,
            task,
        });
    }
}

/// Returns whether an adoption was rejected because of clock skew: the fence of a reader that took
/// over a moment later would be closer.
fn has_clock_skew(entry: &OpenRequest, fence: u64) -> bool {
    let adopting = entry.body_call.is_none();
    adopting && entry.attach_failures < MAX_ATTACH_FAILURES && fence > entry.fence + TAKEOVER_STEP
}
