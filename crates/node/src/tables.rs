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
use ledger::ids::Query;
use table::Table;
use table::view::Offer;
use wire::Body;

use crate::action::Action;
use crate::action::StoreRequest;
use crate::decision::Step;
use crate::event::StoreReply;
use crate::node::Node;
use crate::rows::Rows;

/// Pause after which an unanswered read of the store is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// What the poller of a data centre is chosen by.
const POLLER_KEY: u64 = 0x706f_6c6c;

impl Node {
    /// Reads the generation if this daemon polls for its data centre, or has no fresh proof.
    pub(crate) fn poll(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        self.timers.poll = now + self.settings.poll_every;
        let waiting = self
            .tables
            .sync
            .pending_read
            .is_some_and(|(_, since)| now < since + READ_TIMEOUT);
        let poller = self.members.fleet.owner_in(self.settings.zone, POLLER_KEY);
        let mine = poller.is_none_or(|poller| poller == self.settings.instance);
        let stale = self
            .tables
            .view
            .age(now)
            .is_none_or(|age| age * 2 > self.settings.lease);
        if !waiting && (mine || stale) {
            let ask = if self.tables.view.table().is_none() {
                StoreRequest::Table
            } else {
                StoreRequest::Generation
            };
            self.read_store(ask, out);
        }
    }

    pub(crate) fn read_store(&mut self, ask: StoreRequest, out: &mut Vec<Action>) {
        let query = self.new_query();
        self.tables.sync.pending_read = Some((query, self.now));
        out.push(Action::Query {
            query,
            request: ask,
        });
    }

    /// The store answered.
    pub(crate) fn handle_store_reply(
        &mut self,
        query: Query,
        outcome: StoreReply,
        out: &mut Vec<Action>,
    ) {
        let recorded = matches!(outcome, StoreReply::Recorded);
        if self.outcomes_written(query, recorded) || self.handle_lookup_reply(query, &outcome, out)
        {
            return;
        }
        let pending = self
            .tables
            .sync
            .pending_edits
            .iter()
            .find(|(_, pending)| pending.commit == query);
        if let Some(number) = pending.map(|(number, _)| *number) {
            return self.handle_commit(number, outcome, out);
        }
        let pending_read = self
            .tables
            .sync
            .pending_read
            .take_if(|(pending_read, _)| *pending_read == query);
        let Some((_, since)) = pending_read else {
            return;
        };
        match outcome {
            StoreReply::Generation { generation } => {
                self.tables.view.announce(generation);
                if self.tables.view.behind() {
                    self.read_store(StoreRequest::Table, out);
                } else {
                    self.record_proof(since);
                }
            }
            StoreReply::Table(table) => {
                self.tables.view.announce(table.generation);
                self.apply_table(*table, out);
                self.record_proof(since);
            }
            _ => (),
        }
    }

    pub(crate) fn apply_table(&mut self, table: Table, out: &mut Vec<Action>) {
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
            self.lifecycle.drained = marked.then(|| self.lifecycle.drained.unwrap_or(self.now));
            self.refresh_cells();
            self.send_news(out);
        }
    }

    pub(crate) fn send_table(&mut self, from: Instance, out: &mut Vec<Action>) {
        if let Some(table) = self.tables.view.table().cloned() {
            self.send(from, Body::Push(Box::new(table)), out);
        }
    }
}
