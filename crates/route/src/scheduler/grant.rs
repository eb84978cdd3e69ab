//! Grants waiting requests their replicas.

use std::collections::BTreeMap;
use std::time::Duration;

use ident::Handle;
use ident::Row;
use ident::Time;

use crate::policy::Criteria;
use crate::policy::Pair;
use crate::policy::SecuredSlots;
use crate::policy::WaitReason;
use crate::request::Request;
use crate::request::State;
use crate::scheduler::Scheduler;
use crate::server::ReplicaKey;
use crate::ticket::Work;
use crate::verdict::Choice;
use crate::verdict::DecisionDetails;
use crate::verdict::Verdict;

/// Shortest and longest time until the next step while requests wait.
const MIN_POLL: Duration = Duration::from_millis(1);
const MAX_POLL: Duration = Duration::from_millis(20);

/// Where a request is placed.
enum Placement {
    Pair(Pair),
    Single(ReplicaKey),
}

/// Reservations of requests skipped so far in one pass over the queue.
#[derive(Debug, Default)]
struct Pass {
    deferred_prefills: BTreeMap<ReplicaKey, Duration>,
    reserved_decode: Option<ReplicaKey>,
}

impl Scheduler {
    /// Makes all decisions possible at `now`; returns when the next step is due.
    pub fn step(&mut self, now: Time, out: &mut Vec<Verdict>) -> Time {
        self.expire(now);
        if now >= self.grace_end {
            self.replace_decodes(now);
            while self.grant(now) {}
        }
        out.append(&mut self.outbox);
        self.next_step(now)
    }

    fn next_step(&self, now: Time) -> Time {
        if self.waiting + self.rejected.len() == 0 {
            return Time::NEVER;
        }
        let ready = self
            .pool
            .prefills()
            .next()
            .map_or(Time::NEVER, |(ready, _)| ready);
        let ready = ready - self.settings.prefill_lead;
        ready.clamp(now + MIN_POLL, now + MAX_POLL)
    }

    /// Finds another decode replica for prefill results that lost theirs.
    fn replace_decodes(&mut self, now: Time) {
        for _ in 0..self.rejected.len() {
            let Some(handle) = self.rejected.pop_front() else {
                return;
            };
            let Some(request) = self.requests.remove(&handle) else {
                continue;
            };
            let source = request.prefill.map(|key| self.pool.get(key).member.zone);
            let criteria = Criteria {
                source: source.unwrap_or(request.ticket.home),
                ..request.criteria()
            };
            let decode = self.policy.decode;
            let found = decode(&mut self.view(now, &mut BTreeMap::new(), None), &criteria);
            let prefill = request.prefill;
            self.requests.insert(handle, request);
            match (found, prefill) {
                (Some(decode), Some(prefill)) => self.redirect(now, handle, prefill, decode),
                _ => self.rejected.push_back(handle),
            }
        }
    }

    fn redirect(&mut self, now: Time, handle: Handle, prefill: ReplicaKey, decode: ReplicaKey) {
        self.claim_slot(handle, decode);
        self.displaced = self.displaced.saturating_sub(1);
        self.enter_state(now, handle, State::Import);
        let choice = Choice::Paired {
            prefill: self.pool.get(prefill).member.replica,
            decode: self.pool.get(decode).member.replica,
        };
        self.answer(handle, choice, DecisionDetails::default());
    }

    fn answer(&mut self, handle: Handle, choice: Choice, why: DecisionDetails) {
        let verdict = Verdict {
            handle,
            choice,
            why,
        };
        if let Some(request) = self.requests.get_mut(&handle) {
            request.verdict = Some(verdict);
        }
        self.outbox.push(verdict);
    }

    /// Grants one request; returns false if none can be granted now.
    fn grant(&mut self, now: Time) -> bool {
        if self.waiting == 0 || self.is_blocked(now) {
            return false;
        }
        let mut pass = Pass::default();
        let Some(first) = self.first_waiting() else {
            return false;
        };
        if let Some(granted) = self.try_grant(now, first, &mut pass) {
            return granted;
        }
        if self.policy.scan_limit == 1 {
            return false;
        }
        for handle in self
            .waiting_in_order(self.policy.scan_limit)
            .into_iter()
            .skip(1)
        {
            if let Some(granted) = self.try_grant(now, handle, &mut pass) {
                return granted;
            }
        }
        false
    }

    /// Grants `handle` a placement; `Some(false)` blocks the queue, `None` lets others go first.
    fn try_grant(&mut self, now: Time, handle: Handle, pass: &mut Pass) -> Option<bool> {
        let request = self.requests.remove(&handle)?;
        let place = self.place(now, &request, pass);
        self.requests.insert(handle, request);
        match place {
            Ok(Placement::Pair(pair)) if self.misses_target(handle, &pair) => {
                Some(self.demote(now, handle))
            }
            Ok(Placement::Pair(pair)) => Some(self.start_pair(now, handle, &pair)),
            Ok(Placement::Single(key)) => Some(self.start_single(now, handle, key)),
            Err(WaitReason::Slot) => Some(false),
            Err(WaitReason::Batch(key)) => {
                pass.reserved_decode = Some(key);
                None
            }
            Err(WaitReason::Replica) => None,
        }
    }

