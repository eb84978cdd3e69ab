//! What a placed request holds on replicas and counts against its row.

use std::time::Duration;

use ident::Handle;
use ident::Time;

use crate::cell::Cell;
use crate::flow::State;
use crate::server::Key;

impl Cell {
    /// Notes that `handle` was given to `prefill` and claims a slot on `decode`.
    pub(super) fn claim_pair(
        &mut self,
        now: Time,
        handle: Handle,
        prefill: Key,
        decode: Key,
        span: Duration,
    ) {
        self.pool.push_job(now, prefill, handle, span);
        self.claim_slot(handle, decode);
        let Some(flow) = self.flows.get_mut(&handle) else {
            return;
        };
        flow.prefill = Some(prefill);
        flow.state = State::Prefill;
        flow.since = now;
        if let Some(lane) = self.lanes.get_mut(&flow.ticket.row) {
            lane.prefills += 1;
            lane.decodes += 1;
        }
    }

    /// Notes that the plain call `handle` was given to `key`.
    pub(super) fn claim_single(&mut self, now: Time, handle: Handle, key: Key) {
        self.claim_slot(handle, key);
        let Some(flow) = self.flows.get_mut(&handle) else {
            return;
        };
        flow.state = State::Plain;
        flow.since = now;
        if let Some(lane) = self.lanes.get_mut(&flow.ticket.row) {
            lane.decodes += 1;
        }
    }

    /// Claims a slot on `key`.
    pub(super) fn claim_slot(&mut self, handle: Handle, key: Key) {
        self.pool.update(key, |server| {
            server.claims += 1;
            server.sent += 1;
        });
        if let Some(flow) = self.flows.get_mut(&handle) {
            flow.decode = Some(key);
        }
    }

    /// Gives back the slot that `handle` claims.
    pub(super) fn free_slot(&mut self, handle: Handle) {
        let claimed = self
            .flows
            .get_mut(&handle)
            .and_then(|flow| flow.decode.take());
        if let Some(key) = claimed {
            self.pool.update(key, |server| {
                server.claims = server.claims.saturating_sub(1);
            });
        }
    }

    /// Moves `handle` to `state`, with the counters that depend on it.
    pub(super) fn enter(&mut self, now: Time, handle: Handle, state: State) {
        self.leave(now, handle, false);
        let Some(flow) = self.flows.get_mut(&handle) else {
            return;
        };
        flow.state = state;
        flow.since = now;
        let (prefill, decode) = (flow.prefill, flow.decode);
        let tokens = flow.ticket.prompt_tokens();
        if let (State::Import, Some(prefill), Some(decode)) = (state, prefill, decode) {
            let pair = self.pair_of(prefill, decode);
            self.links.begin(pair, tokens);
        }
    }

    /// Undoes the counters of the state that `handle` is in; `completed` if it did what it was for.
    pub(super) fn leave(&mut self, now: Time, handle: Handle, completed: bool) {
        let Some(flow) = self.flows.get(&handle) else {
            return;
        };
        let tokens = flow.ticket.prompt_tokens();
        let took = now.since(flow.since);
        match (flow.state, flow.prefill, flow.decode) {
            (State::Prefill, Some(prefill), _) => {
                self.pool.pull_job(now, prefill, handle);
                if let Some(lane) = self.lanes.get_mut(&flow.ticket.row) {
                    lane.prefills = lane.prefills.saturating_sub(1);
                }
            }
            (State::Import, Some(prefill), Some(decode)) => {
                let pair = self.pair_of(prefill, decode);
                self.links.end(pair, tokens, completed.then_some(took));
            }
            _ => (),
        }
    }
}
