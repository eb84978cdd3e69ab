//! Answers queries of other instances about keys of this run.

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
use crate::open::End;
use crate::open::OpenId;
use crate::open::WaitingPeer;

/// Maximum length of a body that fits into a frame to another instance.
const MAX_FORWARDED_BODY: usize = wire::MAX_BODY - 1_024;

impl Node {
    /// Answers a peer's query about a key that names this run.
    pub(crate) fn handle_key_query(
        &mut self,
        from: Instance,
        nonce: u64,
        key: &Key,
        out: &mut Vec<Action>,
    ) {
        let told = match self.requests.keys.get(key).cloned() {
            Some(KeyState::Open(open_id)) => self.answer_open(
                open_id,
                WaitingPeer {
                    instance: from,
                    nonce,
                },
            ),
            Some(KeyState::Answered { status, body }) => KeyStatus::Answered { status, body },
            Some(KeyState::Streamed { token }) => KeyStatus::Streaming { token },
            Some(KeyState::Unknown) => KeyStatus::Unknown,
            Some(KeyState::Failed) => KeyStatus::Failed,
            None => self.answer_unseen(key),
        };
        self.send(from, Body::Told { nonce, told }, out);
    }

    /// Returns the answer for a key that is not remembered: only the run that it names can report
    /// that it never ran.
    fn answer_unseen(&self, key: &Key) -> KeyStatus {
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

    fn answer_open(&mut self, open_id: OpenId, peer: WaitingPeer) -> KeyStatus {
        let streams = self.requests.open[open_id].stage == Stage::Decode;
        match self.resume_token(open_id).filter(|_| streams) {
            Some(token) => KeyStatus::Streaming { token },
            None => {
                let waiting_peers = &mut self.requests.open[open_id].waiting_peers;
                if !waiting_peers.iter().any(|other| other.nonce == peer.nonce) {
                    waiting_peers.push(peer);
                }
                KeyStatus::InProgress
            }
        }
    }

    /// Sends the end of a request to the peers that wait for it.
    pub(crate) fn answer_waiting_peers(
        &mut self,
        open_id: OpenId,
        end: &End,
        out: &mut Vec<Action>,
    ) {
        let waiting_peers = std::mem::take(&mut self.requests.open[open_id].waiting_peers);
        if waiting_peers.is_empty() {
            return;
        }
        let token = self.resume_token(open_id);
        let told = match (end, token) {
            (End::Answered { status, body }, _) => KeyStatus::Answered {
                status: *status,
                body: Some(body.clone()).filter(|body| body.len() <= MAX_FORWARDED_BODY),
            },
            (End::Streamed { .. } | End::Superseded, Some(token)) => KeyStatus::Streaming { token },
            (End::Streamed { .. } | End::Superseded, None) => KeyStatus::Unknown,
            (End::Refused(refusal), _) => match refusal.outcome {
                Outcome::NotRun => KeyStatus::NotSeen,
                Outcome::Unknown => KeyStatus::Unknown,
                Outcome::Failed => KeyStatus::Failed,
            },
        };
        for peer in waiting_peers {
            let body = Body::Told {
                nonce: peer.nonce,
                told: told.clone(),
            };
            self.send(peer.instance, body, out);
        }
    }
}
