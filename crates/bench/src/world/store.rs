//! The platform's store, as the cores see it.

use node::action::StoreRequest;
use node::event::StoreReply;
use table::Table;
use table::edit::Edit;

/// Calls that the store has carried out.
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

/// The store.
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

    /// Forgets the counts.
    pub fn reset(&mut self) {
        self.calls = Calls::default();
    }

    /// The table it holds.
    pub const fn table(&self) -> &Table {
        &self.table
    }

    /// Commits `edit` as if an instance had done so that then fell silent.
    pub fn commit(&mut self, edit: &Edit) {
        if let Ok(next) = edit.apply(&self.table) {
            self.table = next;
        }
    }

    pub(super) const fn reachable(&self, cut: bool) -> bool {
        self.up && !cut
    }

    pub(super) const fn count_list(&mut self) {
        self.calls.lists += 1;
    }

    /// Answers `ask`.
    pub(super) fn answer(&mut self, ask: &StoreRequest) -> StoreReply {
        match ask {
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

    /// The answer when it is out of reach.
    pub(super) fn refusal() -> StoreReply {
        StoreReply::Failed {
            maybe: false,
            cause: "the store is out of reach".to_owned(),
        }
    }
}
