//! Streams that get another reader: a newer connection, or another daemon with a resume token.

use std::time::Duration;

use ledger::ids::CallId;
use ledger::reassembly::Reassembler;
use ledger::stage::Stage;
use route::phase::Phase;
use route::ticket::Ticket;
use route::ticket::Work;
use wire::Body;

use crate::action::Action;
use crate::action::CallerMessage;
use crate::action::Outcome;
use crate::action::Reason;
use crate::decision::Step;
use crate::node::Node;
use crate::open::OpenId;
use crate::open::OpenRequest;
use crate::open::Placement;
use crate::open::Reach;
use crate::open::Targets;
use crate::retries::continue_from;
use crate::token::Token;

/// Minimum distance of an adopter's fence above the one in the token, so that it exceeds all fences
/// that the former owner has used since, even with skewed clocks.
pub(crate) const TAKEOVER_STEP: u64 = 1_000;

impl Node {
    /// Sends the head of the stream on the current connection, once.
    pub(crate) fn send_head(&mut self, open_id: OpenId, out: &mut Vec<Action>) {
        let token = self.resume_token(open_id);
        let entry = &mut self.requests.open[open_id];
        let handle = entry.handle();
        match (entry.call, token) {
            (Some(call), Some(token)) if !entry.head_sent => {
                entry.head_sent = true;
                out.push(Action::SendToCaller {
                    call,
                    message: CallerMessage::Head { handle, token },
                });
            }
            _ => (),
        }
    }

    /// Returns the sealed resume token of a stream.
    pub(crate) fn resume_token(&self, open_id: OpenId) -> Option<String> {
        let entry = &self.requests.open[open_id];
        let placement = entry.placement?;
        let Work::Model {
            prompt_tokens,
            max_tokens,
            ..
        } = entry.ticket.work
        else {
            return None;
        };
        let token = Token {
            handle: entry.handle(),
            replica: placement.serving,
            pool: entry.pool,
            row: entry.ticket.row,
            customer: entry.customer.clone(),
            fence: entry.fence,
            prompt_tokens,
            max_tokens,
        };
        Some(token.seal(&self.settings.secret))
    }

    pub(crate) fn handle_resume(
        &mut self,
        call: CallId,
        customer: &str,
        text: &str,
        offset: u32,
        out: &mut Vec<Action>,
    ) {
        let token = Token::open(text, &self.settings.secret);
        let Some(token) = token.filter(|token| token.customer == customer) else {
            let refusal = Self::refusal(Outcome::NotRun, Reason::BadToken, Duration::ZERO);
            return self.refuse(call, customer, refusal, out);
        };
        match self.requests.by_handle.get(&token.handle).copied() {
            Some(open_id) => self.move_to_connection(open_id, call, offset, false, out),
            None if !self.replicas.listed.contains_key(&token.replica) => {
                let refusal = self.refusal_elsewhere(Outcome::Unknown, Reason::NoReplica);
                self.refuse(call, customer, refusal, out);
            }
            None => self.adopt(call, &token, offset, out),
        }
    }

    /// Moves an open request to a newer connection of the same caller.
    pub(crate) fn move_to_connection(
        &mut self,
        open_id: OpenId,
        call: CallId,
        offset: u32,
        brings_body: bool,
        out: &mut Vec<Action>,
    ) {
        let entry = &mut self.requests.open[open_id];
        if let Some(former) = entry.call.replace(call) {
            self.requests.by_call.remove(&former);
            out.push(Action::SendToCaller {
                call: former,
                message: CallerMessage::Superseded,
            });
        }
        self.requests.by_call.insert(call, open_id);
        entry.body_call = brings_body.then_some(call);
        entry.times.disconnected = None;
        entry.head_sent = false;
        if entry.stage != Stage::Decode {
            entry.reassembler = Reassembler::new(offset);
            if entry.stage == Stage::Waiting {
                continue_from(&mut entry.ticket.work, offset);
            }
            return;
        }
        let in_place = entry.order.is_some() && entry.reassembler.delivered() == offset;
        self.send_head(open_id, out);
        if !in_place {
            self.attach(open_id, offset, out);
        }
    }

    /// Adopts a stream that another daemon or a former run started.
    pub(crate) fn adopt(
        &mut self,
        call: CallId,
        token: &Token,
        offset: u32,
        out: &mut Vec<Action>,
    ) {
        if self.requests.open.len() >= self.settings.max_open {
            let refusal = self.refusal_elsewhere(Outcome::NotRun, Reason::Full);
            return self.refuse(call, &token.customer, refusal, out);
        }
        let open_id = self.insert_adopted(call, token, offset);
        let label = self.requests.open[open_id].label();
        let choice = format!("{} at {}", token.handle, self.replica_name(token.replica));
        let reason = format!("resume token, from token {offset}");
        self.log(&label, Step::Adopt, &choice, &reason, out);
        self.send_head(open_id, out);
        self.attach(open_id, offset, out);
        self.notify_keeper(open_id, out);
    }

    /// Reports the ownership of a placed request to its keeper.
    pub(crate) fn notify_keeper(&mut self, open_id: OpenId, out: &mut Vec<Action>) {
        let keeper = self.keeper_of(self.requests.open[open_id].pool);
        if let Some(hold) = self.hold_of(open_id) {
            self.send(keeper, Body::Adopt(Box::new(hold)), out);
        }
    }

    fn insert_adopted(&mut self, call: CallId, token: &Token, offset: u32) -> OpenId {
        let work = Work::Model {
            prompt_tokens: token.prompt_tokens,
            max_tokens: token.max_tokens,
            blocks: Vec::new(),
            done_tokens: 0,
        };
        let ticket = Ticket::new(token.handle, token.row, work, self.settings.zone);
        let targets = self
            .tables
            .rows
            .get(token.row)
            .map_or_else(Targets::none, |summary| summary.targets);
        let open_id = self.requests.open.insert(OpenRequest {
            stage: Stage::Decode,
            placement: Some(Placement {
                prefill: None,
                serving: token.replica,
            }),
            phase: Some(Phase::Decoding),
            fence: self.unix_ms().max(token.fence + TAKEOVER_STEP),
            reassembler: Reassembler::new(offset),
            reach: Reach::MayHaveReached,
            targets,
            ..OpenRequest::new(call, &token.customer, token.pool, ticket, self.now)
        });
        self.requests.by_handle.insert(token.handle, open_id);
        self.requests.by_call.insert(call, open_id);
        open_id
    }
}
