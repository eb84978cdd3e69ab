//! Attempts: from the keeper's placement to the replica's answer.

use std::time::Duration;

use bytes::Bytes;
use ident::Instance;
use ident::Replica;
use ledger::ids::Order;
use ledger::keys::Mark;
use ledger::stage::Stage;
use route::cell::Hold;
use route::phase::Phase;
use route::ticket::MAX_AVOID;
use route::verdict::Choice;
use route::verdict::Verdict;
use route::verdict::Why;
use wire::Body;

use crate::action::Action;
use crate::action::Count;
use crate::action::Outcome;
use crate::action::Reason;
use crate::action::Task;
use crate::action::Tell;
use crate::decision::Step;
use crate::event::Failure;
use crate::event::Reply;
use crate::node::Node;
use crate::node::Purpose;
use crate::open::End;
use crate::open::OpenKey;
use crate::open::Place;
use crate::refusals::SOON;

/// Pause after which an unanswered submission is sent again.
const RESUBMIT: Duration = Duration::from_millis(400);
/// How long a prefill result is worth another decode replica.
const RESULT_LIFE: Duration = Duration::from_millis(800);
const HTTP_GONE: u16 = 410;
/// Attempts at one request, the first included.
const MAX_ATTEMPTS: u8 = 4;

impl Node {
    /// Asks the keeper of its pool to place a waiting request.
    pub(crate) fn submit(&mut self, opened: OpenKey, out: &mut Vec<Action>) {
        let now = self.now;
        let entry = &mut self.open[opened];
        entry.times.submitted = now;
        entry.ticket.waited = now.since(entry.times.arrived);
        let ticket = Box::new(entry.ticket.clone());
        let pool = entry.pool;
        self.send(self.keeper_of(pool), Body::Submit(ticket), out);
    }

    /// Sends unanswered submissions again; a keeper answers the same ticket the same way.
    pub(crate) fn resubmit(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let due: Vec<OpenKey> = self
            .open
            .iter()
            .filter(|(_, entry)| entry.stage == Stage::Waiting)
            .filter(|(_, entry)| now >= entry.times.submitted + RESUBMIT)
            .map(|(opened, _)| opened)
            .collect();
        for opened in due {
            let entry = &self.open[opened];
            if now >= entry.queued + entry.patience {
                self.give_up(opened, Reason::NoReplica, SOON, out);
            } else {
                self.submit(opened, out);
            }
        }
        let expired: Vec<OpenKey> = self
            .open
            .iter()
            .filter(|(_, entry)| entry.stage == Stage::Prefill && entry.order.is_none())
            .filter(|(_, entry)| now >= entry.times.submitted + RESULT_LIFE)
            .map(|(opened, _)| opened)
            .collect();
        for opened in expired {
            self.retry(
                opened,
                Failure::Refused {
                    status: HTTP_GONE,
                    fence: None,
                },
                out,
            );
        }
    }

    /// Tells the keeper how an attempt goes on.
    pub(crate) fn advance(&mut self, opened: OpenKey, phase: Phase, out: &mut Vec<Action>) {
        let entry = &mut self.open[opened];
        entry.phase = Some(phase);
        let (pool, handle) = (entry.pool, entry.handle());
        self.send(self.keeper_of(pool), Body::Advance { handle, phase }, out);
    }

    /// What a new keeper is told of a placed request.
    pub(crate) fn hold_of(&self, opened: OpenKey) -> Option<Hold> {
        let entry = &self.open[opened];
        let place = entry.place?;
        Some(Hold {
            ticket: entry.ticket.clone(),
            prefill: place.prefill,
            decode: place.run,
            phase: entry.phase,
        })
    }

