//! Transactions on rows of the store.

use serde::Deserialize;
use serde::Serialize;

/// A row; an absent one has version 0 and no value.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Option<String>,
    /// Version, which never repeats for a key.
    pub version: u64,
}

/// A row version required for a transaction to commit.
#[derive(Debug, Clone, Serialize)]
pub struct Requirement {
    /// Key.
    pub key: String,
    /// Version; 0 requires that the row is absent.
    pub version: u64,
}

/// A row to write or delete.
#[derive(Debug, Clone, Serialize)]
pub struct Write {
    /// Key.
    pub key: String,
    /// Value; `None` deletes the row.
    pub value: Option<String>,
}

/// A transaction: commits atomically if all requirements hold, and reads after its writes.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Txn {
    /// Requirements for the commit.
    pub require: Vec<Requirement>,
    /// Rows to write or delete.
    pub write: Vec<Write>,
    /// Keys to read.
    pub read: Vec<String>,
    /// Key prefixes of the rows to read.
    pub scan: Vec<String>,
}

impl Txn {
    /// An empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requires that the row `key` has `version`; 0 requires that it is absent.
    #[must_use]
    pub fn with_requirement(mut self, key: &str, version: u64) -> Self {
        self.require.push(Requirement {
            key: key.to_owned(),
            version,
        });
        self
    }

    /// Writes `value` to the row `key`; `None` deletes it.
    #[must_use]
    pub fn with_write(mut self, key: &str, value: Option<&str>) -> Self {
        self.write.push(Write {
            key: key.to_owned(),
            value: value.map(str::to_owned),
        });
        self
    }

    /// Reads the row `key`.
    #[must_use]
    pub fn with_read(mut self, key: &str) -> Self {
        self.read.push(key.to_owned());
        self
    }

    /// Reads all rows whose key begins with `prefix`.
    #[must_use]
    pub fn with_scan(mut self, prefix: &str) -> Self {
        self.scan.push(prefix.to_owned());
        self
    }
}

/// Result of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// It took effect; contains the rows read, in the order of `read` and `scan`.
    Committed(Vec<Row>),
    /// It had no effect; contains the current rows of the requirements that failed.
    Conflict(Vec<Row>),
}
