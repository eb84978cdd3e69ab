//! The table in force here, and reads of the store.
//!
//! One poller a data centre reads the generation from the store; daemons ask each other which
//! generation they hold and how old their proof is. An edit is accepted, and its operator told so,
//! only after it was committed and a majority of the listed instances noted its generation. A
//! daemon counts as up to date for one lease from a read of the store, or from questions that a
//! majority answered. Any two majorities share an instance, so no decision under an older
//! generation comes later than one lease after acceptance; cut off from the store and from the
//! majority, a daemon stops deciding within the lease.

use std::time::Duration;

use ident::Instance;
use ledger::ids::QueryId;
use table::Table;
use table::view::Offer;
use wire::Body;

use crate::action::Action;
use crate::action::Ask;
use crate::decision::Step;
use crate::event::Stored;
use crate::node::Node;
use crate::rows::Rows;

/// Pause after which an unanswered read of the store is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// What the poller of a data centre is chosen by.
const POLLER: u64 = 0x706f_6c6c;

impl Node {
    /// Reads the generation if this daemon polls for its data centre, or has no fresh proof.
    pub(crate) fn poll(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        self.timers.poll = now + self.settings.poll_every;
        let waiting = self
            .tables
            .desk
            .reading
            .is_some_and(|(_, since)| now < since + READ_TIMEOUT);
        let poller = self.members.fleet.owner_in(self.settings.zone, POLLER);
        let mine = poller.is_none_or(|poller| poller == self.settings.instance);
        let stale = self
            .tables
            .view
            .age(now)
            .is_none_or(|age| age * 2 > self.settings.lease);
        if !waiting && (mine || stale) {
            let ask = if self.tables.view.table().is_none() {
                Ask::Table
            } else {
                Ask::Generation
            };
            self.read(ask, out);
        }
    }

    pub(crate) fn read(&mut self, ask: Ask, out: &mut Vec<Action>) {
        let query = self.query();
        self.tables.desk.reading = Some((query, self.now));
        out.push(Action::Query { query, ask });
    }

    /// The store answered.
    pub(crate) fn stored(&mut self, query: QueryId, outcome: Stored, out: &mut Vec<Action>) {
        let recorded = matches!(outcome, Stored::Recorded);
        if self.recorded(query, recorded) || self.looked_up(query, &outcome, out) {
            return;
        }
        let edition = self
            .tables
            .desk
            .editions
            .iter()
            .find(|(_, edition)| edition.commit == query);
        if let Some(number) = edition.map(|(number, _)| *number) {
            return self.committed(number, outcome, out);
        }
        let reading = self
            .tables
            .desk
            .reading
            .take_if(|(reading, _)| *reading == query);
        let Some((_, since)) = reading else {
            return;
        };
        match outcome {
            Stored::Generation { generation } => {
                self.tables.view.announce(generation);
                if self.tables.view.behind() {
                    self.read(Ask::Table, out);
                } else {
                    self.prove(since);
                }
            }
            Stored::Table(table) => {
                self.tables.view.announce(table.generation);
                self.take_table(*table, out);
                self.prove(since);
            }
            _ => (),
        }
    }

    pub(crate) fn take_table(&mut self, table: Table, out: &mut Vec<Action>) {
        let generation = table.generation;
        if self.tables.view.offer(self.now, table) == Offer::Taken {
            let name = self.settings.name.clone();
            let choice = format!("generation {generation}");
            self.log(&name, Step::Table, &choice, "in force here", out);
            self.tables.rows = self
                .tables
                .view
                .table()
                .map_or_else(Rows::new, Rows::with_table);
            let marked = self
                .tables
                .view
                .table()
                .is_some_and(|table| table.drains_instance(&self.settings.name));
            self.life.drained = marked.then(|| self.life.drained.unwrap_or(self.now));
            self.refresh_cells();
            self.tell_news(out);
        }
    }

    pub(crate) fn pulled(&mut self, from: Instance, out: &mut Vec<Action>) {
        if let Some(table) = self.tables.view.table().cloned() {
            self.send(from, Body::Push(Box::new(table)), out);
        }
    }
}
