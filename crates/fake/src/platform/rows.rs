//! Versioned rows and transactions on them.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// A row in a response. An absent row has version 0 and no value.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Row {
    key: String,
    value: Option<String>,
    version: u64,
}

/// A required version of a row.
#[derive(Debug, Deserialize)]
struct Requirement {
    key: String,
    version: u64,
}

/// A value to write; `None` deletes.
#[derive(Debug, Deserialize)]
struct Write {
    key: String,
    value: Option<String>,
}

/// A transaction.
#[derive(Debug, Deserialize)]
pub(super) struct Txn {
    #[serde(default)]
    require: Vec<Requirement>,
    #[serde(default)]
    write: Vec<Write>,
    #[serde(default)]
    read: Vec<String>,
    #[serde(default)]
    scan: Vec<String>,
}

impl Txn {
    /// Returns whether it writes any row.
    pub(super) fn writes(&self) -> bool {
        !self.write.is_empty()
    }
}

#[derive(Debug, Clone)]
struct StoredRow {
    value: String,
    version: u64,
}

/// All rows.
///
/// All versions come from one counter, so a row that is deleted and created again never repeats a
/// version.
#[derive(Debug, Clone, Default)]
pub(super) struct Rows {
    stored: BTreeMap<String, StoredRow>,
    version: u64,
}

impl Rows {
    /// Executes a transaction. The error holds the rows that do not meet a requirement.
    pub(super) fn transact(&mut self, txn: &Txn) -> Result<Vec<Row>, Vec<Row>> {
        let failed: Vec<Row> = txn
            .require
            .iter()
            .map(|requirement| (self.row(&requirement.key), requirement.version))
            .filter(|(row, version)| row.version != *version)
            .map(|(row, _)| row)
            .collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        self.write(&txn.write);
        let read = txn.read.iter().map(|key| self.row(key));
        let scanned = txn.scan.iter().flat_map(|prefix| self.scan(prefix));
        Ok(read.chain(scanned).collect())
    }

    /// Returns all rows whose key begins with `prefix`, in key order.
    pub(super) fn scan(&self, prefix: &str) -> Vec<Row> {
        self.stored
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, _)| self.row(key))
            .collect()
    }

    fn write(&mut self, writes: &[Write]) {
        if !writes.is_empty() {
            self.version += 1;
        }
        for Write { key, value } in writes {
            match value {
                Some(value) => {
                    let row = StoredRow {
                        value: value.clone(),
                        version: self.version,
                    };
                    self.stored.insert(key.clone(), row);
                }
                None => {
                    self.stored.remove(key);
                }
            }
        }
    }

    fn row(&self, key: &str) -> Row {
        let row = self.stored.get(key);
        Row {
            key: key.to_owned(),
            value: row.map(|row| row.value.clone()),
            version: row.map_or(0, |row| row.version),
        }
    }
}
