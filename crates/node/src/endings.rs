//! Ends of requests: answer to the caller, record of the key and release of holds.

use std::time::Duration;

use bytes::Bytes;
use ledger::keys::KeyState;
use route::phase::Phase;

use crate::action::Action;
use crate::action::CallerMessage;
use crate::action::Count;
use crate::action::Outcome;
use crate::action::Reason;
use crate::decision::Step;
use crate::node::Node;
use crate::open::End;
use crate::open::OpenId;

impl Node {
    /// Ends a request without an answer, with its actual outcome.
    pub(crate) fn give_up(
        &mut self,
        open_id: OpenId,
        reason: Reason,
        after: Duration,
        out: &mut Vec<Action>,
    ) {
        let entry = &self.requests.open[open_id];
        let elsewhere = entry.is_keyed() && entry.repeatable && !self.may_decide();
        let outcome = match () {
            () if elsewhere => Outcome::Unknown,
            () if !entry.may_have_reached() => Outcome::NotRun,
            () if entry.repeatable => Outcome::Failed,
            () => Outcome::Unknown,
        };
        let refusal = Self::refusal(outcome, reason, after);
        self.end(open_id, &End::Refused(refusal), out);
    }

    /// Counts the unused prefill work of an attempt as wasted.
    pub(crate) fn count_wasted(&mut self, open_id: OpenId, out: &mut Vec<Action>) {
        let computed = std::mem::take(&mut self.requests.open[open_id].computed);
        if computed > 0 {
            out.push(Action::Count(Count::Wasted(computed)));
        }
    }

    /// Ends a request: answers its caller and waiting peers, records the outcome of its key and
    /// releases its holds.
    pub(crate) fn end(&mut self, open_id: OpenId, end: &End, out: &mut Vec<Action>) {
        let superseded = matches!(end, End::Superseded);
        match end {
            End::Streamed { tokens } => {
                self.report_phase(open_id, Phase::Finished { tokens: *tokens }, out);
            }
            End::Answered { .. } => self.report_phase(open_id, Phase::Finished { tokens: 0 }, out),
            End::Refused(_) => self.report_phase(open_id, Phase::Gone, out),
            End::Superseded => (),
        }
        if !matches!(end, End::Streamed { .. }) {
            self.count_wasted(open_id, out);
        }
        self.record_key_outcome(open_id, end);
        self.answer_waiting_peers(open_id, end, out);
        self.send_end(open_id, end, out);
        let Some(entry) = self.requests.open.remove(open_id) else {
            return;
        };
        self.requests.by_handle.remove(&entry.ticket.handle);
        if let Some(call) = entry.call {
            self.requests.by_call.remove(&call);
        }
        let done = matches!(end, End::Streamed { .. });
        for hold in [entry.prefill_hold, entry.decode_hold]
            .into_iter()
            .flatten()
        {
            if done || superseded {
                self.requests.holds.erase(hold);
            } else {
                self.release_hold(Some(hold), out);
            }
        }
    }

    fn record_key_outcome(&mut self, open_id: OpenId, end: &End) {
        let entry = &self.requests.open[open_id];
        let Some(key) = entry.key.clone() else {
            return;
        };
        let token = self.resume_token(open_id);
        let entry = &self.requests.open[open_id];
        let now = self.unix_s();
        let state = match end {
            End::Answered { status, body } => {
                if !entry.repeatable {
                    self.requests.journal.push(&key, *status, body);
                }
                let kept = (body.len() <= ledger::keys::MAX_BODY).then(|| body.clone());
                Some(KeyState::Answered {
                    status: *status,
                    body: kept,
                })
            }
            End::Streamed { .. } | End::Superseded => {
                token.map(|token| KeyState::Streamed { token })
            }
            End::Refused(refusal) => match refusal.outcome {
                Outcome::NotRun => None,
                Outcome::Unknown => Some(KeyState::Unknown),
                Outcome::Failed => Some(KeyState::Failed),
            },
        };
        match state {
            Some(state) => self.requests.keys.set(now, &key, state),
            None => self.requests.keys.forget(&key),
        }
    }

    fn send_end(&mut self, open_id: OpenId, end: &End, out: &mut Vec<Action>) {
        let entry = &self.requests.open[open_id];
        let label = entry.label();
        let call = entry.call;
        let (word, reason) = match end {
            End::Answered { status, .. } => ("answered", format!("status {status}")),
            End::Streamed { tokens } => ("answered", format!("{tokens} tokens")),
            End::Superseded => (
                "superseded",
                "another connection reads the answer".to_owned(),
            ),
            End::Refused(refusal) => (refusal.outcome.as_str(), refusal.reason.as_str().to_owned()),
        };
        self.log(&label, Step::End, word, &reason, out);
        let (count, message) = match end {
            End::Answered { status, body } => (
                Some(Count::Answered),
                CallerMessage::Answer {
                    status: *status,
                    body: Bytes::clone(body),
                    repeated: false,
                },
            ),
            End::Streamed { tokens } => (
                Some(Count::Answered),
                CallerMessage::Done { tokens: *tokens },
            ),
            End::Superseded => (None, CallerMessage::Superseded),
            End::Refused(refusal) => (
                Some(Count::Refused(refusal.outcome)),
                CallerMessage::Refusal(refusal.clone()),
            ),
        };
        out.extend(count.map(Action::Count));
        if matches!(end, End::Answered { .. } | End::Streamed { .. }) {
            self.count_targets(open_id, out);
        }
        out.extend(call.map(|call| Action::SendToCaller { call, message }));
    }
}
