//! Further attempts after a lost or refused order.

use std::time::Duration;

use ident::Replica;
use ledger::stage::Stage;
use route::phase::Phase;
use route::ticket::MAX_AVOID;

use crate::action::Action;
use crate::action::Count;
use crate::action::Reason;
use crate::decision::Step;
use crate::event::Failure;
use crate::node::Node;
use crate::open::OpenId;
use crate::refusals::DEFAULT_RETRY_AFTER;

/// Maximum number of attempts at a request, including the first.
const MAX_ATTEMPTS: u8 = 4;

impl Node {
    /// Requests another decode replica after one did not accept the request, because the prefill
    /// result may still be available.
    pub(crate) fn request_other_decode(&mut self, open_id: OpenId, out: &mut Vec<Action>) {
        let entry = &mut self.requests.open[open_id];
        entry.enter(Stage::Prefill, out);
        entry.order = None;
        entry.times.submitted = self.now;
        let hold = entry.decode_hold.take();
        let label = entry.label();
        self.release_hold(hold, out);
        self.log(
            &label,
            Step::Retry,
            "another decode replica",
            "no slot or not reached",
            out,
        );
        self.report_phase(open_id, Phase::Rejected, out);
    }

    /// Retries a request after `failure`, or ends it.
    pub(crate) fn retry(&mut self, open_id: OpenId, failure: Failure, out: &mut Vec<Action>) {
        let entry = &self.requests.open[open_id];
        let spent = entry.ticket.attempt + 1 >= MAX_ATTEMPTS;
        let may_repeat = entry.repeatable || !entry.may_have_reached();
        match () {
            () if !may_repeat => self.give_up(open_id, Reason::Backend, Duration::ZERO, out),
            () if spent || entry.body_call.is_none() => {
                self.give_up(open_id, Reason::Backend, DEFAULT_RETRY_AFTER, out);
            }
            () => self.start_attempt(open_id, failure, out),
        }
    }

    fn start_attempt(&mut self, open_id: OpenId, failure: Failure, out: &mut Vec<Action>) {
        self.count_wasted(open_id, out);
        self.report_phase(open_id, Phase::Gone, out);
        let fresh = self.new_handle();
        let entry = &mut self.requests.open[open_id];
        let former = entry.ticket.handle;
        let label = entry.label();
        let failed = entry.placement.map(|placement| match entry.stage {
            Stage::Prefill => placement.prefill.unwrap_or(placement.serving),
            _ => placement.serving,
        });
        entry.ticket.handle = fresh;
        entry.ticket.attempt += 1;
        if entry.ticket.avoid.len() >= MAX_AVOID {
            entry.ticket.avoid.remove(0);
        }
        entry.ticket.avoid.extend(failed);
        continue_from(&mut entry.ticket.work, entry.reassembler.delivered());
        entry.enter(Stage::Waiting, out);
        entry.placement = None;
        entry.phase = None;
        entry.order = None;
        entry.head_sent = false;
        entry.queued_at = self.now;
        entry.attach_failures = 0;
        entry.reattach_at = None;
        entry.reassembler.reset();
        let holds = [entry.prefill_hold.take(), entry.decode_hold.take()];
        for hold in holds {
            self.release_hold(hold, out);
        }
        self.requests.by_handle.remove(&former);
        self.requests.by_handle.insert(fresh, open_id);
        let reason = format!("{failure:?} at {}", self.replica_name_or_none(failed));
        self.log(
            &label,
            Step::Retry,
            &format!("attempt {fresh}"),
            &reason,
            out,
        );
        out.push(Action::Count(Count::Retried));
        self.submit(open_id, out);
    }

    fn replica_name_or_none(&self, replica: Option<Replica>) -> String {
        replica.map_or_else(
            || "no replica".to_owned(),
            |replica| self.replica_name(replica),
        )
    }
}

/// Changes the work of a ticket to its continuation after `delivered` tokens.
pub(crate) fn continue_from(work: &mut route::ticket::Work, delivered: u32) {
    if let route::ticket::Work::Model {
        prompt_tokens,
        done_tokens,
        ..
    } = work
    {
        *prompt_tokens = prompt_tokens.saturating_sub(*done_tokens) + delivered;
        *done_tokens = delivered;
    }
}
