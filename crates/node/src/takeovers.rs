//! Streams that change their reader: resume tokens, newer connections, other daemons.

use std::time::Duration;

use ledger::ids::CallId;
use ledger::reassembly::Reassembler;
use ledger::stage::Stage;
use route::phase::Phase;
use route::ticket::Ticket;
use route::ticket::Work;
use wire::Body;

use crate::action::Action;
use crate::action::Outcome;
use crate::action::Reason;
use crate::action::Tell;
use crate::decision::Step;
use crate::node::Node;
use crate::open::Open;
use crate::open::OpenKey;
use crate::open::Place;
use crate::open::Reach;
use crate::open::Targets;
use crate::retries::continue_from;
use crate::token::Token;

/// How far the fence of a takeover lies above the one in its token: above all that the former owner
/// used meanwhile, whatever the clocks of the two say.
pub(crate) const TAKEOVER_STEP: u64 = 1_000;

impl Node {
    /// Tells the present connection the head of the stream, once.
    pub(crate) fn tell_head(&mut self, opened: OpenKey, out: &mut Vec<Action>) {
        let token = self.token_of(opened);
        let entry = &mut self.requests.open[opened];
        let handle = entry.handle();
        match (entry.call, token) {
            (Some(call), Some(token)) if !entry.headed => {
                entry.headed = true;
                out.push(Action::Tell {
                    call,
                    tell: Tell::Head { handle, token },
                });
            }
            _ => (),
        }
    }

    /// The sealed resume token of a stream.
    pub(crate) fn token_of(&self, opened: OpenKey) -> Option<String> {
        let entry = &self.requests.open[opened];
        let place = entry.place?;
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
            replica: place.run,
            pool: entry.pool,
            row: entry.ticket.row,
            customer: entry.customer.clone(),
            fence: entry.fence,
            prompt_tokens,
            max_tokens,
        };
        Some(token.seal(&self.settings.secret))
    }

    pub(crate) fn resumed(
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
            Some(opened) => self.take_over_locally(opened, call, offset, false, out),
            None if !self.replicas.backends.contains_key(&token.replica) => {
                let refusal = self.refusal_elsewhere(Outcome::Unknown, Reason::NoReplica);
                self.refuse(call, customer, refusal, out);
            }
            None => self.adopt(call, &token, offset, out),
        }
    }

    /// Moves an open request to a newer connection of the same caller.
    pub(crate) fn take_over_locally(
        &mut self,
        opened: OpenKey,
        call: CallId,
        offset: u32,
        brings_body: bool,
        out: &mut Vec<Action>,
    ) {
        let entry = &mut self.requests.open[opened];
        if let Some(former) = entry.call.replace(call) {
            self.requests.by_call.remove(&former);
            out.push(Action::Tell {
                call: former,
                tell: Tell::Superseded,
            });
        }
        self.requests.by_call.insert(call, opened);
        entry.origin = brings_body.then_some(call);
        entry.times.left = None;
        entry.headed = false;
        if entry.stage != Stage::Decode {
            entry.sequence = Reassembler::new(offset);
            if entry.stage == Stage::Waiting {
                continue_from(&mut entry.ticket.work, offset);
            }
            return;
        }
        let in_place = entry.order.is_some() && entry.sequence.delivered() == offset;
        self.tell_head(opened, out);
        if !in_place {
            self.attach(opened, offset, out);
        }
    }

    /// Takes over a stream that another daemon, or a former run, began.
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
        let opened = self.insert_adopted(call, token, offset);
        let label = self.requests.open[opened].label();
        let choice = format!("{} at {}", token.handle, self.replica_name(token.replica));
        let reason = format!("resume token, from token {offset}");
        self.log(&label, Step::Adopt, &choice, &reason, out);
        self.tell_head(opened, out);
        self.attach(opened, offset, out);
        self.tell_keeper_adopted(opened, out);
    }

    /// Tells the keeper of a placed request that this daemon owns it.
    pub(crate) fn tell_keeper_adopted(&mut self, opened: OpenKey, out: &mut Vec<Action>) {
        let keeper = self.keeper_of(self.requests.open[opened].pool);
        if let Some(hold) = self.hold_of(opened) {
            self.send(keeper, Body::Adopt(Box::new(hold)), out);
        }
    }

    fn insert_adopted(&mut self, call: CallId, token: &Token, offset: u32) -> OpenKey {
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
            .map_or_else(Targets::none, |brief| brief.targets);
        let opened = self.requests.open.insert(Open {
            stage: Stage::Decode,
            place: Some(Place {
                prefill: None,
                run: token.replica,
            }),
            phase: Some(Phase::Decoding),
            fence: self.unix_ms().max(token.fence + TAKEOVER_STEP),
            sequence: Reassembler::new(offset),
            reach: Reach::Touched,
            targets,
            ..Open::new(call, &token.customer, token.pool, ticket, self.now)
        });
        self.requests.by_handle.insert(token.handle, opened);
        self.requests.by_call.insert(call, opened);
        opened
    }
}
