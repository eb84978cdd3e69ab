//! Checks promises at the replicas, and whether the simulation has settled.

use std::time::Duration;

use ident::Time;

use super::SETTLE_TIME;
use super::Simulation;
use super::Summary;
use super::callers::State;
use super::plan::FAULTS_END_MS;
use super::sim_event::ArrivingOrder;

/// Margin on documented bounds, for delays and timers of the simulation.
pub const SLACK: Duration = Duration::from_millis(500);
/// Time after which a drained replica gets no new work.
const DRAIN_BOUND: Duration = Duration::from_secs(5);

impl Simulation {
    /// Checks that new work does not reach a drained replica, and marks the request as received.
    pub(super) fn check_new_work(&mut self, arriving: &ArrivingOrder) {
        if let Some((call, caller)) = arriving.origin {
            self.callers[caller].reached_replica = true;
            self.conns
                .entry(call)
                .and_modify(|conn| conn.reached_replica = true);
        }
        let engine = &self.engines[arriving.engine];
        let late = engine
            .drained_since
            .filter(|since| self.now > *since + DRAIN_BOUND);
        if let Some(since) = late {
            let late = self.now.since(since).as_millis();
            let (name, daemon) = (engine.name.clone(), arriving.ticket.daemon);
            self.record_violation(format!(
                "{name} gets new work of entry-{daemon}, {late} ms after it was drained"
            ));
        }
    }

    /// Returns whether everything has settled, as it must `SETTLE_TIME` after the last fault.
    pub(super) fn check_settled(&mut self) -> bool {
        let Some(pending) = self.unsettled() else {
            return true;
        };
        let end = Time::from_millis(FAULTS_END_MS.into()) + SETTLE_TIME;
        if self.now > end {
            self.record_violation(format!("not settled: {pending}"));
        }
        false
    }

    /// Describes the first thing found that has not settled.
    fn unsettled(&self) -> Option<String> {
        let daemons = (0..self.daemons.len()).find_map(|daemon| self.unsettled_daemon(daemon));
        let callers = || {
            let trying = self.callers.iter();
            let mut trying = trying.enumerate();
            trying
                .find(|(_, caller)| caller.state == State::Trying)
                .map(|(index, caller)| format!("caller {index} still tries: {caller:?}"))
        };
        let operators = || {
            let pending = self.operators.iter().find(|operator| !operator.finished);
            pending.map(|operator| format!("edit {} has no verdict", operator.edit.id))
        };
        let engines = || {
            let holding = self
                .engines
                .iter()
                .find(|engine| engine.works_in_memory() > 0);
            holding.map(|engine| format!("{} holds {:?}", engine.name, engine.works))
        };
        daemons.or_else(callers).or_else(operators).or_else(engines)
    }

    fn unsettled_daemon(&self, daemon: usize) -> Option<String> {
        let entry = &self.daemons[daemon];
        let Some(core) = &entry.core else {
            return Some(format!("entry-{daemon} is down"));
        };
        let status = core.status(entry.local(self.now));
        let generation = self.store.table.generation;
        let placed: usize = status
            .pools
            .iter()
            .map(|pool| pool.waiting + pool.placed)
            .sum();
        match () {
            () if entry.stopping => Some(format!("entry-{daemon} does not finish: {status:?}")),
            () if status.generation != generation => {
                Some(format!("entry-{daemon} has not generation {generation}"))
            }
            () if status.open > 0 || status.holds > 0 || placed > 0 => {
                Some(format!("entry-{daemon} has not settled: {status:?}"))
            }
            () => None,
        }
    }

    pub(super) fn summary(&self, events: u64) -> Summary {
        let complete = self
            .callers
            .iter()
            .filter(|caller| caller.state == State::Complete)
            .count();
        let without = |caller: &&super::Caller| matches!(caller.state, State::NoAnswer(_));
        Summary {
            events,
            complete,
            without_answer: self.callers.iter().filter(without).count(),
            digest: self.digest,
            settled_ms: self.now.as_millis(),
        }
    }
}
