//! Applies the progress and the end of placed requests.

use ident::Handle;
use ident::Replica;
use ident::Time;

use crate::phase::Phase;
use crate::request::State;
use crate::scheduler::Scheduler;
use crate::server::ReplicaKey;
use crate::server::Server;

impl Scheduler {
    /// Applies a phase that an owner reports.
    pub fn advance(&mut self, now: Time, handle: Handle, phase: Phase) {
        let Some(request) = self.requests.get(&handle) else {
            return;
        };
        match (phase, request.state) {
            (Phase::Prefilled { computed, .. }, State::Prefill) => {
                self.on_prefilled(now, handle, computed);
            }
            (Phase::Rejected, State::Prefill | State::Import | State::Kept) => {
                self.on_rejected(now, handle);
            }
            (Phase::Decoding, State::Prefill | State::Import) => {
                self.leave_state(now, handle, true);
                self.enter_state(now, handle, State::Decode);
            }
            (Phase::Finished { tokens }, state) if state != State::Waiting => {
                self.on_finished(now, handle, tokens);
            }
            (Phase::Gone, _) => self.end_request(now, handle, false),
            _ => (),
        }
    }

    fn on_prefilled(&mut self, now: Time, handle: Handle, computed: u32) {
        let Some(request) = self.requests.get(&handle) else {
            return;
        };
        let row = request.ticket.row;
        let Some(key) = request.prefill else {
            return;
        };
        for block in request.ticket.blocks() {
            self.prefix_index.store(key, *block);
        }
        let ran = self.pool.remove_prefill(now, key, handle);
        if let Some(seconds) = ran.map(|ran| ran.as_secs_f64()).filter(|ran| *ran > 0.0) {
            let rate = f64::from(computed) / seconds;
            self.pool.update(key, |server| server.rate.add(rate));
        }
        if let Some(row_state) = self.row_states.get_mut(&row) {
            row_state.prefills = row_state.prefills.saturating_sub(1);
        }
        self.enter_state(now, handle, State::Import);
    }

    fn on_rejected(&mut self, now: Time, handle: Handle) {
        self.leave_state(now, handle, false);
        self.free_slot(handle);
        self.enter_state(now, handle, State::Kept);
        if !self.rejected.contains(&handle) {
            self.rejected.push_back(handle);
        }
    }

    fn on_finished(&mut self, now: Time, handle: Handle, tokens: u32) {
        if let Some(request) = self.requests.get_mut(&handle) {
            request.tokens = tokens;
        }
        self.end_request(now, handle, true);
    }

    /// Removes a request and releases all that it holds.
    pub(super) fn end_request(&mut self, now: Time, handle: Handle, completed: bool) {
        self.dequeue(now, handle);
        self.leave_state(now, handle, completed);
        self.free_slot(handle);
        let Some(request) = self.requests.remove(&handle) else {
            return;
        };
        match self.row_states.get_mut(&request.ticket.row) {
            Some(row_state) if request.state != State::Waiting => {
                row_state.decodes = row_state.decodes.saturating_sub(1);
            }
            _ => (),
        }
        if request.state != State::Waiting {
            self.displaced = self.displaced.saturating_sub(1);
        }
        self.ended.insert(handle, request.verdict);
    }

    /// Releases everything on a replica that is unreachable or has restarted.
    ///
    /// It gets no new work until its next report. Its requests stay known until their owners report
    /// how they continue.
    pub fn mark_lost(&mut self, now: Time, replica: Replica) {
        let Some(key) = self.pool.key(replica) else {
            return;
        };
        self.prefix_index.remove_replica(key);
        let mut affected: Vec<Handle> = self
            .requests
            .iter()
            .filter(|(_, request)| request.decode == Some(key) || request.prefill == Some(key))
            .map(|(handle, _)| *handle)
            .collect();
        affected.sort_unstable();
        for handle in affected {
            self.detach(now, handle, key);
        }
        self.pool.update(key, Server::clear);
        self.pool.update(key, |server| server.reachable = false);
    }

    /// Releases what a request holds on a lost replica.
    fn detach(&mut self, now: Time, handle: Handle, key: ReplicaKey) {
        let Some(request) = self.requests.get(&handle) else {
            return;
        };
        let state = request.state;
        if state == State::Prefill && request.prefill == Some(key) {
            self.pool.remove_prefill(now, key, handle);
        }
        if request.decode != Some(key) {
            return;
        }
        if state != State::Prefill {
            self.leave_state(now, handle, false);
            self.enter_state(now, handle, State::Kept);
        }
        self.free_slot(handle);
    }
}