    /// The keeper decided about one of this daemon's attempts.
    pub(crate) fn decided(&mut self, from: Instance, verdict: Verdict, out: &mut Vec<Action>) {
        let handle = verdict.handle;
        let Some(opened) = self.by_handle.get(&handle).copied() else {
            return self.send(
                from,
                Body::Advance {
                    handle,
                    phase: Phase::Gone,
                },
                out,
            );
        };
        let entry = &self.open[opened];
        let (stage, place) = (entry.stage, entry.place);
        match verdict.choice {
            _ if !self.may_decide() => (),
            Choice::Refused {
                reason,
                retry_after,
            } if stage == Stage::Waiting => {
                self.give_up(opened, reason.into(), retry_after, out);
            }
            Choice::Paired { prefill, decode } if stage == Stage::Waiting => {
                self.log_place(opened, prefill, Some(decode), &verdict.why, out);
                self.start_prefill(
                    opened,
                    Place {
                        prefill: Some(prefill),
                        run: decode,
                    },
                    out,
                );
            }
            Choice::Paired { prefill, decode } if is_moved(stage, place, prefill, decode) => {
                self.log_place(opened, prefill, Some(decode), &verdict.why, out);
                self.open[opened].place = Some(Place {
                    prefill: Some(prefill),
                    run: decode,
                });
                self.start_decode(opened, prefill, decode, out);
            }
            Choice::Single { replica } if stage == Stage::Waiting => {
                self.log_place(opened, replica, None, &verdict.why, out);
                self.start_plain(opened, replica, out);
            }
            _ => (),
        }
    }

    fn log_place(
        &self,
        opened: OpenKey,
        first: Replica,
        second: Option<Replica>,
        why: &Why,
        out: &mut Vec<Action>,
    ) {
        let first = self.replica_name(first);
        let second = second.map(|replica| format!(" -> {}", self.replica_name(replica)));
        let choice = format!("{first}{}", second.unwrap_or_default());
        let alternatives = format!("{} candidates, {} queued", why.candidates, why.queued);
        let reason = format!(
            "waited {} ms, first token expected {} ms after arrival, {} blocks cached",
            why.waited.as_millis(),
            why.ttft.as_millis(),
            why.cached_blocks,
        );
        let label = self.open[opened].label();
        self.log_with(&label, Step::Place, &choice, &alternatives, &reason, out);
    }

    fn start_prefill(&mut self, opened: OpenKey, place: Place, out: &mut Vec<Action>) {
        let Some(prefill) = place.prefill else {
            return;
        };
        let order = self.order(Purpose::Prefill(opened));
        let owner = self.incarnation();
        let entry = &mut self.open[opened];
        let route::ticket::Work::Model {
            prompt_tokens,
            max_tokens,
            blocks,
            done_tokens,
        } = entry.ticket.work.clone()
        else {
            return;
        };
        let (Some(call), handle, fence) = (entry.origin, entry.handle(), entry.fence) else {
            return;
        };
        entry.place = Some(place);
        entry.order = Some(order);
        entry.dispatch(self.now);
        entry.enter(Stage::Prefill, out);
        let priority = entry.priority;
        entry.prefill_hold = Some(self.holds.take(prefill, handle, owner, fence, order));
        let task = Task::Prefill {
            call,
            prompt_tokens,
            max_tokens,
            done_tokens,
            priority,
            blocks,
        };
        out.push(Action::Order {
            order,
            replica: prefill,
            handle,
            owner,
            fence,
            task,
        });
    }

    fn start_decode(
        &mut self,
        opened: OpenKey,
        source: Replica,
        replica: Replica,
        out: &mut Vec<Action>,
    ) {
        let order = self.order(Purpose::Decode(opened));
        let owner = self.incarnation();
        let entry = &mut self.open[opened];
        let (handle, fence) = (entry.handle(), entry.fence);
        let max_tokens = match entry.ticket.work {
            route::ticket::Work::Model { max_tokens, .. } => max_tokens,
            route::ticket::Work::Plain => 0,
        };
        let offset = entry.sequence.delivered();
        let priority = entry.priority;
        entry.order = Some(order);
        entry.dispatch(self.now);
        entry.enter(Stage::Decode, out);
        entry.decode_hold = Some(self.holds.take(replica, handle, owner, fence, order));
        let task = Task::Decode {
            source,
            max_tokens,
            offset,
            priority,
        };
        out.push(Action::Order {
            order,
            replica,
            handle,
            owner,
            fence,
            task,
        });
        self.tell_head(opened, out);
    }