    /// Whether the first token of an on-time request would miss its target.
    fn misses_target(&self, handle: Handle, pair: &Pair) -> bool {
        let request = self.requests.get(&handle);
        self.policy.refuse_early
            && request.is_some_and(|request| !request.late && pair.first_token > request.due)
    }

    /// Whether no prefill replica is ready within the lead time and no plain replica is open, so that
    /// the queue need not be read.
    fn is_blocked(&self, now: Time) -> bool {
        if self.policy.secured == SecuredSlots::Nothing {
            return false;
        }
        let horizon = now + self.settings.prefill_lead;
        let prefill = self
            .pool
            .prefills()
            .next()
            .is_some_and(|(ready, _)| ready <= horizon);
        let plain = self.pool.plains().next().is_some();
        !prefill && !plain
    }

    fn place(
        &mut self,
        now: Time,
        request: &Request,
        pass: &mut Pass,
    ) -> Result<Placement, WaitReason> {
        let (pair, single) = (self.policy.pair, self.policy.single);
        let reserved_decode = pass.reserved_decode;
        let mut view = self.view(now, &mut pass.deferred_prefills, reserved_decode);
        match request.ticket.work {
            Work::Model { .. } => pair(&mut view, &request.criteria()).map(Placement::Pair),
            Work::Plain => single(&mut view, &request.criteria())
                .map(Placement::Single)
                .ok_or(WaitReason::Replica),
        }
    }

    fn start_pair(&mut self, now: Time, handle: Handle, pair: &Pair) -> bool {
        let Some((row, waited, ttft)) = self.timing(now, handle, pair.first_token) else {
            return false;
        };
        self.dequeue(now, handle);
        self.claim_pair(now, handle, pair.prefill, pair.decode, pair.prefill_time);
        self.pool.update(pair.prefill, |server| {
            server.transfers_end = pair.first_token;
        });
        let prefill = pair.prefill_time.as_secs_f64() / f64::from(self.pool.open_prefills().max(1));
        let slots = f64::from(self.pool.open_slots().max(1));
        let decode = self.turnover.hold_time().as_secs_f64() / slots;
        self.charge(now, row, prefill.max(decode));
        let why = DecisionDetails {
            candidates: pair.candidates,
            waited,
            ttft,
            queued: self.waiting as u32,
            cached_blocks: pair.cached as u32,
        };
        let choice = Choice::Paired {
            prefill: self.pool.get(pair.prefill).member.replica,
            decode: self.pool.get(pair.decode).member.replica,
        };
        self.answer(handle, choice, why);
        true
    }

    fn start_single(&mut self, now: Time, handle: Handle, key: ReplicaKey) -> bool {
        let Some((row, waited, _)) = self.timing(now, handle, now) else {
            return false;
        };
        self.dequeue(now, handle);
        self.claim_single(now, handle, key, State::Plain);
        self.charge(
            now,
            row,
            1.0 / f64::from(self.pool.get(key).member.slots.max(1)),
        );
        let why = DecisionDetails {
            waited,
            queued: self.waiting as u32,
            ..DecisionDetails::default()
        };
        let choice = Choice::Single {
            replica: self.pool.get(key).member.replica,
        };
        self.answer(handle, choice, why);
        true
    }

    fn timing(
        &self,
        now: Time,
        handle: Handle,
        first_token: Time,
    ) -> Option<(Row, Duration, Duration)> {
        let request = self.requests.get(&handle)?;
        Some((
            request.ticket.row,
            now.since(request.arrived),
            first_token.since(request.arrived),
        ))
    }

    /// Adds the cost of one request, in seconds of the whole pool, to the row's virtual time. A row
    /// that was idle starts level with the others.
    fn charge(&mut self, now: Time, row: Row, cost: f64) {
        let min_virtual_time = self.min_virtual_time();
        let shares: u32 = self
            .row_states
            .values()
            .map(|row_state| row_state.rule.share.max(1))
            .sum();
        if let Some(row_state) = self.row_states.get_mut(&row) {
            let floor = if min_virtual_time < f64::MAX {
                min_virtual_time
            } else {
                row_state.virtual_time
            };
            let share = f64::from(row_state.rule.share.max(1)) / f64::from(shares.max(1));
            row_state.virtual_time = row_state.virtual_time.max(floor) + cost / share;
            row_state.grants.add(now, 1.0);
        }
    }
}
