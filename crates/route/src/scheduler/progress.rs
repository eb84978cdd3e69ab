//! Placed requests go on and end.

use ident::Handle;
use ident::Replica;
use ident::Time;

use crate::flow::State;
use crate::phase::Phase;
use crate::scheduler::Scheduler;
use crate::server::Key;
use crate::server::Server;

impl Scheduler {
    /// Takes in what an owner reports about a request.
    pub fn advance(&mut self, now: Time, handle: Handle, phase: Phase) {
        let Some(flow) = self.flows.get(&handle) else {
            return;
        };
        match (phase, flow.state) {
            (Phase::Prefilled { computed, .. }, State::Prefill) => {
                self.prefilled(now, handle, computed);
            }
            (Phase::Rejected, State::Prefill | State::Import | State::Kept) => {
                self.rejected(now, handle);
            }
            (Phase::Decoding, State::Prefill | State::Import) => {
                self.leave(now, handle, true);
                self.enter(now, handle, State::Decode);
            }
            (Phase::Finished { tokens }, state) if state != State::Waiting => {
                self.finished(now, handle, tokens);
            }
            (Phase::Gone, _) => self.end(now, handle, false),
            _ => (),
        }
    }

    fn prefilled(&mut self, now: Time, handle: Handle, computed: u32) {
        let Some(flow) = self.flows.get(&handle) else {
            return;
        };
        let row = flow.ticket.row;
        let Some(key) = flow.prefill else {
            return;
        };
        for block in flow.ticket.blocks() {
            self.cache.store(key, *block);
        }
        let ran = self.pool.pull_job(now, key, handle);
        if let Some(seconds) = ran.map(|ran| ran.as_secs_f64()).filter(|ran| *ran > 0.0) {
            let rate = f64::from(computed) / seconds;
            self.pool.update(key, |server| server.rate.add(rate));
        }
        if let Some(lane) = self.lanes.get_mut(&row) {
            lane.prefills = lane.prefills.saturating_sub(1);
        }
        self.enter(now, handle, State::Import);
    }

    fn rejected(&mut self, now: Time, handle: Handle) {
        self.leave(now, handle, false);
        self.free_slot(handle);
        self.enter(now, handle, State::Kept);
        if !self.rejected.contains(&handle) {
            self.rejected.push_back(handle);
        }
    }

    fn finished(&mut self, now: Time, handle: Handle, tokens: u32) {
        if let Some(flow) = self.flows.get_mut(&handle) {
            flow.tokens = tokens;
        }
        self.end(now, handle, true);
    }

    /// Forgets a request and all that it holds.
    pub(super) fn end(&mut self, now: Time, handle: Handle, completed: bool) {
        self.unqueue(now, handle);
        self.leave(now, handle, completed);
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
        if flow.state != State::Waiting {
            self.stranded = self.stranded.saturating_sub(1);
        }
        self.memo.insert(handle, flow.verdict);
    }

    /// Forgets what ran on a replica that is unreachable or has rebooted.
    ///
    /// It gets no new work until its next report. Its requests stay known until their owners
    /// report how they go on.
    pub fn mark_lost(&mut self, now: Time, replica: Replica) {
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
        self.pool.update(key, Server::clear);
        self.pool.update(key, |server| server.reachable = false);
    }

    /// Takes a request off a lost replica.
    fn detach(&mut self, now: Time, handle: Handle, key: Key) {
        let Some(flow) = self.flows.get(&handle) else {
            return;
        };
        let state = flow.state;
        if state == State::Prefill && flow.prefill == Some(key) {
            self.pool.pull_job(now, key, handle);
        }
        if flow.decode != Some(key) {
            return;
        }
        if state != State::Prefill {
            self.leave(now, handle, false);
            self.enter(now, handle, State::Kept);
        }
        self.free_slot(handle);
    }
}
