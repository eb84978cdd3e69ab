//! Another try after a lost or refused order.

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
use crate::open::OpenKey;
use crate::refusals::SOON;

/// Attempts at one request, the first included.
const MAX_ATTEMPTS: u8 = 4;

impl Node {
    /// A decode replica did not take the request: its prefill result may still be kept, so another
    /// decode replica is asked for.
    pub(crate) fn ask_other_decode(&mut self, opened: OpenKey, out: &mut Vec<Action>) {
        let entry = &mut self.requests.open[opened];
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
        self.advance(opened, Phase::Rejected, out);
    }

    /// Tries a request again after `failure`, or ends it.
    pub(crate) fn retry(&mut self, opened: OpenKey, failure: Failure, out: &mut Vec<Action>) {
        let entry = &self.requests.open[opened];
        let spent = entry.ticket.attempt + 1 >= MAX_ATTEMPTS;
        let may_repeat = entry.repeatable || !entry.is_touched();
        match () {
            () if !may_repeat => self.give_up(opened, Reason::Backend, Duration::ZERO, out),
            () if spent || entry.origin.is_none() => {
                self.give_up(opened, Reason::Backend, SOON, out);
            }
            () => self.try_again(opened, failure, out),
        }
    }

    fn try_again(&mut self, opened: OpenKey, failure: Failure, out: &mut Vec<Action>) {
        self.waste(opened, out);
        self.advance(opened, Phase::Gone, out);
        let fresh = self.fresh_handle();
        let entry = &mut self.requests.open[opened];
        let former = entry.ticket.handle;
        let label = entry.label();
        let failed = entry.place.map(|place| match entry.stage {
            Stage::Prefill => place.prefill.unwrap_or(place.run),
            _ => place.run,
        });
        entry.ticket.handle = fresh;
        entry.ticket.attempt += 1;
        if entry.ticket.avoid.len() >= MAX_AVOID {
            entry.ticket.avoid.remove(0);
        }
        entry.ticket.avoid.extend(failed);
        continue_from(&mut entry.ticket.work, entry.sequence.delivered());
        entry.enter(Stage::Waiting, out);
        entry.place = None;
        entry.phase = None;
        entry.order = None;
        entry.headed = false;
        entry.queued = self.now;
        entry.attach_tries = 0;
        entry.attach_at = None;
        entry.sequence.reset();
        let holds = [entry.prefill_hold.take(), entry.decode_hold.take()];
        for hold in holds {
            self.release_hold(hold, out);
        }
        self.requests.by_handle.remove(&former);
        self.requests.by_handle.insert(fresh, opened);
        let reason = format!("{failure:?} at {}", self.named(failed));
        self.log(
            &label,
            Step::Retry,
            &format!("attempt {fresh}"),
            &reason,
            out,
        );
        out.push(Action::Count(Count::Retried));
        self.submit(opened, out);
    }

    fn named(&self, replica: Option<Replica>) -> String {
        replica.map_or_else(
            || "no replica".to_owned(),
            |replica| self.replica_name(replica),
        )
    }
}

/// Turns the work of a ticket into the continuation after `delivered` tokens.
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