    fn start_plain(&mut self, opened: OpenKey, replica: Replica, out: &mut Vec<Action>) {
        let order = self.order(Purpose::Plain(opened));
        let owner = self.incarnation();
        let entry = &mut self.open[opened];
        let Some(call) = entry.origin else {
            return;
        };
        let (handle, fence) = (entry.handle(), entry.fence);
        entry.place = Some(Place {
            prefill: None,
            run: replica,
        });
        entry.order = Some(order);
        entry.enter(Stage::Call, out);
        entry.dispatch(self.now);
        let task = Task::Plain { call };
        out.push(Action::Order {
            order,
            replica,
            handle,
            owner,
            fence,
            task,
        });
    }

    pub(crate) fn answered(&mut self, order: Order, reply: Reply, out: &mut Vec<Action>) {
        let purpose = self.orders.remove(&order);
        self.holds.closed(order);
        match (purpose, reply) {
            (Some(Purpose::Cancel), _) => self.release_confirmed(order, out),
            (
                Some(Purpose::Prefill(opened)),
                Reply::Prefilled {
                    computed, cached, ..
                },
            ) => {
                out.push(Action::Count(Count::Prefilled(computed)));
                if self.is_current(opened, order) {
                    self.prefilled(opened, computed, cached, out);
                } else {
                    out.push(Action::Count(Count::Wasted(computed)));
                }
            }
            (Some(Purpose::Decode(opened)), Reply::StreamEnded)
                if self.is_current(opened, order) =>
            {
                self.decode_failed(opened, Failure::Lost, out);
            }
            (Some(Purpose::Plain(opened)), Reply::Plain { status, body })
                if self.is_current(opened, order) =>
            {
                self.open[opened].landed(false);
                self.end(opened, &End::Answered { status, body }, out);
            }
            _ => (),
        }
    }

    pub(crate) fn failed(&mut self, order: Order, failure: Failure, out: &mut Vec<Action>) {
        let purpose = self.orders.remove(&order);
        self.holds.closed(order);
        match purpose {
            Some(Purpose::Cancel) => self.release_failed(order, failure),
            Some(Purpose::Prefill(opened) | Purpose::Plain(opened))
                if self.is_current(opened, order) =>
            {
                self.touch(opened, failure);
                self.retry(opened, failure, out);
            }
            Some(Purpose::Decode(opened)) if self.is_current(opened, order) => {
                self.touch(opened, failure);
                self.decode_failed(opened, failure, out);
            }
            _ => (),
        }
    }

    /// Whether `order` carries the present work of an open request.
    pub(crate) fn is_current(&self, opened: OpenKey, order: Order) -> bool {
        self.open
            .get(opened)
            .is_some_and(|entry| entry.order == Some(order))
    }

    fn touch(&mut self, opened: OpenKey, failure: Failure) {
        self.open[opened].landed(failure == Failure::NotSent);
    }

    fn prefilled(&mut self, opened: OpenKey, computed: u32, cached: u32, out: &mut Vec<Action>) {
        let entry = &mut self.open[opened];
        entry.landed(false);
        entry.computed = computed;
        let Some(Place {
            prefill: Some(prefill),
            run,
        }) = entry.place
        else {
            return;
        };
        self.advance(opened, Phase::Prefilled { computed, cached }, out);
        self.start_decode(opened, prefill, run, out);
    }

