//! What a runner tells other instances about its keys.

use ident::Instance;
use ident::Key;
use ledger::keys::Admission;
use ledger::keys::KeyState;
use ledger::stage::Stage;
use wire::Body;
use wire::KeyStatus;

use crate::action::Action;
use crate::action::Outcome;
use crate::node::Node;
use crate::open::Asker;
use crate::open::End;
use crate::open::OpenKey;

/// Longest body passed on to another instance: it fits a frame.
const MAX_TOLD_BODY: usize = wire::MAX_BODY - 1_024;

impl Node {
    /// Another instance asks what became of a key that names this run.
    pub(crate) fn asked(&mut self, from: Instance, nonce: u64, key: &Key, out: &mut Vec<Action>) {
        let told = match self.requests.keys.get(key).cloned() {
            Some(KeyState::Open(opened)) => self.told_open(
                opened,
                Asker {
                    instance: from,
                    nonce,
                },
            ),
            Some(KeyState::Answered { status, body }) => KeyStatus::Answered { status, body },
            Some(KeyState::Streamed { token }) => KeyStatus::Streaming { token },
            Some(KeyState::Unknown) => KeyStatus::Unknown,
            Some(KeyState::Failed) => KeyStatus::Failed,
            None => self.told_unseen(key),
        };
        self.send(from, Body::Told { nonce, told }, out);
    }

    /// What is told of a key that is not remembered: only its own run can say that it never ran.
    fn told_unseen(&self, key: &Key) -> KeyStatus {
        let Some(prefix) = key.prefix() else {
            return KeyStatus::OtherRun;
        };
        let expired = self.requests.keys.admit(self.unix_s(), prefix.issued) == Admission::Expired;
        match prefix.runner {
            runner if self.members.former.contains(&runner) => KeyStatus::Expired,
            runner if runner != self.incarnation() => KeyStatus::OtherRun,
            _ if expired => KeyStatus::Expired,
            _ => KeyStatus::NotSeen,
        }
    }

    fn told_open(&mut self, opened: OpenKey, asker: Asker) -> KeyStatus {
        let streams = self.requests.open[opened].stage == Stage::Decode;
        match self.token_of(opened).filter(|_| streams) {
            Some(token) => KeyStatus::Streaming { token },
            None => {
                let askers = &mut self.requests.open[opened].askers;
                if !askers.iter().any(|other| other.nonce == asker.nonce) {
                    askers.push(asker);
                }
                KeyStatus::InProgress
            }
        }
    }

    /// Tells instances that asked for a request how it ended.
    pub(crate) fn tell_askers(&mut self, opened: OpenKey, end: &End, out: &mut Vec<Action>) {
        let askers = std::mem::take(&mut self.requests.open[opened].askers);
        if askers.is_empty() {
            return;
        }
        let token = self.token_of(opened);
        let told = match (end, token) {
            (End::Answered { status, body }, _) => KeyStatus::Answered {
                status: *status,
                body: Some(body.clone()).filter(|body| body.len() <= MAX_TOLD_BODY),
            },
            (End::Streamed { .. } | End::Superseded, Some(token)) => KeyStatus::Streaming { token },
            (End::Streamed { .. } | End::Superseded, None) => KeyStatus::Unknown,
            (End::Refused(refusal), _) => match refusal.outcome {
                Outcome::NotRun => KeyStatus::NotSeen,
                Outcome::Unknown => KeyStatus::Unknown,
                Outcome::Failed => KeyStatus::Failed,
            },
        };
        for asker in askers {
            let body = Body::Told {
                nonce: asker.nonce,
                told: told.clone(),
            };
            self.send(asker.instance, body, out);
        }
    }
}
