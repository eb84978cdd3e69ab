//! Waiting requests are granted a place.

use std::collections::BTreeMap;
use std::time::Duration;

use ident::Handle;
use ident::Row;
use ident::Time;

use crate::flow::Flow;
use crate::flow::State;
use crate::policy::Ask;
use crate::policy::Pair;
use crate::policy::Secured;
use crate::policy::Wait;
use crate::scheduler::Scheduler;
use crate::server::Key;
use crate::ticket::Work;
use crate::verdict::Choice;
use crate::verdict::DecisionDetails;
use crate::verdict::Verdict;

/// The soonest and the latest time at which the cell looks again while requests wait.
const MIN_POLL: Duration = Duration::from_millis(1);
const MAX_POLL: Duration = Duration::from_millis(20);

/// Where a request goes.
enum Place {
    Pair(Pair),
    Single(Key),
}

/// What one pass over the waiting requests has passed over so far.
#[derive(Debug, Default)]
struct Pass {
    promised: BTreeMap<Key, Duration>,
    kept: Option<Key>,
}

impl Scheduler {
    /// Decides all that can be decided at `now`; answers when it wants to be called next.
    pub fn step(&mut self, now: Time, out: &mut Vec<Verdict>) -> Time {
        self.expire(now);
        if now >= self.grace_end {
            self.rescue(now);
            while self.grant(now) {}
        }
        out.append(&mut self.outbox);
        self.wake(now)
    }

    fn wake(&self, now: Time) -> Time {
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
    fn rescue(&mut self, now: Time) {
        for _ in 0..self.rejected.len() {
            let Some(handle) = self.rejected.pop_front() else {
                return;
            };
            let Some(flow) = self.flows.remove(&handle) else {
                continue;
            };
            let source = flow.prefill.map(|key| self.pool.get(key).member.zone);
            let ask = Ask {
                source: source.unwrap_or(flow.ticket.home),
                ..flow.ask()
            };
            let decode = self.policy.decode;
            let found = decode(&mut self.view(now, &mut BTreeMap::new(), None), &ask);
            let prefill = flow.prefill;
            self.flows.insert(handle, flow);
            match (found, prefill) {
                (Some(decode), Some(prefill)) => self.redirect(now, handle, prefill, decode),
                _ => self.rejected.push_back(handle),
            }
        }
    }

    fn redirect(&mut self, now: Time, handle: Handle, prefill: Key, decode: Key) {
        self.claim_slot(handle, decode);
        self.stranded = self.stranded.saturating_sub(1);
        self.enter(now, handle, State::Import);
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
        if let Some(flow) = self.flows.get_mut(&handle) {
            flow.verdict = Some(verdict);
        }
        self.outbox.push(verdict);
    }

    /// Grants one request; false if none can be granted now.
    fn grant(&mut self, now: Time) -> bool {
        if self.waiting == 0 || self.is_blocked(now) {
            return false;
        }
        let mut pass = Pass::default();
        let Some(first) = self.first() else {
            return false;
        };
        if let Some(granted) = self.consider(now, first, &mut pass) {
            return granted;
        }
        if self.policy.scan == 1 {
            return false;
        }
        for handle in self.ranked(self.policy.scan).into_iter().skip(1) {
            if let Some(granted) = self.consider(now, handle, &mut pass) {
                return granted;
            }
        }
        false
    }

    /// Grants `handle` a place, or says that nobody gets one; none if others may go first.
    fn consider(&mut self, now: Time, handle: Handle, pass: &mut Pass) -> Option<bool> {
        let flow = self.flows.remove(&handle)?;
        let place = self.place(now, &flow, pass);
        self.flows.insert(handle, flow);
        match place {
            Ok(Place::Pair(pair)) if self.misses_target(handle, &pair) => {
                Some(self.demote(now, handle))
            }
            Ok(Place::Pair(pair)) => Some(self.start_pair(now, handle, &pair)),
            Ok(Place::Single(key)) => Some(self.start_single(now, handle, key)),
            Err(Wait::Slot) => Some(false),
            Err(Wait::Batch(key)) => {
                pass.kept = Some(key);
                None
            }
            Err(Wait::Replica) => None,
        }
    }

    /// Whether a request that still counts as punctual would get its first token too late.
    fn misses_target(&self, handle: Handle, pair: &Pair) -> bool {
        let flow = self.flows.get(&handle);
        self.policy.foresight && flow.is_some_and(|flow| !flow.late && pair.first > flow.due)
    }

    /// Whether no replica is near enough to taking work to look at the queue at all.
    fn is_blocked(&self, now: Time) -> bool {
        if self.policy.secured == Secured::Nothing {
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

    fn place(&mut self, now: Time, flow: &Flow, pass: &mut Pass) -> Result<Place, Wait> {
        let (pair, single) = (self.policy.pair, self.policy.single);
        let kept = pass.kept;
        let mut view = self.view(now, &mut pass.promised, kept);
        match flow.ticket.work {
            Work::Model { .. } => pair(&mut view, &flow.ask()).map(Place::Pair),
            Work::Plain => single(&mut view, &flow.ask())
                .map(Place::Single)
                .ok_or(Wait::Replica),
        }
    }

    fn start_pair(&mut self, now: Time, handle: Handle, pair: &Pair) -> bool {
        let Some((row, waited, ttft)) = self.waits(now, handle, pair.first) else {
            return false;
        };
        self.unqueue(now, handle);
        self.claim_pair(now, handle, pair.prefill, pair.decode, pair.span);
        self.pool
            .update(pair.prefill, |server| server.sent_until = pair.first);
        let prefill = pair.span.as_secs_f64() / f64::from(self.pool.open_prefills().max(1));
        let slots = f64::from(self.pool.open_slots().max(1));
        let decode = self.turnover.stay().as_secs_f64() / slots;
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

    fn start_single(&mut self, now: Time, handle: Handle, key: Key) -> bool {
        let Some((row, waited, _)) = self.waits(now, handle, now) else {
            return false;
        };
        self.unqueue(now, handle);
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

    fn waits(&self, now: Time, handle: Handle, first: Time) -> Option<(Row, Duration, Duration)> {
        let flow = self.flows.get(&handle)?;
        Some((
            flow.ticket.row,
            now.since(flow.arrived),
            first.since(flow.arrived),
        ))
    }

    /// Books the cost of one request on its row, in seconds of the whole cell for its share; a row
    /// that was idle starts level with the others.
    fn charge(&mut self, now: Time, row: Row, cost: f64) {
        let level = self.level();
        let shares: u32 = self.lanes.values().map(|lane| lane.rule.share.max(1)).sum();
        if let Some(lane) = self.lanes.get_mut(&row) {
            let floor = if level < f64::MAX { level } else { lane.used };
            let part = f64::from(lane.rule.share.max(1)) / f64::from(shares.max(1));
            lane.used = lane.used.max(floor) + cost / part;
            lane.grants.add(now, 1.0);
        }
    }
}