    /// A decode replica did not take the request: its prefill result may still be kept, so another
    /// decode replica is asked for.
    pub(crate) fn ask_other_decode(&mut self, opened: OpenKey, out: &mut Vec<Action>) {
        let entry = &mut self.open[opened];
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
        let entry = &self.open[opened];
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
        let entry = &mut self.open[opened];
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
        self.by_handle.remove(&former);
        self.by_handle.insert(fresh, opened);
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

    /// Ends a request without an answer, with the outcome that is true for it.
    pub(crate) fn give_up(
        &mut self,
        opened: OpenKey,
        reason: Reason,
        after: Duration,
        out: &mut Vec<Action>,
    ) {
        let entry = &self.open[opened];
        let elsewhere = entry.is_keyed() && entry.repeatable && !self.may_decide();
        let outcome = match () {
            () if elsewhere => Outcome::Unknown,
            () if !entry.is_touched() => Outcome::NotRun,
            () if entry.repeatable => Outcome::Failed,
            () => Outcome::Unknown,
        };
        let refusal = Self::refusal(outcome, reason, after);
        self.end(opened, &End::Refused(refusal), out);
    }

    /// Counts the prefill work of an attempt that comes to nothing.
    pub(crate) fn waste(&mut self, opened: OpenKey, out: &mut Vec<Action>) {
        let computed = std::mem::take(&mut self.open[opened].computed);
        if computed > 0 {
            out.push(Action::Count(Count::Wasted(computed)));
        }
    }

    /// Ends a request: tells its caller and all who asked, remembers its key, releases its holds.
    pub(crate) fn end(&mut self, opened: OpenKey, end: &End, out: &mut Vec<Action>) {
        let superseded = matches!(end, End::Superseded);
        match end {
            End::Streamed { tokens } => {
                self.advance(opened, Phase::Finished { tokens: *tokens }, out);
            }
            End::Answered { .. } => self.advance(opened, Phase::Finished { tokens: 0 }, out),
            End::Refused(_) => self.advance(opened, Phase::Gone, out),
            End::Superseded => (),
        }
        if !matches!(end, End::Streamed { .. }) {
            self.waste(opened, out);
        }
        self.remember_end(opened, end);
        self.tell_askers(opened, end, out);
        self.tell_end(opened, end, out);
        let Some(entry) = self.open.remove(opened) else {
            return;
        };
        self.by_handle.remove(&entry.ticket.handle);
        if let Some(call) = entry.call {
            self.by_call.remove(&call);
        }
        let done = matches!(end, End::Streamed { .. });
        for hold in [entry.prefill_hold, entry.decode_hold]
            .into_iter()
            .flatten()
        {
            if done || superseded {
                self.holds.erase(hold);
            } else {
                self.release_hold(Some(hold), out);
            }
        }
    }

    fn remember_end(&mut self, opened: OpenKey, end: &End) {
        let entry = &self.open[opened];
        let Some(key) = entry.key.clone() else {
            return;
        };
        let token = self.token_of(opened);
        let entry = &self.open[opened];
        let now = self.unix_s();
        let mark = match end {
            End::Answered { status, body } => {
                if !entry.repeatable {
                    self.journal.push(&key, *status, body);
                }
                let kept = (body.len() <= ledger::keys::MAX_BODY).then(|| body.clone());
                Some(Mark::Answered {
                    status: *status,
                    body: kept,
                })
            }
            End::Streamed { .. } | End::Superseded => token.map(|token| Mark::Streamed { token }),
            End::Refused(refusal) => match refusal.outcome {
                Outcome::NotRun => None,
                Outcome::Unknown => Some(Mark::Unknown),
                Outcome::Failed => Some(Mark::Failed),
            },
        };
        match mark {
            Some(mark) => self.keys.mark(now, &key, mark),
            None => self.keys.forget(&key),
        }
    }

    fn tell_end(&mut self, opened: OpenKey, end: &End, out: &mut Vec<Action>) {
        let entry = &self.open[opened];
        let label = entry.label();
        let call = entry.call;
        let (word, reason) = match end {
            End::Answered { status, .. } => ("answered", format!("status {status}")),
            End::Streamed { tokens } => ("answered", format!("{tokens} tokens")),
            End::Superseded => (
                "superseded",
                "another connection reads the answer".to_owned(),
            ),
            End::Refused(refusal) => (refusal.outcome.word(), refusal.reason.word().to_owned()),
        };
        self.log(&label, Step::End, word, &reason, out);
        let (count, tell) = match end {
            End::Answered { status, body } => (
                Some(Count::Answered),
                Tell::Answer {
                    status: *status,
                    body: Bytes::clone(body),
                    repeated: false,
                },
            ),
            End::Streamed { tokens } => (Some(Count::Answered), Tell::Done { tokens: *tokens }),
            End::Superseded => (None, Tell::Superseded),
            End::Refused(refusal) => (
                Some(Count::Refused(refusal.outcome)),
                Tell::Refusal(refusal.clone()),
            ),
        };
        out.extend(count.map(Action::Count));
        if matches!(end, End::Answered { .. } | End::Streamed { .. }) {
            self.count_targets(opened, out);
        }
        out.extend(call.map(|call| Action::Tell { call, tell }));
    }
}

fn is_moved(stage: Stage, place: Option<Place>, prefill: Replica, decode: Replica) -> bool {
    stage == Stage::Prefill
        && place.is_some_and(|place| place.prefill == Some(prefill) && place.run != decode)
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
