//! A stand-in for the platform's table service.

use std::collections::BTreeMap;

use bytes::Bytes;
use ident::Time;
use node::action::StoreRequest;
use node::event::RecordedOutcome;
use node::event::StoreReply;
use table::Table;
use table::edit::Edit;

/// The store, linearizable.
#[derive(Debug)]
pub struct Store {
    /// The table.
    pub table: Table,
    /// Generations that edits made, by their ids.
    pub applied: BTreeMap<String, u64>,
    outcomes: BTreeMap<String, (u16, Option<Bytes>)>,
    /// Until when every query is refused.
    pub down: Time,
    /// Until when answers are lost.
    pub loses: Time,
    /// Until when it is slow.
    pub slow: Time,
}

impl Store {
    /// A store that holds `table`.
    pub const fn new(table: Table) -> Self {
        Self {
            table,
            applied: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            down: Time::ZERO,
            loses: Time::ZERO,
            slow: Time::ZERO,
        }
    }

    /// Carries a query out.
    pub fn carry_out(&mut self, now: Time, ask: StoreRequest) -> StoreReply {
        if now < self.down {
            return failed(false, "store: down");
        }
        let stored = self.answer(ask);
        if now < self.loses {
            return failed(true, "store: answer lost");
        }
        stored
    }

    fn answer(&mut self, ask: StoreRequest) -> StoreReply {
        match ask {
            StoreRequest::Generation => StoreReply::Generation {
                generation: self.table.generation,
            },
            StoreRequest::Table => StoreReply::Table(Box::new(self.table.clone())),
            StoreRequest::Commit(edit) => self.commit(&edit),
            StoreRequest::Record { outcomes, .. } => {
                let rows = outcomes.into_iter();
                self.outcomes
                    .extend(rows.map(|(key, status, body)| (key, (status, body))));
                StoreReply::Recorded
            }
            StoreRequest::Outcome { key, .. } => {
                let found = self.outcomes.get(&key).cloned();
                StoreReply::Outcome(found.map(|(status, body)| RecordedOutcome { status, body }))
            }
        }
    }

    fn commit(&mut self, edit: &Edit) -> StoreReply {
        if let Some(generation) = self.applied.get(&edit.id).copied() {
            return StoreReply::Repeated { generation };
        }
        match edit.apply(&self.table) {
            Ok(table) => {
                let generation = table.generation;
                self.table = table;
                self.applied.insert(edit.id.clone(), generation);
                StoreReply::Committed { generation }
            }
            Err(conflict) => StoreReply::Conflict {
                lines: vec![conflict.to_string()],
            },
        }
    }
}

fn failed(maybe: bool, cause: &str) -> StoreReply {
    StoreReply::Failed {
        maybe,
        cause: cause.to_owned(),
    }
}
