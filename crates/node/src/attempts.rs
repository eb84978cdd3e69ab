//! Submission of attempts to the keeper, and its placements.

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
use crate::open::OpenId;
use crate::open::Placement;
use crate::refusals::DEFAULT_RETRY_AFTER;

/// Time after which an unanswered submission is repeated.
const RESUBMIT_AFTER: Duration = Duration::from_millis(400);
/// Time that a prefill result waits for another decode replica.
const PREFILL_RESULT_TTL: Duration = Duration::from_millis(800);

impl Node {
    /// Submits a waiting request to the keeper of its pool for placement.
    pub(crate) fn submit(&mut self, open_id: OpenId, out: &mut Vec<Action>) {
        let now = self.now;
        let entry = &mut self.requests.open[open_id];
        entry.times.submitted = now;
        // The first token of a continuation was sent before: only the wait since its loss counts.
        let since = entry
            .times
            .first
            .map_or(entry.times.arrived, |_| entry.queued_at);
        entry.ticket.waited = now.since(since);
        let ticket = Box::new(entry.ticket.clone());
        let pool = entry.pool;
        self.send(self.keeper_of(pool), Body::Submit(ticket), out);
    }

    /// Repeats unanswered submissions, which the keeper answers identically, and ends or retries
    /// requests that waited too long.
    pub(crate) fn resubmit(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let due = self.requests.open_where(|entry| {
            entry.stage == Stage::Waiting && now >= entry.times.submitted + RESUBMIT_AFTER
        });
        for open_id in due {
            let entry = &self.requests.open[open_id];
            if now >= entry.queued_at + entry.max_wait {
                self.give_up(open_id, Reason::NoReplica, DEFAULT_RETRY_AFTER, out);
            } else {
                self.submit(open_id, out);
            }
        }
        let expired = self.requests.open_where(|entry| {
            entry.stage == Stage::Prefill
                && entry.order.is_none()
                && now >= entry.times.submitted + PREFILL_RESULT_TTL
        });
        for open_id in expired {
            self.retry(
                open_id,
                Failure::Refused {
                    status: http_status::GONE,
                    fence: None,
                },
                out,
            );
        }
    }

    /// Reports the phase of an attempt to the keeper.
    pub(crate) fn report_phase(&mut self, open_id: OpenId, phase: Phase, out: &mut Vec<Action>) {
        let entry = &mut self.requests.open[open_id];
        entry.phase = Some(phase);
        let (pool, handle) = (entry.pool, entry.handle());
        self.send(self.keeper_of(pool), Body::Advance { handle, phase }, out);
    }

    /// Returns the state of a placed request for a new keeper.
    pub(crate) fn hold_of(&self, open_id: OpenId) -> Option<Hold> {
        let entry = &self.requests.open[open_id];
        let placement = entry.placement?;
        Some(Hold {
            ticket: entry.ticket.clone(),
            prefill: placement.prefill,
            decode: placement.serving,
            phase: entry.phase,
        })
    }

    /// Handles the keeper's decision about an attempt of this daemon.
    pub(crate) fn handle_verdict(
        &mut self,
        from: Instance,
        verdict: Verdict,
        out: &mut Vec<Action>,
    ) {
        let handle = verdict.handle;
        let Some(open_id) = self.requests.by_handle.get(&handle).copied() else {
            return self.send(
                from,
                Body::Advance {
                    handle,
                    phase: Phase::Gone,
                },
                out,
            );
        };
        let entry = &self.requests.open[open_id];
        let (stage, placement) = (entry.stage, entry.placement);
        match verdict.choice {
            _ if !self.may_decide() => (),
            Choice::Refused {
                reason,
                retry_after,
            } if stage == Stage::Waiting => {
                self.give_up(open_id, reason.into(), retry_after, out);
            }
            Choice::Paired { prefill, decode } if stage == Stage::Waiting => {
                self.log_place(open_id, prefill, Some(decode), &verdict.why, out);
                self.start_prefill(
                    open_id,
                    Placement {
                        prefill: Some(prefill),
                        serving: decode,
                    },
                    out,
                );
            }
            Choice::Paired { prefill, decode } if is_moved(stage, placement, prefill, decode) => {
                self.log_place(open_id, prefill, Some(decode), &verdict.why, out);
                self.requests.open[open_id].placement = Some(Placement {
                    prefill: Some(prefill),
                    serving: decode,
                });
                self.start_decode(open_id, prefill, decode, out);
            }
            Choice::Single { replica } if stage == Stage::Waiting => {
                self.log_place(open_id, replica, None, &verdict.why, out);
                self.start_plain(open_id, replica, out);
            }
            _ => (),
        }
    }

    fn log_place(
        &self,
        open_id: OpenId,
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
        let label = self.requests.open[open_id].label();
        self.log_with(&label, Step::Place, &choice, &alternatives, &reason, out);
    }
}

fn is_moved(stage: Stage, placement: Option<Placement>, prefill: Replica, decode: Replica) -> bool {
    stage == Stage::Prefill
        && placement.is_some_and(|placement| {
            placement.prefill == Some(prefill) && placement.serving != decode
        })
}
