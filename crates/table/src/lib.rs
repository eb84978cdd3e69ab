//! The operators' table: rows, checks, edits and generations.
//!
//! The table is the only control that operators have over the router. The crate is pure: it reads
//! no clock, file or socket. It contains the rows and their checks ([`row`], [`mod@file`],
//! [`error`]), edits and their conflicts ([`edit`], [`diff`]), the representation of the table in
//! the platform's store ([`storage`], [`transaction`]), and the table held by a daemon, with its
//! freshness ([`view`]).

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
    /// Number of accepted edits; zero before the first one.
    pub generation: u64,
    /// The rows, ordered by service, class and pool; keys are unique.
    pub rows: Vec<Row>,
    /// The instances and replicas marked to drain.
    pub drains: BTreeSet<DrainTarget>,
}

impl Table {
    /// Maximum number of rows in a table.
    pub const MAX_ROWS: usize = 4096;

    /// A table of `generation` with `rows`, which are sorted by key.
    pub fn new(generation: u64, mut rows: Vec<Row>) -> Self {
        rows.sort_by(|a, b| a.key_parts().cmp(&b.key_parts()));
        Self {
            generation,
            rows,
            drains: BTreeSet::new(),
        }
    }

    /// The same table with the drain marks `drains`.
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
