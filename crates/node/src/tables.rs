//! The table in force, and reads of the store.
//!
//! One poller per data centre reads the generation from the store; daemons exchange their
//! generations and the age of their proofs. An edit is reported as accepted only after its commit
//! and after a majority of the listed instances confirmed its generation. A daemon is up to date
//! for one lease after a read of the store, or after questions that a majority answered. Any two
//! majorities share an instance, so no decision uses an older generation later than one lease after
//! acceptance; without contact to the store and the majority, a daemon stops deciding within the
//! lease.

use std::time::Duration;

use ident::Instance;
use ledger::ids::QueryId;
use table::Table;
use table::view::OfferResult;
use wire::Body;

use crate::action::Action;
use crate::action::StoreRequest;
use crate::decision::Step;
use crate::event::StoreReply;
use crate::node::Node;
use crate::rows::Rows;

/// Timeout of a read of the store.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Key that selects the poller of a data centre.
const POLLER_KEY: u64 = 0x706f_6c6c;

impl Node {
    /// Reads the generation if this daemon is the poller of its data centre or has no recent proof.
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
            let request = if self.tables.view.table().is_none() {
                StoreRequest::Table
            } else {
                StoreRequest::Generation
            };
            self.read_store(request, out);
        }
    }

    pub(crate) fn read_store(&mut self, request: StoreRequest, out: &mut Vec<Action>) {
        let query = self.new_query();
        self.tables.sync.pending_read = Some((query, self.now));
        out.push(Action::Query { query, request });
    }

    /// Handles a reply of the store.
    pub(crate) fn handle_store_reply(
        &mut self,
        query: QueryId,
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
                self.tables.view.record_generation(generation);
                if self.tables.view.is_behind() {
                    self.read_store(StoreRequest::Table, out);
                } else {
                    self.record_proof(since);
                }
            }
            StoreReply::Table(table) => {
                self.tables.view.record_generation(table.generation);
                self.apply_table(*table, out);
                self.record_proof(since);
            }
            _ => (),
        }
    }

    pub(crate) fn apply_table(&mut self, table: Table, out: &mut Vec<Action>) {
        let generation = table.generation;
        if self.tables.view.offer(self.now, table) == OfferResult::Accepted {
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
                .is_some_and(|table| table.is_instance_draining(&self.settings.name));
            self.lifecycle.draining_since =
                marked.then(|| self.lifecycle.draining_since.unwrap_or(self.now));
            self.refresh_schedulers();
            self.send_table_status(out);
        }
    }

    pub(crate) fn send_table(&mut self, from: Instance, out: &mut Vec<Action>) {
        if let Some(table) = self.tables.view.table().cloned() {
            self.send(from, Body::Push(Box::new(table)), out);
        }
    }
}
