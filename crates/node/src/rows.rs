//! Index of the table in force.

use std::collections::HashMap;

use ident::Pool;
use ident::Row;
use table::Table;

use crate::open::Targets;

/// Columns of a row that each request needs.
#[derive(Debug)]
pub(crate) struct RowSummary {
    pub(crate) pool: Pool,
    pub(crate) targets: Targets,
    pub(crate) name: String,
}

/// Rows by key, and pool names.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    by_key: HashMap<Row, RowSummary>,
    names: HashMap<Pool, String>,
}

impl Rows {
    /// Returns an empty index.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Returns the index of `table`.
    pub(crate) fn with_table(table: &Table) -> Self {
        let mut rows = Self::new();
        for row in &table.rows {
            let pool = Pool::new(&row.pool);
            let summary = RowSummary {
                pool,
                targets: Targets::new(row),
                name: row.key(),
            };
            rows.by_key.insert(row.id(), summary);
            rows.names.insert(pool, row.pool.clone());
        }
        rows
    }

    pub(crate) fn get(&self, row: Row) -> Option<&RowSummary> {
        self.by_key.get(&row)
    }

    /// Returns the name of a row, or its hash if the table does not contain it.
    pub(crate) fn row_name(&self, row: Row) -> String {
        self.get(row)
            .map_or_else(|| row.to_string(), |summary| summary.name.clone())
    }

    /// Returns the name of a pool, or its hash if no row refers to it.
    pub(crate) fn pool_name(&self, pool: Pool) -> String {
        self.names
            .get(&pool)
            .cloned()
            .unwrap_or_else(|| pool.to_string())
    }
}
