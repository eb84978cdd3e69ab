//! The table in force here, and reads of the store.
//!
//! One poller a data centre reads the generation from the store; daemons ask each other which
//! generation they hold and how old their proof is. An edit is accepted, and its operator told so,
//! only after it was committed and a majority of the listed instances noted its generation. A
//! daemon counts as up to date for one lease from a read of the store, or from questions that a
//! majority answered. Any two majorities share an instance, so no decision under an older
//! generation comes later than one lease after acceptance; cut off from the store and from the
//! majority, a daemon stops deciding within the lease.

use std::collections::BTreeMap;
use std::time::Duration;

use ident::Instance;
use ident::Time;
use ledger::ids::Query;
use table::Table;
use table::view::Offer;
use wire::Body;

use crate::action::Action;
use crate::action::Ask;
use crate::decision::Step;
use crate::edits::Edition;
use crate::event::Stored;
use crate::node::Node;
use crate::rows::Rows;

/// Pause after which an unanswered read of the store is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// What the poller of a data centre is chosen by.
const POLLER: u64 = 0x706f_6c6c;

/// What this daemon does about the table.
#[derive(Debug)]
pub(crate) struct Desk {
    reading: Option<(Query, Time)>,
    /// When the store was last proved to hold this generation, here or by whoever told.
    pub(crate) proved: Option<Time>,
    /// What each instance last told.
    pub(crate) told: BTreeMap<Instance, Heard>,
    pub(crate) editions: BTreeMap<u64, Edition>,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Heard {
    pub(crate) generation: u64,
    pub(crate) at: Time,
    pub(crate) settled: Option<Time>,
}

impl Desk {
    pub(crate) const fn new() -> Self {
        Self {
            reading: None,
            proved: None,
            told: BTreeMap::new(),
            editions: BTreeMap::new(),
        }
    }

    /// Whether the store was proved to hold nothing newer at or after `since`.
    pub(crate) fn proved_since(&self, since: Time) -> bool {
        self.proved.is_some_and(|proved| proved >= since)
    }

    /// How long ago the store was last proved to hold nothing newer.
    pub(crate) fn store_age(&self, now: Time) -> Option<Duration> {
        self.proved.map(|proved| now.since(proved))
    }

    pub(crate) fn generation_told(&self, instance: Instance) -> Option<u64> {
        self.told.get(&instance).map(|heard| heard.generation)
    }
}

impl Node {
    /// Reads the generation if this daemon polls for its data centre, or has no fresh proof.
    pub(crate) fn poll(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        self.timers.poll = now + self.settings.poll_every;
        let waiting = self
            .desk
            .reading
            .is_some_and(|(_, since)| now < since + READ_TIMEOUT);
        let poller = self.fleet.owner_in(self.settings.zone, POLLER);
        let mine = poller.is_none_or(|poller| poller == self.settings.instance);
        let stale = self
            .view
            .age(now)
            .is_none_or(|age| age * 2 > self.settings.lease);
        if !waiting && (mine || stale) {
            let ask = if self.view.table().is_none() {
                Ask::Table
            } else {
                Ask::Generation
            };
            self.read(ask, out);
        }
    }

    pub(crate) fn read(&mut self, ask: Ask, out: &mut Vec<Action>) {
        let query = self.query();
        self.desk.reading = Some((query, self.now));
        out.push(Action::Query { query, ask });
    }

    /// The store answered.
    pub(crate) fn stored(&mut self, query: Query, outcome: Stored, out: &mut Vec<Action>) {
        let recorded = matches!(outcome, Stored::Recorded);
        if self.recorded(query, recorded) || self.looked_up(query, &outcome, out) {
            return;
        }
        let edition = self
            .desk
            .editions
            .iter()
            .find(|(_, edition)| edition.commit == query);
        if let Some(number) = edition.map(|(number, _)| *number) {
            return self.committed(number, outcome, out);
        }
        let reading = self.desk.reading.take_if(|(reading, _)| *reading == query);
        let Some((_, since)) = reading else {
            return;
        };
        match outcome {
            Stored::Generation { generation } => {
                self.view.announce(generation);
                if self.view.behind() {
                    self.read(Ask::Table, out);
                } else {
                    self.prove(since);
                }
            }
            Stored::Table(table) => {
                self.view.announce(table.generation);
                self.take_table(*table, out);
                self.prove(since);
            }
            _ => (),
        }
    }

    pub(crate) fn take_table(&mut self, table: Table, out: &mut Vec<Action>) {
        let generation = table.generation;
        if self.view.offer(self.now, table) == Offer::Taken {
            let name = self.settings.name.clone();
            let choice = format!("generation {generation}");
            self.log(&name, Step::Table, &choice, "in force here", out);
            self.rows = self.view.table().map_or_else(Rows::new, Rows::with_table);
            let marked = self
                .view
                .table()
                .is_some_and(|table| table.drains_instance(&self.settings.name));
            self.drained = marked.then(|| self.drained.unwrap_or(self.now));
            self.refresh_cells();
            self.tell_news(out);
        }
    }

    pub(crate) fn pulled(&mut self, from: Instance, out: &mut Vec<Action>) {
        if let Some(table) = self.view.table().cloned() {
            self.send(from, Body::Push(Box::new(table)), out);
        }
    }
}
