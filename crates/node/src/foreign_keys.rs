//! Requests whose key names another runner.
//!
//! Only the runner may start such a request. Other instances ask the runner and forward its
//! answer; if the runner is gone, they look for a recorded outcome and otherwise answer *unknown*.

use std::time::Duration;

use ident::Instance;
use ident::Key;
use ident::Pool;
use ledger::ids::CallId;
use ledger::ids::QueryId;
use wire::Body;
use wire::KeyStatus;

use crate::action::Action;
use crate::action::CallerMessage;
use crate::action::Outcome;
use crate::action::Reason;
use crate::action::Refusal;
use crate::action::StoreRequest;
use crate::decision::Step;
use crate::event::RecordedOutcome;
use crate::event::StoreReply;
use crate::key_lookup::KeyLookup;
use crate::node::Node;
use crate::refusals::DEFAULT_RETRY_AFTER;
use crate::request::Request;

/// Time without an answer after which a runner is considered lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between repeated questions to a runner.
const RESEND_AFTER: Duration = Duration::from_millis(500);

impl Node {
    /// Looks up the outcome of `key`, which belongs to another run.
    pub(crate) fn look_up_key(
        &mut self,
        call: CallId,
        key: Key,
        request: Option<Request>,
        out: &mut Vec<Action>,
    ) {
        let Some(prefix) = key.prefix() else {
            return;
        };
        let alive = self
            .members
            .fleet
            .by_incarnation(prefix.runner)
            .filter(|member| member.state != fleet::member::State::Dead)
            .map(|member| member.instance);
        let nonce = self.unique_number();
        let (now, runner) = (self.now, alive);
        let lookup = KeyLookup {
            call,
            key,
            request,
            runner,
            last_answer: now,
            last_sent: now,
            store_query: None,
        };
        let choice = runner.map_or_else(
            || "the store".to_owned(),
            |instance| format!("runner {}", self.instance_name(instance)),
        );
        self.log(
            &lookup.key.to_string(),
            Step::Repeat,
            &choice,
            "key of another run",
            out,
        );
        self.requests.lookups.insert(nonce, lookup);
        self.send_lookup(nonce, out);
    }

    fn send_lookup(&mut self, nonce: u64, out: &mut Vec<Action>) {
        let Some(lookup) = self.requests.lookups.get_mut(&nonce) else {
            return;
        };
        lookup.last_sent = self.now;
        let key = lookup.key.clone();
        match lookup.runner {
            Some(runner) => self.send(runner, Body::Ask { nonce, key }, out),
            None => self.query_store(nonce, out),
        }
    }

    fn query_store(&mut self, nonce: u64, out: &mut Vec<Action>) {
        let query = self.new_query();
        let Some(lookup) = self.requests.lookups.get_mut(&nonce) else {
            return;
        };
        let Some(prefix) = lookup.key.prefix() else {
            return;
        };
        lookup.store_query = Some(query);
        lookup.last_answer = self.now;
        let request = StoreRequest::Outcome {
            incarnation: prefix.runner,
            key: lookup.key.to_string(),
        };
        out.push(Action::Query { query, request });
    }

    /// Repeats unanswered questions to runners, and ends lookups without an answer in time.
    pub(crate) fn expire_lookups(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let mut silent = Vec::new();
        let mut again = Vec::new();
        for (nonce, lookup) in &self.requests.lookups {
            match () {
                () if now >= lookup.last_answer + ANSWER_TIMEOUT => silent.push(*nonce),
                () if lookup.store_query.is_some() => (),
                () if now >= lookup.last_sent + RESEND_AFTER => again.push(*nonce),
                () => (),
            }
        }
        silent.sort_unstable();
        again.sort_unstable();
        for nonce in silent {
            self.handle_silent_runner(nonce, out);
        }
        for nonce in again {
            self.send_lookup(nonce, out);
        }
    }

    /// Looks for the runner's record in the store, once, or ends the lookup.
    fn handle_silent_runner(&mut self, nonce: u64, out: &mut Vec<Action>) {
        let Some(lookup) = self.requests.lookups.get_mut(&nonce) else {
            return;
        };
        if lookup.runner.take().is_some() && lookup.store_query.is_none() {
            return self.query_store(nonce, out);
        }
        self.close_lookup(nonce, Self::unknown_refusal(), out);
    }

    fn unknown_refusal() -> Refusal {
        Self::refusal(Outcome::Unknown, Reason::RunnerLost, DEFAULT_RETRY_AFTER)
    }

    fn close_lookup(&mut self, nonce: u64, refusal: Refusal, out: &mut Vec<Action>) {
        if let Some(lookup) = self.requests.lookups.remove(&nonce) {
            self.refuse(lookup.call, &lookup.key.to_string(), refusal, out);
        }
    }

    /// Handles the store's reply to a lookup; returns `false` if `query` is not a lookup.
    pub(crate) fn handle_lookup_reply(
        &mut self,
        query: QueryId,
        outcome: &StoreReply,
        out: &mut Vec<Action>,
    ) -> bool {
        let found = self
            .requests
            .lookups
            .iter()
            .find(|(_, lookup)| lookup.store_query == Some(query));
        let Some(nonce) = found.map(|(nonce, _)| *nonce) else {
            return false;
        };
        match outcome {
            StoreReply::Outcome(Some(recorded)) => {
                self.answer_recorded(nonce, recorded.clone(), out);
            }
            _ => self.handle_no_record(nonce, out),
        }
        true
    }

