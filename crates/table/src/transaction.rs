//! Plans an edit as a transaction of the store.

use serde::Deserialize;
use serde::Serialize;

use crate::Table;
use crate::edit::Change;
use crate::edit::Edit;
use crate::error;
use crate::storage::Error;
use crate::storage::GENERATION_KEY;
use crate::storage::Record;
use crate::storage::corrupt;
use crate::storage::drain_key;
use crate::storage::edit_id_key;
use crate::storage::edit_key;
use crate::storage::number;
use crate::storage::read_table;
use crate::storage::row_key;

/// A version that a key must have for the transaction to commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Requirement {
    /// The key.
    pub key: String,
    /// The version; 0 means absent.
    pub version: u64,
}

/// A write in a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The value; `None` deletes the key.
    pub value: Option<String>,
}

/// The transaction that applies an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transaction {
    /// Versions required for the commit.
    pub require: Vec<Requirement>,
    /// Keys to write or delete.
    pub write: Vec<Write>,
    /// The table after the commit.
    pub table: Table,
}

/// How to proceed with an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Commit this transaction; if it conflicts, read the table and plan again.
    Commit(Transaction),
    /// Do nothing: the edit was already applied and created this generation.
    Applied(u64),
}

/// The history record of an applied edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The generation that the edit created.
    pub generation: u64,
    /// When the edit was planned, in Unix seconds.
    pub unix_seconds: u64,
    /// The edit, including its operator and note.
    pub edit: Edit,
}

/// Plans `edit` against the records of one transaction that scanned
/// [`SCAN_PREFIXES`](crate::storage::SCAN_PREFIXES) and read
/// [`edit_id_key`](crate::storage::edit_id_key). `unix_seconds` is stored in the history record.
///
/// # Errors
///
/// If a record cannot be read, the edit is not valid, or it conflicts with another edit.
pub fn plan_edit(edit: &Edit, records: &[Record], unix_seconds: u64) -> Result<Decision, Error> {
    edit.check()?;
    let id_key = edit_id_key(&edit.id);
    let applied = records
        .iter()
        .find(|record| record.key == id_key && record.version > 0);
    if let Some(applied) = applied {
        return number(applied).map(Decision::Applied);
    }
    let (current, versions) = read_table(records)?;
    let table = edit.apply(&current)?;
    if table.rows.len() > Table::MAX_ROWS {
        let count = error::Error::TooManyRows {
            rows: table.rows.len(),
        };
        return Err(Error::Invalid(count.into()));
    }
    let history = History {
        generation: table.generation,
        unix_seconds,
        edit: edit.clone(),
    };
    let generation = table.generation.to_string();
    let mut write: Vec<Write> = edit.changes.iter().map(write_for).collect();
    let mut keys: Vec<String> = write.iter().map(|write| write.key.clone()).collect();
    write.push(put(GENERATION_KEY.to_owned(), generation.clone()));
    write.push(put(edit_key(table.generation), json(&history)));
    write.push(put(id_key.clone(), generation));
    keys.push(GENERATION_KEY.to_owned());
    keys.push(id_key);
    let require = keys.into_iter().map(|key| Requirement {
        version: versions.get(&key),
        key,
    });
    Ok(Decision::Commit(Transaction {
        require: require.collect(),
        write,
        table,
    }))
}

/// Reads a history record.
///
/// # Errors
///
/// If the record cannot be read.
pub fn read_history(record: &Record) -> Result<History, Error> {
    serde_json::from_str(&record.value).map_err(|error| corrupt(record, &error.to_string()))
}

fn write_for(change: &Change) -> Write {
    match change {
        Change::Put { row, .. } => put(row_key(row), json(row)),
        Change::Remove { base } => Write {
            key: row_key(base),
            value: None,
        },
        Change::Drain(target) => put(drain_key(target), "{}".to_owned()),
        Change::Undrain(target) => Write {
            key: drain_key(target),
            value: None,
        },
    }
}

fn put(key: String, value: String) -> Write {
    Write {
        key,
        value: Some(value),
    }
}

fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("strings, numbers and enums always serialise")
}
