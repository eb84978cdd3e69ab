//! The operators' table: rows, checks, edits and generations.
//!
//! Operators drive the router by this table alone. The crate is pure: it reads no clock, file or
//! socket. It holds the rows and their checks ([`row`], [`mod@file`], [`error`]), edits and their
//! conflicts ([`edit`], [`diff`]), the form in which the platform's transactional service keeps
//! the table ([`storage`]), and what a daemon may decide by ([`view`]).

pub mod diff;
pub mod drain;
pub mod edit;
pub mod error;
pub mod file;
pub mod limits;
pub mod row;
pub mod storage;
pub mod transaction;
pub mod view;

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::drain::DrainTarget;
use crate::row::Row;

/// One generation of the table.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Table {
    /// Counts the accepted edits; zero before the first one.
    pub generation: u64,
    /// The rows, ordered by service, class and pool, each key once.
    pub rows: Vec<Row>,
    /// The instances and replicas that are marked to drain.
    pub drains: BTreeSet<DrainTarget>,
}

impl Table {
    /// The most rows that a table may have.
    pub const MAX_ROWS: usize = 4096;

    /// The table of `generation` with `rows`, which it orders by key.
    pub fn new(generation: u64, mut rows: Vec<Row>) -> Self {
        rows.sort_by(|a, b| a.key_parts().cmp(&b.key_parts()));
        Self {
            generation,
            rows,
            drains: BTreeSet::new(),
        }
    }

    /// The same table with the marks `drains`.
    #[must_use]
    pub fn with_drains(mut self, drains: BTreeSet<DrainTarget>) -> Self {
        self.drains = drains;
        self
    }

    /// The row for `service`, `class` and `pool`.
    pub fn row(&self, service: &str, class: &str, pool: &str) -> Option<&Row> {
        let parts = (service, class, pool);
        let found = self
            .rows
            .binary_search_by(|row| row.key_parts().cmp(&parts));
        found.ok().map(|index| &self.rows[index])
    }

    /// The row whose key is `id`.
    pub fn row_by_id(&self, id: ident::Row) -> Option<&Row> {
        self.rows.iter().find(|row| row.id() == id)
    }

    /// Whether the entry instance `name` is marked to drain.
    pub fn is_instance_draining(&self, name: &str) -> bool {
        self.drains
            .contains(&DrainTarget::Instance(name.to_owned()))
    }

    /// Whether the replica `name` is marked to drain.
    pub fn is_replica_draining(&self, name: &str) -> bool {
        self.drains.contains(&DrainTarget::Replica(name.to_owned()))
    }
}
