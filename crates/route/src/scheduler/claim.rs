//! What a placed request holds on replicas and counts against its row.

use std::time::Duration;

use ident::Handle;
use ident::Time;

use crate::flow::Flow;
use crate::flow::State;
use crate::link::Path;
use crate::policy::Secured;
use crate::scheduler::Scheduler;
use crate::server::Key;
use crate::ticket::Work;

impl Scheduler {
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

    /// Notes that `handle` runs on `key` alone: a plain call, or a decode whose prefill is over.
    pub(super) fn claim_single(&mut self, now: Time, handle: Handle, key: Key, state: State) {
        self.claim_slot(handle, key);
        self.enter(now, handle, state);
        let row = self.flows.get(&handle).map(|flow| flow.ticket.row);
        if let Some(lane) = row.and_then(|row| self.lanes.get_mut(&row)) {
            lane.decodes += 1;
        }
    }

    /// Claims a slot on `key`.
    pub(super) fn claim_slot(&mut self, handle: Handle, key: Key) {
        let Some(flow) = self.flows.get_mut(&handle) else {
            return;
        };
        flow.decode = Some(key);
        let limit = flow.limit;
        self.pool.update(key, |server| server.claim(limit));
    }

    /// Gives back the slot that `handle` claims; its decode replica is then still to be found.
    pub(super) fn free_slot(&mut self, handle: Handle) {
        let Some(flow) = self.flows.get_mut(&handle) else {
            return;
        };
        let limit = flow.limit;
        if let Some(key) = flow.decode.take() {
            self.pool.update(key, |server| server.unclaim(limit));
            self.stranded += 1;
        }
    }

    /// Moves `handle` to `state`, with the counters that depend on it.
    pub(super) fn enter(&mut self, now: Time, handle: Handle, state: State) {
        let Some(flow) = self.flows.get_mut(&handle) else {
            return;
        };
        flow.state = state;
        flow.since = now;
        let tokens = flow.ticket.prompt_tokens();
        match (state, flow.prefill, flow.decode) {
            (State::Import, Some(prefill), Some(decode)) => {
                let path = self.path(prefill, decode);
                self.links.begin(now, path, handle, tokens);
                self.pool.update(decode, |server| server.arrivals += 1);
            }
            (State::Decode, _, Some(decode)) => self.join(now, handle, decode),
            _ => (),
        }
    }

    /// Undoes what [`Scheduler::enter`] did; `completed` if the state ended as it should.
    pub(super) fn leave(&mut self, now: Time, handle: Handle, completed: bool) {
        let Some(flow) = self.flows.get(&handle) else {
            return;
        };
        let (tokens, since, row) = (flow.ticket.prompt_tokens(), flow.since, flow.ticket.row);
        match (flow.state, flow.prefill, flow.decode) {
            (State::Prefill, Some(prefill), _) => {
                self.pool.pull_job(now, prefill, handle);
                if let Some(lane) = self.lanes.get_mut(&row) {
                    lane.prefills = lane.prefills.saturating_sub(1);
                }
            }
            (State::Import, Some(prefill), Some(decode)) => {
                let path = self.path(prefill, decode);
                self.links
                    .end(now, path, (since, handle, tokens), completed);
                self.pool.update(decode, |server| {
                    server.arrivals = server.arrivals.saturating_sub(1);
                });
            }
            (State::Decode, _, Some(decode)) => self.part(now, handle, decode, completed),
            _ => (),
        }
    }

    /// A request joins the batch of `key`.
    fn join(&mut self, now: Time, handle: Handle, key: Key) {
        let known = self.policy.secured == Secured::Known;
        let step = self.step_time(key);
        self.pool.update(key, |server| server.batch(now, 1));
        let area = self.pool.get(key).area(now);
        let Some(flow) = self.flows.get_mut(&handle) else {
            return;
        };
        flow.area = area;
        flow.end = match flow.ticket.work {
            Work::Model { max_tokens, .. } if known => Some(now + step * max_tokens),
            _ => None,
        };
        self.turnover.begin(handle, flow.end);
    }

    /// Time of one token on `key`.
    fn step_time(&self, key: Key) -> Duration {
        let server = self.pool.get(key);
        Duration::from_secs_f64(self.fit.time(f64::from(server.load())))
    }

    /// A request leaves the batch of `key`.
    fn part(&mut self, now: Time, handle: Handle, key: Key, completed: bool) {
        self.pool.update(key, |server| server.batch(now, -1));
        let area = self.pool.get(key).area(now);
        let Some(flow) = self.flows.get(&handle) else {
            return;
        };
        let stay = now.since(flow.since);
        self.turnover
            .end(handle, flow.end, completed.then_some(stay));
        self.learn_tokens(area, handle, stay);
    }

    /// Learns the time between tokens from a request that generated `flow.tokens` in `stay`.
    fn learn_tokens(&mut self, area: f64, handle: Handle, stay: Duration) {
        let Some(Flow {
            tokens,
            area: joined,
            ..
        }) = self.flows.get(&handle)
        else {
            return;
        };
        let seconds = stay.as_secs_f64();
        if *tokens > 0 && seconds > 0.0 {
            self.fit
                .add((area - joined) / seconds, seconds / f64::from(*tokens));
        }
    }

    fn path(&self, prefill: Key, decode: Key) -> Path {
        (
            self.pool.get(prefill).member.zone,
            self.pool.get(decode).member.zone,
        )
    }
}
