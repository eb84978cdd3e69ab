//! Reading a stream again after its reader was lost.

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
use crate::open::Open;
use crate::open::OpenKey;
use crate::open::Withheld;
use crate::state::Purpose;
use crate::takeovers::TAKEOVER_STEP;

/// Attach orders that may fail in a row before the stream counts as lost.
const MAX_ATTACH_TRIES: u32 = 3;

impl Node {
    /// A decode or attach order failed.
    pub(crate) fn decode_failed(
        &mut self,
        opened: OpenKey,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let entry = &mut self.requests.open[opened];
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
                self.ask_other_decode(opened, out);
            }
            _ if !started => self.retry(opened, failure, out),
            Failure::Refused {
                status: http_status::CONFLICT,
                fence: Some(fence),
            } if is_skewed(entry, fence) => {
                entry.attach_tries += 1;
                entry.fence = entry.fence.max(fence);
                let offset = entry.sequence.delivered();
                self.attach(opened, offset, out);
            }
            Failure::Refused {
                status: http_status::CONFLICT,
                fence: Some(_),
            } => {
                self.end(opened, &End::Superseded, out);
            }
            Failure::Refused {
                status: http_status::NOT_FOUND | http_status::CONFLICT,
                ..
            } => {
                self.stream_lost(opened, failure, out);
            }
            // The caller may read elsewhere by now: nobody here needs another reader.
            _ if entry.call.is_none() => entry.order = None,
            _ if entry.attach_tries < MAX_ATTACH_TRIES => {
                entry.order = None;
                entry.attach_at = Some(now + backoff::pause(entry.attach_tries));
                entry.attach_tries += 1;
            }
            _ => self.stream_lost(opened, failure, out),
        }
    }

    /// Reads streams again whose last reading failed a while ago.
    pub(crate) fn attach_again(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let due = self
            .requests
            .open_where(|entry| entry.attach_at.is_some_and(|at| now >= at));
        for opened in due {
            let offset = self.requests.open[opened].sequence.delivered();
            self.attach(opened, offset, out);
        }
    }

    /// The stream cannot be read any more: it is continued elsewhere if its prompt is at hand.
    pub(crate) fn stream_lost(&mut self, opened: OpenKey, failure: Failure, out: &mut Vec<Action>) {
        let adopted = self.requests.open[opened].origin.is_none();
        match failure {
            _ if !adopted => self.retry(opened, failure, out),
            Failure::Refused { .. } => {
                self.give_up(opened, Reason::StreamLost, Duration::ZERO, out);
            }
            Failure::NotSent | Failure::Lost => self.leave_to_others(opened, failure, out),
        }
    }

    /// The engine of an adopted stream is out of reach from here; others may still read it.
    fn leave_to_others(&mut self, opened: OpenKey, failure: Failure, out: &mut Vec<Action>) {
        let hold = self.requests.open[opened].decode_hold;
        if let Some(hold) = hold.filter(|_| failure == Failure::NotSent) {
            self.requests.holds.erase(hold);
        }
        let refusal = self.refusal_elsewhere(Outcome::Unknown, Reason::StreamLost);
        self.end(opened, &End::Refused(refusal), out);
    }

    /// Reads the stream of `opened` from `offset` in place of the present reader.
    pub(crate) fn attach(&mut self, opened: OpenKey, offset: u32, out: &mut Vec<Action>) {
        let order = self.order(Purpose::Decode(opened));
        let owner = self.incarnation();
        let entry = &mut self.requests.open[opened];
        let Some(place) = entry.place else {
            return;
        };
        if let Some(former) = entry.order.replace(order) {
            out.push(Action::Abort { order: former });
        }
        entry.fence += 1;
        entry.attach_at = None;
        entry.dispatch(self.now);
        let (handle, fence) = (entry.handle(), entry.fence);
        entry.sequence = Reassembler::new(offset);
        entry.withheld = None;
        match entry.decode_hold {
            Some(hold) => self.requests.holds.restart(hold, order, owner, fence),
            None => {
                let hold = self
                    .requests
                    .holds
                    .insert(place.run, handle, owner, fence, order);
                self.requests.open[opened].decode_hold = Some(hold);
            }
        }
        let task = Task::Attach { offset };
        out.push(Action::Order {
            order,
            replica: place.run,
            handle,
            owner,
            fence,
            task,
        });
    }
}

/// Whether a takeover was refused for a fence so far ahead that clocks differ: a reader that came
/// later by a moment lies closer.
fn is_skewed(entry: &Open, fence: u64) -> bool {
    let adopting = entry.origin.is_none();
    adopting && entry.attach_tries < MAX_ATTACH_TRIES && fence > entry.fence + TAKEOVER_STEP
}
