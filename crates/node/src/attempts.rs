//! Attempts: from the keeper's placement to the replica's answer.

use std::time::Duration;

use ident::Instance;
use ident::Replica;
use ledger::stage::Stage;
use route::phase::Phase;
use route::scheduler::Hold;
use route::verdict::Choice;
use route::verdict::DecisionDetails;
use route::verdict::Verdict;
use wire::Body;

use crate::action::Action;
use crate::action::Reason;
use crate::decision::Step;
use crate::event::Failure;
use crate::http_status;
use crate::node::Node;
use crate::open::OpenKey;
use crate::open::Place;
use crate::refusals::SOON;

/// Pause after which an unanswered submission is sent again.
const RESUBMIT: Duration = Duration::from_millis(400);
/// How long a prefill result is worth another decode replica.
const RESULT_LIFE: Duration = Duration::from_millis(800);

impl Node {
    /// Asks the keeper of its pool to place a waiting request.
    pub(crate) fn submit(&mut self, opened: OpenKey, out: &mut Vec<Action>) {
        let now = self.now;
        let entry = &mut self.requests.open[opened];
        entry.times.submitted = now;
        // A continuation's first token was told long ago: only the loss counts.
        let since = entry
            .times
            .first
            .map_or(entry.times.arrived, |_| entry.queued);
        entry.ticket.waited = now.since(since);
        let ticket = Box::new(entry.ticket.clone());
        let pool = entry.pool;
        self.send(self.keeper_of(pool), Body::Submit(ticket), out);
    }

    /// Sends unanswered submissions again; a keeper answers the same ticket the same way.
    pub(crate) fn resubmit(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let due = self.requests.open_where(|entry| {
            entry.stage == Stage::Waiting && now >= entry.times.submitted + RESUBMIT
        });
        for opened in due {
            let entry = &self.requests.open[opened];
            if now >= entry.queued + entry.patience {
                self.give_up(opened, Reason::NoReplica, SOON, out);
            } else {
                self.submit(opened, out);
            }
        }
        let expired = self.requests.open_where(|entry| {
            entry.stage == Stage::Prefill
                && entry.order.is_none()
                && now >= entry.times.submitted + RESULT_LIFE
        });
        for opened in expired {
            self.retry(
                opened,
                Failure::Refused {
                    status: http_status::GONE,
                    fence: None,
                },
                out,
            );
        }
    }

    /// Tells the keeper how an attempt goes on.
    pub(crate) fn advance(&mut self, opened: OpenKey, phase: Phase, out: &mut Vec<Action>) {
        let entry = &mut self.requests.open[opened];
        entry.phase = Some(phase);
        let (pool, handle) = (entry.pool, entry.handle());
        self.send(self.keeper_of(pool), Body::Advance { handle, phase }, out);
    }

    /// What a new keeper is told of a placed request.
    pub(crate) fn hold_of(&self, opened: OpenKey) -> Option<Hold> {
        let entry = &self.requests.open[opened];
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
        let Some(opened) = self.requests.by_handle.get(&handle).copied() else {
            return self.send(
                from,
                Body::Advance {
                    handle,
                    phase: Phase::Gone,
                },
                out,
            );
        };
        let entry = &self.requests.open[opened];
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
                self.requests.open[opened].place = Some(Place {
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
        why: &DecisionDetails,
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
        let label = self.requests.open[opened].label();
        self.log_with(&label, Step::Place, &choice, &alternatives, &reason, out);
    }
}

fn is_moved(stage: Stage, place: Option<Place>, prefill: Replica, decode: Replica) -> bool {
    stage == Stage::Prefill
        && place.is_some_and(|place| place.prefill == Some(prefill) && place.run != decode)
}
