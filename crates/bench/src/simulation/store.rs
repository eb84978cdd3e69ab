//! Models the platform's store.

use node::action::StoreRequest;
use node::event::StoreReply;
use table::Table;
use table::edit::Edit;

/// Counts of the calls that the store has carried out.
#[derive(Debug, Clone, Copy, Default)]
pub struct Calls {
    /// Reads of the generation.
    pub generations: u64,
    /// Reads of the whole table.
    pub tables: u64,
    /// Reads of the list.
    pub lists: u64,
    /// Other reads.
    pub others: u64,
    /// Writes: edits and records of outcomes.
    pub writes: u64,
}

impl Calls {
    /// All reads.
    pub const fn reads(&self) -> u64 {
        self.generations + self.tables + self.lists + self.others
    }
}

/// The store, with the current table and counts of its calls.
#[derive(Debug)]
pub struct Store {
    /// Whether it answers.
    pub up: bool,
    /// Calls since the last [`Store::reset`].
    pub calls: Calls,
    table: Table,
}

impl Store {
    /// A store that holds `table`.
    pub(super) fn new(table: Table) -> Self {
        Self {
            up: true,
            calls: Calls::default(),
            table,
        }
    }

    /// Resets the counts.
    pub fn reset(&mut self) {
        self.calls = Calls::default();
    }

    /// The current table.
    pub const fn table(&self) -> &Table {
        &self.table
    }

    /// Commits `edit`; called directly, it acts like an instance that commits but does not announce it.
    pub fn commit(&mut self, edit: &Edit) {
        if let Ok(next) = edit.apply(&self.table) {
            self.table = next;
        }
    }

    pub(super) const fn is_reachable(&self, isolated: bool) -> bool {
        self.up && !isolated
    }

    pub(super) const fn count_list(&mut self) {
        self.calls.lists += 1;
    }

    /// Carries out `request`.
    pub(super) fn answer(&mut self, request: &StoreRequest) -> StoreReply {
        match request {
            StoreRequest::Generation => {
                self.calls.generations += 1;
                let generation = self.table.generation;
                StoreReply::Generation { generation }
            }
            StoreRequest::Table => {
                self.calls.tables += 1;
                StoreReply::Table(Box::new(self.table.clone()))
            }
            StoreRequest::Commit(edit) => {
                self.calls.others += 1;
                self.calls.writes += 1;
                self.commit(edit);
                let generation = self.table.generation;
                StoreReply::Committed { generation }
            }
            StoreRequest::Record { .. } => {
                self.calls.writes += 1;
                StoreReply::Recorded
            }
            StoreRequest::Outcome { .. } => {
                self.calls.others += 1;
                StoreReply::Outcome(None)
            }
        }
    }

    /// The reply when the store is unreachable.
    pub(super) fn unreachable() -> StoreReply {
        StoreReply::Failed {
            maybe: false,
            cause: "the store is unreachable".to_owned(),
        }
    }
}
