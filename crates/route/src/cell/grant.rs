//! Waiting requests are granted a place or given up.

use std::time::Duration;

use ident::Handle;
use ident::Row;
use ident::Time;

use crate::cell::Cell;
use crate::flow::Flow;
use crate::policy::Ask;
use crate::policy::Pair;
use crate::ticket::Work;
use crate::verdict::Choice;
use crate::verdict::Reason;
use crate::verdict::Verdict;
use crate::verdict::Why;

/// How soon the cell looks again while requests wait for a replica.
const POLL: Duration = Duration::from_millis(10);

impl Cell {
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
        match self.waiting + self.rejected.len() {
            0 => Time::NEVER,
            _ => now + POLL,
        }
    }

    /// Moves requests that miss their target to the late tier, and gives up doomed ones.
    fn expire(&mut self, now: Time) {
        let mut doomed = Vec::new();
        for lane in self.lanes.values_mut() {
            while let Some((order, handle)) = lane.queue.punctual() {
                let Some(flow) = self.flows.get(&handle).filter(|f| now + f.fastest > f.due) else {
                    break;
                };
                lane.queue.demote(order, flow.expiry, handle);
            }
            while let Some((expiry, handle)) = lane.queue.late() {
                if self
                    .flows
                    .get(&handle)
                    .is_none_or(|flow| now + flow.fastest <= expiry)
                {
                    break;
                }
                lane.queue.remove(expiry, expiry, handle);
                self.waiting -= 1;
                doomed.push(handle);
            }
        }
        for handle in doomed {
            self.expel(now, handle, Reason::Doomed);
        }
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
                ..ask(&flow)
            };
            let decode = self.policy.decode;
            let found = decode(&mut self.view(now), &ask);
            let prefill = flow.prefill;
            self.flows.insert(handle, flow);
            match (found, prefill) {
                (Some(decode), Some(prefill)) => self.redirect(now, handle, prefill, decode),
                _ => self.rejected.push_back(handle),
            }
        }
    }

    fn redirect(
        &mut self,
        now: Time,
        handle: Handle,
        prefill: crate::server::Key,
        decode: crate::server::Key,
    ) {
        self.claim_slot(handle, decode);
        self.enter(now, handle, crate::flow::State::Import);
        let choice = Choice::Paired {
            prefill: self.pool.get(prefill).member.replica,
            decode: self.pool.get(decode).member.replica,
        };
        self.answer(handle, choice, Why::default());
    }

    fn answer(&mut self, handle: Handle, choice: Choice, why: Why) {
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
        let Some(handle) = self.next() else {
            return false;
        };
        let Some(flow) = self.flows.remove(&handle) else {
            return false;
        };
        let done = self.place(now, &flow);
        self.flows.insert(handle, flow);
        match done {
            Some(Placed::Pair(pair)) => self.start_pair(now, handle, &pair),
            Some(Placed::Single(key)) => self.start_single(now, handle, key),
            None => return false,
        }
        true
    }

    fn place(&mut self, now: Time, flow: &Flow) -> Option<Placed> {
        let (pair, single) = (self.policy.pair, self.policy.single);
        let ask = ask(flow);
        let mut view = self.view(now);
        match flow.ticket.work {
            Work::Model { .. } => pair(&mut view, &ask).map(Placed::Pair),
            Work::Plain => single(&mut view, &ask).map(Placed::Single),
        }
    }

    /// The request that goes first: by priority, then those on time, then by the rows' shares.
    fn next(&self) -> Option<Handle> {
        let mut best: Option<(Rank, Handle)> = None;
        for lane in self.lanes.values() {
            let punctual = lane.queue.punctual().map(|(_, handle)| (false, handle));
            let head = punctual.or_else(|| lane.queue.late().map(|(_, handle)| (true, handle)));
            let Some((late, handle)) = head else {
                continue;
            };
            let plain = self
                .flows
                .get(&handle)
                .is_some_and(|f| f.ticket.work == Work::Plain);
            if self.policy.secured && !lane.has_room(plain) {
                continue;
            }
            let rank = Rank {
                priority: lane.rule.priority,
                late,
                used: lane.used,
            };
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, handle));
            }
        }
        best.map(|(_, handle)| handle)
    }

    fn start_pair(&mut self, now: Time, handle: Handle, pair: &Pair) {
        let Some((row, waited, ttft)) = self.waits(now, handle, pair.first) else {
            return;
        };
        self.unqueue(handle);
        self.claim_pair(now, handle, pair.prefill, pair.decode, pair.span);
        self.charge(now, row, pair.span.as_secs_f64());
        let why = Why {
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
    }

    fn start_single(&mut self, now: Time, handle: Handle, key: crate::server::Key) {
        let Some((row, waited, _)) = self.waits(now, handle, now) else {
            return;
        };
        self.unqueue(handle);
        self.claim_single(now, handle, key);
        self.charge(now, row, 1.0);
        let why = Why {
            waited,
            queued: self.waiting as u32,
            ..Why::default()
        };
        let choice = Choice::Single {
            replica: self.pool.get(key).member.replica,
        };
        self.answer(handle, choice, why);
    }

    fn waits(&self, now: Time, handle: Handle, first: Time) -> Option<(Row, Duration, Duration)> {
        let flow = self.flows.get(&handle)?;
        Some((
            flow.ticket.row,
            now.since(flow.arrived),
            first.since(flow.arrived),
        ))
    }

    /// Books the cost of one request on its row; a row that was idle starts level with the others.
    fn charge(&mut self, now: Time, row: Row, cost: f64) {
        let level = self
            .lanes
            .values()
            .filter(|lane| lane.queue.len() > 0)
            .map(|lane| lane.used)
            .fold(f64::MAX, f64::min);
        if let Some(lane) = self.lanes.get_mut(&row) {
            let floor = if level < f64::MAX { level } else { lane.used };
            lane.used = lane.used.max(floor) + cost / f64::from(lane.rule.share.max(1));
            lane.grants.add(now, 1.0);
        }
    }
}

/// Order between the heads of the rows; the least goes first.
#[derive(Debug, PartialEq, PartialOrd)]
struct Rank {
    priority: u8,
    late: bool,
    used: f64,
}

enum Placed {
    Pair(Pair),
    Single(crate::server::Key),
}

fn ask(flow: &Flow) -> Ask<'_> {
    Ask {
        ticket: &flow.ticket,
        due: flow.due,
        expiry: flow.expiry,
        fastest: flow.fastest,
        source: flow.ticket.home,
    }
}
