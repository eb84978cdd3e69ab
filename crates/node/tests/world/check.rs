//! Promises that are checked at the replicas, and whether everything has settled.

use std::time::Duration;

use ident::Time;

use super::Figures;
use super::QUIET;
use super::World;
use super::callers::State;
use super::item::Arriving;
use super::plan::CHAOS_MS;

/// Added to stated bounds, for ways and timers of the world.
pub const SLACK: Duration = Duration::from_millis(500);
/// Seconds after which a drained replica gets nothing new.
const DRAIN_BOUND: Duration = Duration::from_secs(5);

impl World {
    /// New work reaches a replica.
    pub(super) fn check_new_work(&mut self, arriving: &Arriving) {
        if let Some((call, caller)) = arriving.origin {
            self.callers[caller].touched = true;
            self.conns
                .entry(call)
                .and_modify(|conn| conn.touched = true);
        }
        let engine = &self.engines[arriving.engine];
        let late = engine
            .drained
            .filter(|since| self.now > *since + DRAIN_BOUND);
        if let Some(since) = late {
            let late = self.now.since(since).as_millis();
            let (name, host) = (engine.name.clone(), arriving.ticket.host);
            self.violate(format!(
                "{name} gets new work of entry-{host}, {late} ms after it was drained"
            ));
        }
    }

    /// Looks whether everything has settled, and demands it once all was well for long enough.
    pub(super) fn look(&mut self) -> bool {
        let Some(pending) = self.pending() else {
            return true;
        };
        let end = Time::from_millis(CHAOS_MS.into()) + QUIET;
        if self.now > end {
            self.violate(format!("not settled: {pending}"));
        }
        false
    }

    /// What has not settled yet.
    fn pending(&self) -> Option<String> {
        let hosts = (0..self.hosts.len()).find_map(|host| self.pending_host(host));
        let callers = || {
            let trying = self.callers.iter();
            let mut trying = trying.enumerate();
            trying
                .find(|(_, caller)| caller.state == State::Trying)
                .map(|(index, caller)| format!("caller {index} still tries: {caller:?}"))
        };
        let operators = || {
            let pending = self.operators.iter().find(|operator| !operator.over);
            pending.map(|operator| format!("edit {} has no end", operator.edit.id))
        };
        let engines = || {
            let holding = self.engines.iter().find(|engine| engine.held() > 0);
            holding.map(|engine| format!("{} holds {:?}", engine.name, engine.works))
        };
        hosts.or_else(callers).or_else(operators).or_else(engines)
    }

    fn pending_host(&self, host: usize) -> Option<String> {
        let slot = &self.hosts[host];
        let Some(core) = &slot.core else {
            return Some(format!("entry-{host} is down"));
        };
        let status = core.status(slot.local(self.now));
        let generation = self.store.table.generation;
        let placed: usize = status
            .pools
            .iter()
            .map(|pool| pool.waiting + pool.placed)
            .sum();
        match () {
            () if slot.stopping => Some(format!("entry-{host} does not finish: {status:?}")),
            () if status.generation != generation => {
                Some(format!("entry-{host} has not generation {generation}"))
            }
            () if status.open > 0 || status.holds > 0 || placed > 0 => {
                Some(format!("entry-{host} has not settled: {status:?}"))
            }
            () => None,
        }
    }

    pub(super) fn figures(&self, items: u64) -> Figures {
        let complete = self
            .callers
            .iter()
            .filter(|caller| caller.state == State::Complete)
            .count();
        let without = |caller: &&super::Caller| matches!(caller.state, State::Without(_));
        Figures {
            items,
            complete,
            without: self.callers.iter().filter(without).count(),
            digest: self.digest,
            settled_ms: self.now.as_millis(),
        }
    }
}