    fn answer_recorded(&mut self, nonce: u64, recorded: RecordedOutcome, out: &mut Vec<Action>) {
        let RecordedOutcome { status, body } = recorded;
        match body {
            Some(body) => self.answer_repeated(nonce, status, body, out),
            None => {
                let refusal = Self::refusal(Outcome::Failed, Reason::AnswerGone, Duration::ZERO);
                self.close_lookup(nonce, refusal, out);
            }
        }
    }

    fn answer_repeated(
        &mut self,
        nonce: u64,
        status: u16,
        body: bytes::Bytes,
        out: &mut Vec<Action>,
    ) {
        if let Some(lookup) = self.requests.lookups.remove(&nonce) {
            let message = CallerMessage::Answer {
                status,
                body,
                repeated: true,
            };
            out.push(Action::SendToCaller {
                call: lookup.call,
                message,
            });
        }
    }

    /// Handles a key without a record whose runner is gone. A repeatable request is run by one
    /// successor, chosen by rendezvous hashing; the outcome of any other request is unknown.
    fn handle_no_record(&mut self, nonce: u64, out: &mut Vec<Action>) {
        if !self.is_lookup_repeatable(nonce) {
            return self.close_lookup(nonce, Self::unknown_refusal(), out);
        }
        let Some(lookup) = self.requests.lookups.remove(&nonce) else {
            return;
        };
        let Some(request) = lookup.request else {
            return;
        };
        let label = lookup.key.to_string();
        let successor = self.keeper_of(Pool::new(&label));
        if successor != self.settings.instance {
            let refusal = Refusal {
                outcome: Outcome::Unknown,
                ..self.refusal_at(Reason::OtherRunner, successor)
            };
            return self.refuse(lookup.call, &label, refusal, out);
        }
        self.log(
            &label,
            Step::Repeat,
            "run here",
            "repeatable, and its runner is gone",
            out,
        );
        self.open_new(
            lookup.call,
            Some(lookup.key),
            &request,
            Some(Outcome::Unknown),
            out,
        );
    }

    /// Returns whether `request` may be run again after it was sent.
    pub(crate) fn is_repeatable(&self, request: &Request) -> bool {
        let rows = self
            .tables
            .view
            .table()
            .map(|table| table.rows.as_slice())
            .unwrap_or_default();
        let mut rows = rows
            .iter()
            .filter(|row| row.service == request.service && row.class == request.class);
        request.repeatable && rows.all(|row| row.repeatable)
    }

    /// Handles the answer of a runner.
    pub(crate) fn handle_key_answer(&mut self, nonce: u64, told: KeyStatus, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(lookup) = self.requests.lookups.get_mut(&nonce) else {
            return;
        };
        lookup.last_answer = now;
        let runner = lookup.runner;
        match told {
            KeyStatus::InProgress => (),
            KeyStatus::OtherRun => self.handle_silent_runner(nonce, out),
            KeyStatus::Streaming { token } => self.resume_stream(nonce, &token, out),
            KeyStatus::Answered { status, body } => {
                self.answer_recorded(nonce, RecordedOutcome { status, body }, out);
            }
            KeyStatus::Unknown => self.close_tried(nonce, Outcome::Unknown, out),
            KeyStatus::Failed => self.close_tried(nonce, Outcome::Failed, out),
            KeyStatus::Expired => {
                let refusal = Self::refusal(Outcome::NotRun, Reason::KeyExpired, Duration::ZERO);
                self.close_lookup(nonce, refusal, out);
            }
            KeyStatus::NotSeen => self.close_not_seen(nonce, runner, out),
        }
    }

    /// Ends a lookup of a key that the runner has not seen. A successor may nevertheless have run a
    /// repeatable request.
    fn close_not_seen(&mut self, nonce: u64, runner: Option<Instance>, out: &mut Vec<Action>) {
        let refusal = match runner {
            Some(runner) => self.refusal_at(Reason::OtherRunner, runner),
            None => Self::unknown_refusal(),
        };
        let outcome = if self.is_lookup_repeatable(nonce) {
            Outcome::Unknown
        } else {
            refusal.outcome
        };
        self.close_lookup(nonce, Refusal { outcome, ..refusal }, out);
    }

    fn is_lookup_repeatable(&self, nonce: u64) -> bool {
        let lookup = self.requests.lookups.get(&nonce);
        let request = lookup.and_then(|lookup| lookup.request.as_ref());
        request.is_some_and(|request| self.is_repeatable(request))
    }

    /// Ends a lookup of a key that the runner tried without success; the runner may retry a
    /// repeatable request.
    fn close_tried(&mut self, nonce: u64, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(lookup) = self.requests.lookups.get(&nonce) else {
            return;
        };
        let repeatable = self.is_lookup_repeatable(nonce);
        let refusal = match lookup.runner.filter(|_| repeatable) {
            Some(runner) => Refusal {
                outcome,
                ..self.refusal_at(Reason::OtherRunner, runner)
            },
            None => Self::refusal(outcome, Reason::Backend, Duration::ZERO),
        };
        self.close_lookup(nonce, refusal, out);
    }

    fn resume_stream(&mut self, nonce: u64, token: &str, out: &mut Vec<Action>) {
        if let Some(lookup) = self.requests.lookups.remove(&nonce) {
            self.handle_resume(lookup.call, &lookup.key.customer, token, 0, out);
        }
    }
}
