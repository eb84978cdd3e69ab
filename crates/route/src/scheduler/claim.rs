//! Claims of placed requests on replicas and against their rows.

use std::time::Duration;

use ident::Handle;
use ident::Time;

use crate::link::Path;
use crate::policy::SecuredSlots;
use crate::request::Request;
use crate::request::State;
use crate::scheduler::Scheduler;
use crate::server::ReplicaKey;
use crate::ticket::Work;

impl Scheduler {
    /// Queues the prefill of `handle` on `prefill` and claims a slot on `decode`.
    pub(super) fn claim_pair(
        &mut self,
        now: Time,
        handle: Handle,
        prefill: ReplicaKey,
        decode: ReplicaKey,
        prefill_time: Duration,
    ) {
        self.pool.push_prefill(now, prefill, handle, prefill_time);
        self.claim_slot(handle, decode);
        let Some(request) = self.requests.get_mut(&handle) else {
            return;
        };
        request.prefill = Some(prefill);
        request.state = State::Prefill;
        request.since = now;
        if let Some(row_state) = self.row_states.get_mut(&request.ticket.row) {
            row_state.prefills += 1;
            row_state.decodes += 1;
        }
    }

    /// Claims a slot on `key` alone, for a plain call or a decode whose prefill has ended.
    pub(super) fn claim_single(
        &mut self,
        now: Time,
        handle: Handle,
        key: ReplicaKey,
        state: State,
    ) {
        self.claim_slot(handle, key);
        self.enter_state(now, handle, state);
        let row = self.requests.get(&handle).map(|request| request.ticket.row);
        if let Some(row_state) = row.and_then(|row| self.row_states.get_mut(&row)) {
            row_state.decodes += 1;
        }
    }

    /// Claims a slot on `key` for `handle`.
    pub(super) fn claim_slot(&mut self, handle: Handle, key: ReplicaKey) {
        let Some(request) = self.requests.get_mut(&handle) else {
            return;
        };
        request.decode = Some(key);
        let max_batch = request.max_batch;
        self.pool.update(key, |server| server.claim(max_batch));
    }

    /// Releases the slot that `handle` claims; the request then needs another decode replica.
    pub(super) fn free_slot(&mut self, handle: Handle) {
        let Some(request) = self.requests.get_mut(&handle) else {
            return;
        };
        let max_batch = request.max_batch;
        if let Some(key) = request.decode.take() {
            self.pool
                .update(key, |server| server.release_claim(max_batch));
            self.displaced += 1;
        }
    }

    /// Moves `handle` to `state` and updates the counters that depend on it.
    pub(super) fn enter_state(&mut self, now: Time, handle: Handle, state: State) {
        let Some(request) = self.requests.get_mut(&handle) else {
            return;
        };
        request.state = state;
        request.since = now;
        let tokens = request.ticket.prompt_tokens();
        match (state, request.prefill, request.decode) {
            (State::Import, Some(prefill), Some(decode)) => {
                let path = self.transfer_path(prefill, decode);
                self.links.begin(now, path, handle, tokens);
                self.pool.update(decode, |server| server.incoming += 1);
            }
            (State::Decode, _, Some(decode)) => self.join_batch(now, handle, decode),
            _ => (),
        }
    }

    /// Reverses [`Scheduler::enter_state`]; `completed` if the state ended normally.
    pub(super) fn leave_state(&mut self, now: Time, handle: Handle, completed: bool) {
        let Some(request) = self.requests.get(&handle) else {
            return;
        };
        let (tokens, since, row) = (
            request.ticket.prompt_tokens(),
            request.since,
            request.ticket.row,
        );
        match (request.state, request.prefill, request.decode) {
            (State::Prefill, Some(prefill), _) => {
                self.pool.remove_prefill(now, prefill, handle);
                if let Some(row_state) = self.row_states.get_mut(&row) {
                    row_state.prefills = row_state.prefills.saturating_sub(1);
                }
            }
            (State::Import, Some(prefill), Some(decode)) => {
                let path = self.transfer_path(prefill, decode);
                self.links
                    .end(now, path, (since, handle, tokens), completed);
                self.pool.update(decode, |server| {
                    server.incoming = server.incoming.saturating_sub(1);
                });
            }
            (State::Decode, _, Some(decode)) => self.leave_batch(now, handle, decode, completed),
            _ => (),
        }
    }

    /// Adds a request to the batch of `key`.
    fn join_batch(&mut self, now: Time, handle: Handle, key: ReplicaKey) {
        let known = self.policy.secured == SecuredSlots::Known;
        let step = self.expected_token_time(key);
        self.pool.update(key, |server| server.change_batch(now, 1));
        let batch_integral = self.pool.get(key).batch_integral(now);
        let Some(request) = self.requests.get_mut(&handle) else {
            return;
        };
        request.batch_integral = batch_integral;
        request.end = match request.ticket.work {
            Work::Model { max_tokens, .. } if known => Some(now + step * max_tokens),
            _ => None,
        };
        self.turnover.begin(handle, request.end);
    }

    /// Expected time for one token on `key`.
    fn expected_token_time(&self, key: ReplicaKey) -> Duration {
        let server = self.pool.get(key);
        Duration::from_secs_f64(self.token_time.time(f64::from(server.load())))
    }

    /// Removes a request from the batch of `key`.
    fn leave_batch(&mut self, now: Time, handle: Handle, key: ReplicaKey, completed: bool) {
        self.pool.update(key, |server| server.change_batch(now, -1));
        let batch_integral = self.pool.get(key).batch_integral(now);
        let Some(request) = self.requests.get(&handle) else {
            return;
        };
        let hold_time = now.since(request.since);
        self.turnover
            .end(handle, request.end, completed.then_some(hold_time));
        self.learn_token_time(batch_integral, handle, hold_time);
    }

    /// Learns the time between tokens from a request that generated `tokens` in `hold_time`.
    fn learn_token_time(&mut self, batch_integral: f64, handle: Handle, hold_time: Duration) {
        let Some(Request {
            tokens,
            batch_integral: joined,
            ..
        }) = self.requests.get(&handle)
        else {
            return;
        };
        let seconds = hold_time.as_secs_f64();
        if *tokens > 0 && seconds > 0.0 {
            self.token_time.add(
                (batch_integral - joined) / seconds,
                seconds / f64::from(*tokens),
            );
        }
    }

    fn transfer_path(&self, prefill: ReplicaKey, decode: ReplicaKey) -> Path {
        (
            self.pool.get(prefill).member.zone,
            self.pool.get(decode).member.zone,
        )
    }
}
