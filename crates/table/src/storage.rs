//! Representation of the table in the platform's store.
//!
//! | key | value |
//! | --- | --- |
//! | `table/generation` | the generation, in decimal |
//! | `table/row/<service>/<class>/<pool>` | the row, JSON |
//! | `table/drain/<instance or replica>/<name>` | `{}` |
//! | `table/edit/<generation, 12 digits>` | the history record of the edit, JSON |
//! | `table/edit-id/<id>` | the generation that the edit created, in decimal |
//!
//! Every edit requires the version of `table/generation`, so that edits are serialised and each
//! raises the generation by exactly one; of two concurrent edits the later one must be planned
//! again from a new read. An edit also requires `table/edit-id/<id>` to be absent, so that it
//! cannot be applied twice if its acknowledgement was lost, and the version of each row that it
//! changes. The table must be read in one transaction over [`SCAN_PREFIXES`]; separate reads could
//! mix two generations.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use crate::Table;
use crate::drain::DrainTarget;
use crate::edit::Conflict;
use crate::error::Report;
use crate::row::Row;

/// Key of the generation.
pub const GENERATION_KEY: &str = "table/generation";
/// Key prefix of the rows.
pub const ROW_PREFIX: &str = "table/row/";
/// Key prefix of the drain marks.
pub const DRAIN_PREFIX: &str = "table/drain/";
/// Key prefix of the history records.
pub const EDIT_PREFIX: &str = "table/edit/";
/// Key prefix of the ids of applied edits.
pub const EDIT_ID_PREFIX: &str = "table/edit-id/";
/// Prefixes that must be scanned in one transaction to read the whole table.
pub const SCAN_PREFIXES: [&str; 3] = [GENERATION_KEY, ROW_PREFIX, DRAIN_PREFIX];

/// A row of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// The version; 0 if the key is absent.
    pub version: u64,
}

impl Record {
    /// A record of `key`.
    pub fn new(key: &str, value: &str, version: u64) -> Self {
        Self {
            key: key.to_owned(),
            value: value.to_owned(),
            version,
        }
    }
}

/// The versions of the records that a table was read from.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Versions(BTreeMap<String, u64>);

impl Versions {
    /// The version of `key`; 0 if it was absent.
    pub fn get(&self, key: &str) -> u64 {
        self.0.get(key).copied().unwrap_or(0)
    }
}

/// Error of reading records or planning an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// A record cannot be read.
    Corrupt {
        /// The key of the record.
        key: String,
        /// What is wrong with its value or key.
        reason: String,
    },
    /// The edit, or the resulting table, is not valid.
    Invalid(Report),
    /// The edit would overwrite another edit.
    Conflict(Conflict),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Corrupt { key, reason } => write!(f, "store record `{key}`: {reason}"),
            Self::Invalid(report) => write!(f, "{report}"),
            Self::Conflict(conflict) => write!(f, "{conflict}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<Report> for Error {
    fn from(report: Report) -> Self {
        Self::Invalid(report)
    }
}

impl From<Conflict> for Error {
    fn from(conflict: Conflict) -> Self {
        Self::Conflict(conflict)
    }
}

/// The key of `row`.
pub fn row_key(row: &Row) -> String {
    format!("{ROW_PREFIX}{}", row.key())
}

/// The key of the drain mark of `target`.
pub fn drain_key(target: &DrainTarget) -> String {
    format!("{DRAIN_PREFIX}{}/{}", target.kind(), target.name())
}

/// The key of the history record of `generation`.
pub fn edit_key(generation: u64) -> String {
    format!("{EDIT_PREFIX}{generation:012}")
}

/// The key that exists if the edit `id` has been applied.
pub fn edit_id_key(id: &str) -> String {
    format!("{EDIT_ID_PREFIX}{id}")
}

/// Reads the table from the records of one transaction over [`SCAN_PREFIXES`]; other keys are
/// ignored.
///
/// # Errors
///
/// The first record that cannot be read.
pub fn read_table(records: &[Record]) -> Result<(Table, Versions), Error> {
    let mut rows = Vec::new();
    let mut drains = BTreeSet::new();
    let mut generation = 0;
    let mut versions = Versions::default();
    for record in records.iter().filter(|record| record.version > 0) {
        let key = record.key.as_str();
        versions.0.insert(key.to_owned(), record.version);
        if key == GENERATION_KEY {
            generation = number(record)?;
        } else if key.starts_with(ROW_PREFIX) {
            rows.push(row(record)?);
        } else if let Some(rest) = key.strip_prefix(DRAIN_PREFIX) {
            drains.insert(drain_target(record, rest)?);
        }
    }
    Ok((Table::new(generation, rows).with_drains(drains), versions))
}

pub(crate) fn number(record: &Record) -> Result<u64, Error> {
    record
        .value
        .parse()
        .map_err(|_| corrupt(record, "not a generation"))
}

fn row(record: &Record) -> Result<Row, Error> {
    let row: Row =
        serde_json::from_str(&record.value).map_err(|error| corrupt(record, &error.to_string()))?;
    if row_key(&row) != record.key {
        return Err(corrupt(record, "the row has another key"));
    }
    Ok(row)
}

fn drain_target(record: &Record, rest: &str) -> Result<DrainTarget, Error> {
    let parts = rest.split_once('/');
    let target = parts.and_then(|(kind, name)| DrainTarget::from_kind(kind, name));
    target.ok_or_else(|| corrupt(record, "neither an instance nor a replica"))
}

pub(crate) fn corrupt(record: &Record, reason: &str) -> Error {
    Error::Corrupt {
        key: record.key.clone(),
        reason: reason.to_owned(),
    }
}
