//! Tickets come in and are queued or refused.

use std::time::Duration;

use ident::Handle;
use ident::Row;
use ident::Time;

use crate::flow::Flow;
use crate::flow::State;
use crate::policy::Secured;
use crate::scheduler::Scheduler;
use crate::ticket::Ticket;
use crate::ticket::Work;
use crate::verdict::Choice;
use crate::verdict::DecisionDetails;
use crate::verdict::Reason;
use crate::verdict::Verdict;

impl Scheduler {
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
        if ticket.is_retry() && !lane.take_retry(now, self.settings.min_retries) {
            return Some(Reason::RetryBudget);
        }
        None
    }

    fn insert(&mut self, now: Time, ticket: Ticket) {
        let flow = self.flow(now, ticket);
        let handle = flow.ticket.handle;
        let Some(lane) = self.lanes.get_mut(&flow.ticket.row) else {
            return;
        };
        if !flow.ticket.is_retry() {
            lane.count_first(now);
        }
        lane.plain = flow.ticket.work == Work::Plain;
        lane.queue.insert(flow.order, handle);
        self.waiting += 1;
        self.flows.insert(handle, flow);
    }

    /// A request that has just come in.
    pub(super) fn flow(&self, now: Time, ticket: Ticket) -> Flow {
        let arrived = now - ticket.waited;
        let rule = self.lanes.get(&ticket.row).map(|lane| lane.rule);
        let fastest = self.fastest(&ticket);
        let mut flow = Flow {
            due: rule.map_or(arrived, |rule| arrived + rule.ttft),
            expiry: rule.map_or(arrived, |rule| arrived + rule.max_wait),
            limit: rule.map_or(u32::MAX, |rule| self.batch_limit(rule.tbt)),
            thrift: rule.map_or(1.0, |rule| f64::from(rule.waste_percent.min(100)) / 100.0),
            ticket,
            late: false,
            arrived,
            fastest,
            order: arrived,
            state: State::Waiting,
            since: now,
            prefill: None,
            decode: None,
            area: 0.0,
            end: None,
            tokens: 0,
            verdict: None,
        };
        flow.order = (self.policy.order)(&flow.ask());
        flow
    }

    /// The largest batch that keeps `tbt` between tokens; no limit until that is learned.
    fn batch_limit(&self, tbt: Duration) -> u32 {
        match self.policy.secured {
            Secured::Nothing | Secured::Free => u32::MAX,
            Secured::Learned | Secured::Known => self.fit.limit(tbt.as_secs_f64(), u32::MAX),
        }
    }

    /// Shortest time to the first token on an idle cell.
    fn fastest(&self, ticket: &Ticket) -> Duration {
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
        let prefill = Duration::from_secs_f64(tokens / rate.max(1.0));
        prefill + self.links.typical(ticket.prompt_tokens())
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
        let why = DecisionDetails {
            waited,
            queued: self.waiting as u32,
            ..DecisionDetails::default()
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

    /// Takes a request out of its row's queue, if it waits there.
    pub(super) fn unqueue(&mut self, now: Time, handle: Handle) {
        let Some(flow) = self.flows.get(&handle) else {
            return;
        };
        let Some(lane) = self.lanes.get_mut(&flow.ticket.row) else {
            return;
        };
        let before = lane.queue.late_len();
        if !lane.queue.remove(flow.order, flow.expiry, handle) {
            return;
        }
        self.waiting -= 1;
        if lane.queue.late_len() < before {
            lane.late_grants.add(now, 1.0);
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
