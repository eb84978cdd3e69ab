//! Planning an edit as a transaction of the store.

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

/// A key that must be at a version for the transaction to commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Requirement {
    /// The key.
    pub key: String,
    /// The version; 0 means absent.
    pub version: u64,
}

/// A write of the transaction.
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
    /// What must hold for it to commit.
    pub require: Vec<Requirement>,
    /// What it writes.
    pub write: Vec<Write>,
    /// The table after it has committed.
    pub table: Table,
}

/// What is to be done about an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Commit this transaction; if it fails, read again and plan again.
    Commit(Transaction),
    /// Nothing: the edit has been applied and made this generation.
    Applied(u64),
}

/// The record that an edit leaves behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The generation that the edit made.
    pub generation: u64,
    /// When it was planned, in seconds of the Unix clock.
    pub unix_seconds: u64,
    /// The edit, with its operator and note.
    pub edit: Edit,
}

/// Plans `edit` against the records of one transaction that scanned [`storage::SCAN_PREFIXES`](crate::storage::SCAN_PREFIXES) and read
/// [`edit_id_key`](crate::storage::edit_id_key). `unix_seconds` goes into the history record.
///
/// # Errors
///
/// A record that can't be read, an edit that is not valid, or a conflict.
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
    let mut write: Vec<Write> = edit.changes.iter().map(change).collect();
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
/// The record, if it can't be read.
pub fn read_history(record: &Record) -> Result<History, Error> {
    serde_json::from_str(&record.value).map_err(|error| corrupt(record, &error.to_string()))
}

fn change(change: &Change) -> Write {
    match change {
        Change::Put { row, .. } => put(row_key(row), json(row)),
        Change::Remove { base } => Write {
            key: row_key(base),
            value: None,
        },
        Change::Drain(mark) => put(drain_key(mark), "{}".to_owned()),
        Change::Undrain(mark) => Write {
            key: drain_key(mark),
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
