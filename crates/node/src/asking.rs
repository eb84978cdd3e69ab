//! Keys whose runner is another instance.
//!
//! Only the runner may start such a request. Any other instance asks it, and passes its answer on;
//! if the runner is gone it looks for a recorded outcome, and otherwise answers *unknown*.

use std::time::Duration;

use ident::Instance;
use ident::Key;
use ident::Pool;
use ledger::ids::CallId;
use ledger::ids::QueryId;
use wire::Body;
use wire::KeyStatus;

use crate::action::Action;
use crate::action::Ask;
use crate::action::Outcome;
use crate::action::Reason;
use crate::action::Refusal;
use crate::action::Tell;
use crate::decision::Step;
use crate::event::Recorded;
use crate::event::Stored;
use crate::node::Node;
use crate::question::Question;
use crate::refusals::SOON;
use crate::request::Request;

/// How long a runner may be silent before its answer counts as lost.
const SILENCE: Duration = Duration::from_secs(2);
/// Pause after which a runner is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(500);

impl Node {
    /// Finds out what became of `key`, which belongs to another run.
    pub(crate) fn ask(
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
        let question = Question {
            call,
            key,
            request,
            runner,
            heard: now,
            asked: now,
            lookup: None,
        };
        let choice = runner.map_or_else(
            || "the store".to_owned(),
            |instance| format!("runner {}", self.instance_name(instance)),
        );
        self.log(
            &question.key.to_string(),
            Step::Repeat,
            &choice,
            "key of another run",
            out,
        );
        self.requests.questions.insert(nonce, question);
        self.pursue(nonce, out);
    }

    fn pursue(&mut self, nonce: u64, out: &mut Vec<Action>) {
        let Some(question) = self.requests.questions.get_mut(&nonce) else {
            return;
        };
        question.asked = self.now;
        let key = question.key.clone();
        match question.runner {
            Some(runner) => self.send(runner, Body::Ask { nonce, key }, out),
            None => self.look_up(nonce, out),
        }
    }

    fn look_up(&mut self, nonce: u64, out: &mut Vec<Action>) {
        let query = self.query();
        let Some(question) = self.requests.questions.get_mut(&nonce) else {
            return;
        };
        let Some(prefix) = question.key.prefix() else {
            return;
        };
        question.lookup = Some(query);
        question.heard = self.now;
        let ask = Ask::Outcome {
            incarnation: prefix.runner,
            key: question.key.to_string(),
        };
        out.push(Action::Query { query, ask });
    }

    /// Asks silent runners again, and gives up those that stay silent.
    pub(crate) fn expire_questions(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let mut silent = Vec::new();
        let mut again = Vec::new();
        for (nonce, question) in &self.requests.questions {
            match () {
                () if now >= question.heard + SILENCE => silent.push(*nonce),
                () if question.lookup.is_some() => (),
                () if now >= question.asked + ASK_AGAIN => again.push(*nonce),
                () => (),
            }
        }
        silent.sort_unstable();
        again.sort_unstable();
        for nonce in silent {
            self.runner_silent(nonce, out);
        }
        for nonce in again {
            self.pursue(nonce, out);
        }
    }

    /// A runner that was asked does not answer: its record in the store is looked for, once.
    fn runner_silent(&mut self, nonce: u64, out: &mut Vec<Action>) {
        let Some(question) = self.requests.questions.get_mut(&nonce) else {
            return;
        };
        if question.runner.take().is_some() && question.lookup.is_none() {
            return self.look_up(nonce, out);
        }
        self.close(nonce, Self::unknown(), out);
    }

    fn unknown() -> Refusal {
        Self::refusal(Outcome::Unknown, Reason::RunnerLost, SOON)
    }

    fn close(&mut self, nonce: u64, refusal: Refusal, out: &mut Vec<Action>) {
        if let Some(question) = self.requests.questions.remove(&nonce) {
            self.refuse(question.call, &question.key.to_string(), refusal, out);
        }
    }

    /// The store answered a lookup; `false` if `query` is none.
    pub(crate) fn looked_up(
        &mut self,
        query: QueryId,
        outcome: &Stored,
        out: &mut Vec<Action>,
    ) -> bool {
        let found = self
            .requests
            .questions
            .iter()
            .find(|(_, question)| question.lookup == Some(query));
        let Some(nonce) = found.map(|(nonce, _)| *nonce) else {
            return false;
        };
        match outcome {
            Stored::Outcome(Some(recorded)) => self.tell_recorded(nonce, recorded.clone(), out),
            _ => self.no_record(nonce, out),
        }
        true
    }

