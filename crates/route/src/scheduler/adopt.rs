//! A new keeper rebuilds its state from the owners' holds.

use ident::Replica;
use ident::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::flow::Flow;
use crate::flow::State;
use crate::phase::Phase;
use crate::replica::Role;
use crate::scheduler::Scheduler;
use crate::ticket::Ticket;
use crate::verdict::Choice;
use crate::verdict::DecisionDetails;
use crate::verdict::Verdict;

/// A placed request as its owner knows it, told to a new keeper.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The request.
    pub ticket: Ticket,
    /// The replica that runs or ran the prefill (absent: plain).
    pub prefill: Option<Replica>,
    /// The decode replica (plain: the replica of the call).
    pub decode: Replica,
    /// The last phase that the owner reported; none while in prefill (plain: in progress).
    pub phase: Option<Phase>,
}

impl Scheduler {
    /// Starts the work of a new keeper: nothing is granted until the grace period ends, so that all
    /// owners can report their holds before free slots are counted.
    pub fn begin_takeover(&mut self, now: Time) {
        self.grace_end = now + self.settings.grace;
    }

    /// Ends the grace period early: every live owner has reported its holds.
    pub fn end_grace(&mut self, now: Time) {
        self.grace_end = self.grace_end.min(now);
    }

    /// Takes over a placed request from its owner after the keeper moved.
    ///
    /// The first one starts the grace period of [`Scheduler::begin_takeover`] if that was not called.
    pub fn adopt(&mut self, now: Time, hold: &Hold) {
        let handle = hold.ticket.handle;
        if self.grace_end == Time::ZERO {
            self.begin_takeover(now);
        }
        if self.flows.contains_key(&handle) || self.memo.contains(handle) {
            return;
        }
        let Some(decode) = self.pool.key(hold.decode) else {
            return;
        };
        let prefill = hold.prefill.and_then(|replica| self.pool.key(replica));
        let flow = self.adopted(now, hold);
        let span = flow.fastest;
        self.flows.insert(handle, flow);
        if let Some(lane) = self.lanes.get_mut(&hold.ticket.row) {
            lane.count_first(now);
        }
        match (self.pool.get(decode).member.role, prefill) {
            (Role::Plain, _) => self.claim_single(now, handle, decode, State::Plain),
            (_, Some(prefill)) => self.claim_pair(now, handle, prefill, decode, span),
            (_, None) => self.claim_single(now, handle, decode, State::Decode),
        }
        if let Some(phase) = hold.phase {
            self.advance(now, handle, phase);
        }
    }

    fn adopted(&self, now: Time, hold: &Hold) -> Flow {
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
        Flow {
            verdict: Some(verdict),
            ..self.flow(now, hold.ticket.clone())
        }
    }
}
