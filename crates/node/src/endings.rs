//! The end of a request: its caller, its key and its holds.

use std::time::Duration;

use bytes::Bytes;
use ledger::keys::KeyState;
use route::phase::Phase;

use crate::action::Action;
use crate::action::Count;
use crate::action::Outcome;
use crate::action::Reason;
use crate::action::Tell;
use crate::decision::Step;
use crate::node::Node;
use crate::open::End;
use crate::open::OpenKey;

impl Node {
    /// Ends a request without an answer, with the outcome that is true for it.
    pub(crate) fn give_up(
        &mut self,
        opened: OpenKey,
        reason: Reason,
        after: Duration,
        out: &mut Vec<Action>,
    ) {
        let entry = &self.requests.open[opened];
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
        let computed = std::mem::take(&mut self.requests.open[opened].computed);
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
        let Some(entry) = self.requests.open.remove(opened) else {
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

    fn remember_end(&mut self, opened: OpenKey, end: &End) {
        let entry = &self.requests.open[opened];
        let Some(key) = entry.key.clone() else {
            return;
        };
        let token = self.token_of(opened);
        let entry = &self.requests.open[opened];
        let now = self.unix_s();
        let mark = match end {
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
        match mark {
            Some(mark) => self.requests.keys.set(now, &key, mark),
            None => self.requests.keys.forget(&key),
        }
    }

    fn tell_end(&mut self, opened: OpenKey, end: &End, out: &mut Vec<Action>) {
        let entry = &self.requests.open[opened];
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