    fn tell_recorded(&mut self, nonce: u64, recorded: Recorded, out: &mut Vec<Action>) {
        let Recorded { status, body } = recorded;
        match body {
            Some(body) => self.tell_repeated(nonce, status, body, out),
            None => {
                let refusal = Self::refusal(Outcome::Failed, Reason::AnswerGone, Duration::ZERO);
                self.close(nonce, refusal, out);
            }
        }
    }

    fn tell_repeated(
        &mut self,
        nonce: u64,
        status: u16,
        body: bytes::Bytes,
        out: &mut Vec<Action>,
    ) {
        if let Some(question) = self.requests.questions.remove(&nonce) {
            let tell = Tell::Answer {
                status,
                body,
                repeated: true,
            };
            out.push(Action::Tell {
                call: question.call,
                tell,
            });
        }
    }

    /// Nothing is recorded of a key whose runner is gone. A repeatable request is run by one
    /// successor, chosen by rendezvous hashing; of a non-repeatable one nothing can be said.
    fn no_record(&mut self, nonce: u64, out: &mut Vec<Action>) {
        if !self.asks_repeatable(nonce) {
            return self.close(nonce, Self::unknown(), out);
        }
        let Some(question) = self.requests.questions.remove(&nonce) else {
            return;
        };
        let Some(request) = question.request else {
            return;
        };
        let label = question.key.to_string();
        let successor = self.keeper_of(Pool::new(&label));
        if successor != self.settings.instance {
            let refusal = Refusal {
                outcome: Outcome::Unknown,
                ..self.refusal_at(Reason::OtherRunner, successor)
            };
            return self.refuse(question.call, &label, refusal, out);
        }
        self.log(
            &label,
            Step::Repeat,
            "run here",
            "repeatable, and its runner is gone",
            out,
        );
        self.open_new(
            question.call,
            Some(question.key),
            &request,
            Some(Outcome::Unknown),
            out,
        );
    }

    /// Whether `request` may be run again after it was sent.
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

    /// A runner answered.
    pub(crate) fn told(&mut self, nonce: u64, told: KeyStatus, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(question) = self.requests.questions.get_mut(&nonce) else {
            return;
        };
        question.heard = now;
        let runner = question.runner;
        match told {
            KeyStatus::InProgress => (),
            KeyStatus::OtherRun => self.runner_silent(nonce, out),
            KeyStatus::Streaming { token } => self.follow_stream(nonce, &token, out),
            KeyStatus::Answered { status, body } => {
                self.tell_recorded(nonce, Recorded { status, body }, out);
            }
            KeyStatus::Unknown => self.close_tried(nonce, Outcome::Unknown, out),
            KeyStatus::Failed => self.close_tried(nonce, Outcome::Failed, out),
            KeyStatus::Expired => {
                let refusal = Self::refusal(Outcome::NotRun, Reason::KeyExpired, Duration::ZERO);
                self.close(nonce, refusal, out);
            }
            KeyStatus::NotSeen => self.close_unseen(nonce, runner, out),
        }
    }

    /// The runner never saw the key. A repeatable one may have been run by a successor all the same.
    fn close_unseen(&mut self, nonce: u64, runner: Option<Instance>, out: &mut Vec<Action>) {
        let refusal = match runner {
            Some(runner) => self.refusal_at(Reason::OtherRunner, runner),
            None => Self::unknown(),
        };
        let outcome = if self.asks_repeatable(nonce) {
            Outcome::Unknown
        } else {
            refusal.outcome
        };
        self.close(nonce, Refusal { outcome, ..refusal }, out);
    }

    fn asks_repeatable(&self, nonce: u64) -> bool {
        let question = self.requests.questions.get(&nonce);
        let request = question.and_then(|question| question.request.as_ref());
        request.is_some_and(|request| self.is_repeatable(request))
    }

    /// The runner has tried the key without an answer: it may try a repeatable request again.
    fn close_tried(&mut self, nonce: u64, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(question) = self.requests.questions.get(&nonce) else {
            return;
        };
        let repeatable = self.asks_repeatable(nonce);
        let refusal = match question.runner.filter(|_| repeatable) {
            Some(runner) => Refusal {
                outcome,
                ..self.refusal_at(Reason::OtherRunner, runner)
            },
            None => Self::refusal(outcome, Reason::Backend, Duration::ZERO),
        };
        self.close(nonce, refusal, out);
    }

    fn follow_stream(&mut self, nonce: u64, token: &str, out: &mut Vec<Action>) {
        if let Some(question) = self.requests.questions.remove(&nonce) {
            self.resumed(question.call, &question.key.customer, token, 0, out);
        }
    }
}
