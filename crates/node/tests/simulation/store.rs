//! A simulated store of the platform.

use std::collections::BTreeMap;

use bytes::Bytes;
use ident::Time;
use node::action::StoreRequest;
use node::event::RecordedOutcome;
use node::event::StoreReply;
use table::Table;
use table::edit::Edit;

/// A linearizable store of the table and of recorded outcomes.
#[derive(Debug)]
pub struct Store {
    /// The newest table.
    pub table: Table,
    /// Generations of committed edits, by edit id.
    pub applied: BTreeMap<String, u64>,
    outcomes: BTreeMap<String, (u16, Option<Bytes>)>,
    /// End of the time in which every query is refused.
    pub down_until: Time,
    /// End of the time in which answers are lost.
    pub loses_answers_until: Time,
    /// End of the time in which queries are slow.
    pub slow_until: Time,
}

impl Store {
    /// Creates a store that holds `table`.
    pub const fn new(table: Table) -> Self {
        Self {
            table,
            applied: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            down_until: Time::ZERO,
            loses_answers_until: Time::ZERO,
            slow_until: Time::ZERO,
        }
    }

    /// Executes a query, subject to the current faults.
    pub fn carry_out(&mut self, now: Time, request: StoreRequest) -> StoreReply {
        if now < self.down_until {
            return failed(false, "store: down");
        }
        let reply = self.answer(request);
        if now < self.loses_answers_until {
            return failed(true, "store: answer lost");
        }
        reply
    }

    fn answer(&mut self, request: StoreRequest) -> StoreReply {
        match request {
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
