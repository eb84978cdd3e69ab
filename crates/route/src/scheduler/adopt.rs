//! Rebuilds the state of a new keeper from the owners' holds.

use ident::Replica;
use ident::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::phase::Phase;
use crate::replica::Role;
use crate::request::Request;
use crate::request::State;
use crate::scheduler::Scheduler;
use crate::ticket::Ticket;
use crate::verdict::Choice;
use crate::verdict::DecisionDetails;
use crate::verdict::Verdict;

/// A placed request as its owner reports it to a new keeper.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The request.
    pub ticket: Ticket,
    /// The replica that runs or ran the prefill (absent: plain).
    pub prefill: Option<Replica>,
    /// The decode replica (plain: the replica of the call).
    pub decode: Replica,
    /// The last phase that the owner reported; `None` during prefill (plain: in progress).
    pub phase: Option<Phase>,
}

impl Scheduler {
    /// Starts the grace period of a new keeper: nothing is granted until it ends, so that all
    /// owners can report their holds before free slots are counted.
    pub fn begin_takeover(&mut self, now: Time) {
        self.grace_end = now + self.settings.grace;
    }

    /// Ends the grace period early, when every live owner has reported its holds.
    pub fn end_grace(&mut self, now: Time) {
        self.grace_end = self.grace_end.min(now);
    }

    /// Adopts a placed request from its owner after a change of keeper.
    ///
    /// The first one starts the grace period if [`Scheduler::begin_takeover`] was not called.
    pub fn adopt(&mut self, now: Time, hold: &Hold) {
        let handle = hold.ticket.handle;
        if self.grace_end == Time::ZERO {
            self.begin_takeover(now);
        }
        if self.requests.contains_key(&handle) || self.ended.contains(handle) {
            return;
        }
        let Some(decode) = self.pool.key(hold.decode) else {
            return;
        };
        let prefill = hold.prefill.and_then(|replica| self.pool.key(replica));
        let request = self.adopted_request(now, hold);
        let prefill_time = request.min_ttft;
        self.requests.insert(handle, request);
        if let Some(row_state) = self.row_states.get_mut(&hold.ticket.row) {
            row_state.count_first_attempt(now);
        }
        match (self.pool.get(decode).member.role, prefill) {
            (Role::Plain, _) => self.claim_single(now, handle, decode, State::Plain),
            (_, Some(prefill)) => self.claim_pair(now, handle, prefill, decode, prefill_time),
            (_, None) => self.claim_single(now, handle, decode, State::Decode),
        }
        if let Some(phase) = hold.phase {
            self.advance(now, handle, phase);
        }
    }

    fn adopted_request(&self, now: Time, hold: &Hold) -> Request {
        let choice = match hold.prefill {
            Some(prefill) => Choice::Paired {
                prefill,
                decode: hold.decode,
            },
            None => Choice::Single {
                replica: hold.decode,
            },
        };
        let verdict = Verdict {
            handle: hold.ticket.handle,
            choice,
            why: DecisionDetails::default(),
        };
        Request {
            verdict: Some(verdict),
            ..self.new_request(now, hold.ticket.clone())
        }
    }
}
