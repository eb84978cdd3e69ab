//! Tickets come in and are queued or refused.

use std::time::Duration;

use ident::Handle;
use ident::Row;
use ident::Time;

use crate::cell::Cell;
use crate::flow::Flow;
use crate::flow::State;
use crate::policy::Ask;
use crate::ticket::Ticket;
use crate::ticket::Work;
use crate::verdict::Choice;
use crate::verdict::Reason;
use crate::verdict::Verdict;
use crate::verdict::Why;

impl Cell {
    /// Queues a request; a repeat of a known handle gets its former verdict again.
    pub fn submit(&mut self, now: Time, ticket: Ticket) {
        let handle = ticket.handle;
        match self.flows.get(&handle) {
            Some(flow) => self.outbox.extend(flow.verdict),
            None if self.memo.contains(handle) => self.outbox.extend(self.memo.verdict(handle)),
            None => self.enqueue(now, ticket),
        }
    }

    fn enqueue(&mut self, now: Time, ticket: Ticket) {
        let row = ticket.row;
        let arrived = now - ticket.waited;
        match self.objection(now, &ticket) {
            Some(reason) => self.refuse(now, ticket.handle, row, reason, now.since(arrived)),
            None => self.insert(now, ticket),
        }
    }

    /// Why a ticket is refused before it is queued.
    fn objection(&mut self, now: Time, ticket: &Ticket) -> Option<Reason> {
        let Some(lane) = self.lanes.get_mut(&ticket.row) else {
            return Some(Reason::UnknownRow);
        };
        if lane.is_shut(ticket.work == Work::Plain) {
            return Some(Reason::Ceiling);
        }
        if ticket.is_retry() && !lane.take_retry(now) {
            return Some(Reason::RetryBudget);
        }
        None
    }

    fn insert(&mut self, now: Time, ticket: Ticket) {
        let arrived = now - ticket.waited;
        let fastest = self.fastest(&ticket);
        let Some(lane) = self.lanes.get_mut(&ticket.row) else {
            return;
        };
        if !ticket.is_retry() {
            lane.count_first(now);
        }
        let due = arrived + lane.rule.ttft;
        let expiry = arrived + lane.rule.max_wait;
        let ask = Ask {
            ticket: &ticket,
            due,
            expiry,
            fastest,
            source: ticket.home,
        };
        let order = (self.policy.order)(&ask);
        let handle = ticket.handle;
        lane.queue.insert(order, handle);
        self.waiting += 1;
        let state = State::Waiting;
        let flow = Flow {
            ticket,
            arrived,
            order,
            due,
            expiry,
            fastest,
            state,
            since: now,
            prefill: None,
            decode: None,
            verdict: None,
        };
        self.flows.insert(handle, flow);
    }

    /// Shortest time to the first token on an idle cell.
    pub(super) fn fastest(&self, ticket: &Ticket) -> Duration {
        let best = self.cache.holders(ticket.blocks()).map(|key| {
            let blocks = ticket.blocks().len().max(1) as f64;
            self.cache.expected(key, ticket.blocks()) / blocks
        });
        let cached = best.fold(0.0, f64::max).min(1.0);
        let tokens = f64::from(ticket.prompt_tokens()) * (1.0 - cached);
        let rate = self
            .pool
            .prefills()
            .next()
            .map_or(self.settings.prefill_rate, |(_, key)| {
                self.pool.get(key).rate.value()
            });
        Duration::from_secs_f64(tokens / rate.max(1.0))
    }

    pub(super) fn refuse(
        &mut self,
        now: Time,
        handle: Handle,
        row: Row,
        reason: Reason,
        waited: Duration,
    ) {
        let retry_after = self.retry_after(now, row);
        let why = Why {
            waited,
            queued: self.waiting as u32,
            ..Why::default()
        };
        let verdict = Verdict {
            handle,
            choice: Choice::Refused {
                reason,
                retry_after,
            },
            why,
        };
        self.outbox.push(verdict);
        self.memo.insert(handle, Some(verdict));
    }

    /// Takes a waiting request out of the queue and refuses it.
    pub(super) fn expel(&mut self, now: Time, handle: Handle, reason: Reason) {
        let Some(flow) = self.flows.get(&handle) else {
            return;
        };
        let (row, waited) = (flow.ticket.row, now.since(flow.arrived));
        self.unqueue(handle);
        self.flows.remove(&handle);
        self.refuse(now, handle, row, reason, waited);
    }

    /// Takes a request out of its row's queue.
    pub(super) fn unqueue(&mut self, handle: Handle) {
        let Some(flow) = self.flows.get(&handle) else {
            return;
        };
        let lane = self.lanes.get_mut(&flow.ticket.row);
        if lane.is_some_and(|lane| lane.queue.remove(flow.order, flow.expiry, handle)) {
            self.waiting -= 1;
        }
    }

    /// Refuses all waiting requests of `row` and forgets it.
    pub(super) fn drop_lane(&mut self, now: Time, row: Row) {
        let mut waiting: Vec<Handle> = self
            .flows
            .values()
            .filter(|flow| flow.ticket.row == row && flow.state == State::Waiting)
            .map(|flow| flow.ticket.handle)
            .collect();
        waiting.sort_unstable();
        for handle in waiting {
            self.expel(now, handle, Reason::UnknownRow);
        }
        self.lanes.remove(&row);
    }
}
