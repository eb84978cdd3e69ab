//! Placed requests go on, end, or are taken over from another keeper.

use ident::Handle;
use ident::Replica;
use ident::Time;

use crate::cell::Cell;
use crate::flow::Flow;
use crate::flow::State;
use crate::phase::Phase;
use crate::replica::Role;
use crate::ticket::Ticket;
use crate::verdict::Choice;
use crate::verdict::Verdict;
use crate::verdict::Why;

/// A placed request as its owner knows it, told to a new keeper.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
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

impl Cell {
    /// Takes in what an owner reports about a request.
    pub fn advance(&mut self, now: Time, handle: Handle, phase: Phase) {
        let Some(flow) = self.flows.get(&handle) else {
            return;
        };
        match (phase, flow.state) {
            (Phase::Prefilled { computed, cached }, State::Prefill) => {
                self.prefilled(now, handle, computed, cached);
            }
            (Phase::Rejected, State::Prefill | State::Import) => self.rejected(now, handle),
            (Phase::Decoding, State::Prefill | State::Import | State::Kept) => {
                self.leave(now, handle, true);
                self.set_state(now, handle, State::Decode);
            }
            (Phase::Finished { tokens }, state) if state != State::Waiting => {
                self.learn_length(handle, tokens);
                self.end(now, handle);
            }
            (Phase::Gone, _) => self.end(now, handle),
            _ => (),
        }
    }

    fn set_state(&mut self, now: Time, handle: Handle, state: State) {
        if let Some(flow) = self.flows.get_mut(&handle) {
            flow.state = state;
            flow.since = now;
        }
    }

    fn prefilled(&mut self, now: Time, handle: Handle, computed: u32, _cached: u32) {
        let Some(flow) = self.flows.get(&handle) else {
            return;
        };
        let Some(key) = flow.prefill else {
            return;
        };
        let ran = self.pool.pull_job(now, key, handle);
        if let Some(seconds) = ran.map(|ran| ran.as_secs_f64()).filter(|ran| *ran > 0.0) {
            let rate = f64::from(computed) / seconds;
            self.pool.update(key, |server| server.rate.add(rate));
        }
        for block in self
            .flows
            .get(&handle)
            .map_or(&[][..], |flow| flow.ticket.blocks())
        {
            self.cache.store(key, *block);
        }
        self.enter(now, handle, State::Import);
    }

    fn rejected(&mut self, now: Time, handle: Handle) {
        self.enter(now, handle, State::Kept);
        self.free_slot(handle);
        self.rejected.push_back(handle);
    }

    fn learn_length(&mut self, handle: Handle, tokens: u32) {
        let row = self.flows.get(&handle).map(|flow| flow.ticket.row);
        if let Some(lane) = row.and_then(|row| self.lanes.get_mut(&row)) {
            lane.length.add(f64::from(tokens));
        }
    }

    /// Forgets a request and all that it holds.
    pub(super) fn end(&mut self, now: Time, handle: Handle) {
        self.unqueue(handle);
        self.leave(now, handle, false);
        self.free_slot(handle);
        let Some(flow) = self.flows.remove(&handle) else {
            return;
        };
        match self.lanes.get_mut(&flow.ticket.row) {
            Some(lane) if flow.state != State::Waiting => {
                lane.decodes = lane.decodes.saturating_sub(1);
            }
            _ => (),
        }
        self.memo.insert(handle, flow.verdict);
    }

    /// Takes over a placed request from its owner after the keeper moved.
    ///
    /// The first one starts a grace period in which nothing is granted, so that all owners can
    /// report before free slots are counted.
    pub fn adopt(&mut self, now: Time, hold: &Hold) {
        let handle = hold.ticket.handle;
        if self.grace_end == Time::ZERO {
            self.grace_end = now + self.settings.grace;
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
        match (self.pool.get(decode).member.role, prefill) {
            (Role::Plain, _) => self.claim_single(now, handle, decode),
            (_, Some(prefill)) => self.claim_pair(now, handle, prefill, decode, span),
            (_, None) => self.claim_slot(handle, decode),
        }
        if let Some(phase) = hold.phase {
            self.advance(now, handle, phase);
        }
    }

    fn adopted(&self, now: Time, hold: &Hold) -> Flow {
        let arrived = now - hold.ticket.waited;
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
            why: Why::default(),
        };
        Flow {
            fastest: self.fastest(&hold.ticket),
            ticket: hold.ticket.clone(),
            arrived,
            order: arrived,
            due: arrived,
            expiry: arrived,
            state: State::Decode,
            since: now,
            prefill: None,
            decode: None,
            verdict: Some(verdict),
        }
    }

    /// Forgets what ran on a replica that is unreachable or has rebooted.
    ///
    /// It gets no new work until its next report. Its requests stay known until their owners
    /// report how they go on.
    pub fn lost(&mut self, now: Time, replica: Replica) {
        let Some(key) = self.pool.key(replica) else {
            return;
        };
        self.cache.forget(key);
        let mut hit: Vec<Handle> = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.decode == Some(key) || flow.prefill == Some(key))
            .map(|(handle, _)| *handle)
            .collect();
        hit.sort_unstable();
        for handle in hit {
            self.detach(now, handle, key);
        }
        self.pool.clear(key);
        self.pool.update(key, |server| server.reachable = false);
    }

    fn detach(&mut self, now: Time, handle: Handle, key: crate::server::Key) {
        let Some(flow) = self.flows.get(&handle) else {
            return;
        };
        if flow.state == State::Prefill && flow.prefill == Some(key) {
            self.pool.pull_job(now, key, handle);
        }
        if flow.decode == Some(key) {
            self.free_slot(handle);
        }
    }
}
