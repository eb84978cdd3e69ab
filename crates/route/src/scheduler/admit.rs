//! Admits tickets to the queue or refuses them.

use std::time::Duration;

use ident::Handle;
use ident::Row;
use ident::Time;

use crate::policy::SecuredSlots;
use crate::request::Request;
use crate::request::State;
use crate::scheduler::Scheduler;
use crate::ticket::Ticket;
use crate::ticket::Work;
use crate::verdict::Choice;
use crate::verdict::DecisionDetails;
use crate::verdict::Reason;
use crate::verdict::Verdict;

impl Scheduler {
    /// Queues a request; a repeat of a known handle gets its earlier verdict again.
    pub fn submit(&mut self, now: Time, ticket: Ticket) {
        let handle = ticket.handle;
        match self.requests.get(&handle) {
            Some(request) => self.outbox.extend(request.verdict),
            None if self.ended.contains(handle) => self.outbox.extend(self.ended.verdict(handle)),
            None => self.enqueue(now, ticket),
        }
    }

    fn enqueue(&mut self, now: Time, ticket: Ticket) {
        let row = ticket.row;
        let arrived = now - ticket.waited;
        match self.refusal_reason(now, &ticket) {
            Some(reason) => self.refuse(now, ticket.handle, row, reason, now.since(arrived)),
            None => self.insert(now, ticket),
        }
    }

    /// Why a ticket is refused before it is queued.
    fn refusal_reason(&mut self, now: Time, ticket: &Ticket) -> Option<Reason> {
        let Some(row_state) = self.row_states.get_mut(&ticket.row) else {
            return Some(Reason::UnknownRow);
        };
        if row_state.is_closed(ticket.work == Work::Plain) {
            return Some(Reason::Ceiling);
        }
        if ticket.is_retry() && !row_state.take_retry(now, self.settings.min_retries) {
            return Some(Reason::RetryBudget);
        }
        None
    }

    fn insert(&mut self, now: Time, ticket: Ticket) {
        let request = self.new_request(now, ticket);
        let handle = request.ticket.handle;
        let Some(row_state) = self.row_states.get_mut(&request.ticket.row) else {
            return;
        };
        if !request.ticket.is_retry() {
            row_state.count_first_attempt(now);
        }
        row_state.plain = request.ticket.work == Work::Plain;
        row_state.queue.insert(request.order, handle);
        self.waiting += 1;
        self.requests.insert(handle, request);
    }

    /// The state of a newly submitted request.
    pub(super) fn new_request(&self, now: Time, ticket: Ticket) -> Request {
        let arrived = now - ticket.waited;
        let rule = self
            .row_states
            .get(&ticket.row)
            .map(|row_state| row_state.rule);
        let min_ttft = self.min_ttft(&ticket);
        let mut request = Request {
            due: rule.map_or(arrived, |rule| arrived + rule.ttft),
            expiry: rule.map_or(arrived, |rule| arrived + rule.max_wait),
            max_batch: rule.map_or(u32::MAX, |rule| self.batch_limit(rule.tbt)),
            waste_weight: rule.map_or(1.0, |rule| f64::from(rule.waste_percent.min(100)) / 100.0),
            ticket,
            late: false,
            arrived,
            min_ttft,
            order: arrived,
            state: State::Waiting,
            since: now,
            prefill: None,
            decode: None,
            batch_integral: 0.0,
            end: None,
            tokens: 0,
            verdict: None,
        };
        request.order = (self.policy.order)(&request.criteria());
        request
    }

    /// The largest batch that keeps `tbt` between tokens; unlimited until that is learned.
    fn batch_limit(&self, tbt: Duration) -> u32 {
        match self.policy.secured {
            SecuredSlots::Nothing | SecuredSlots::Free => u32::MAX,
            SecuredSlots::Learned | SecuredSlots::Known => {
                self.token_time.max_batch(tbt.as_secs_f64(), u32::MAX)
            }
        }
    }

    /// Shortest time to the first token in an idle pool.
    fn min_ttft(&self, ticket: &Ticket) -> Duration {
        let best = self.prefix_index.holders(ticket.blocks()).map(|key| {
            let blocks = ticket.blocks().len().max(1) as f64;
            self.prefix_index.expected(key, ticket.blocks()) / blocks
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
        self.ended.insert(handle, Some(verdict));
    }

    /// Removes a request from its row's queue, if it waits there.
    pub(super) fn dequeue(&mut self, now: Time, handle: Handle) {
        let Some(request) = self.requests.get(&handle) else {
            return;
        };
        let Some(row_state) = self.row_states.get_mut(&request.ticket.row) else {
            return;
        };
        let before = row_state.queue.late_len();
        if !row_state
            .queue
            .remove(request.order, request.expiry, handle)
        {
            return;
        }
        self.waiting -= 1;
        if row_state.queue.late_len() < before {
            row_state.late_grants.add(now, 1.0);
        }
    }

    /// Removes `row` and refuses all its waiting requests.
    pub(super) fn remove_row(&mut self, now: Time, row: Row) {
        let mut waiting: Vec<Handle> = self
            .requests
            .values()
            .filter(|request| request.ticket.row == row && request.state == State::Waiting)
            .map(|request| request.ticket.handle)
            .collect();
        waiting.sort_unstable();
        for handle in waiting {
            self.refuse_waiting(now, handle, Reason::UnknownRow);
        }
        self.row_states.remove(&row);
    }
}
