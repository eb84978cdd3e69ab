//! Edits of the table and conflicts between concurrent edits.

use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::Table;
use crate::diff;
use crate::drain::DrainTarget;
use crate::error::Error;
use crate::error::Location;
use crate::error::Report;
use crate::row::Row;
use crate::row::is_name;

/// Maximum length of a note, in bytes.
pub const MAX_NOTE: usize = 1024;

/// A change within an edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Adds or replaces a row.
    Put {
        /// The new row.
        row: Row,
        /// The row that the operator read; `None` if it did not exist.
        base: Option<Row>,
    },
    /// Removes a row.
    Remove {
        /// The row that the operator read; its key identifies the row to remove.
        base: Row,
    },
    /// Marks an instance or replica to drain.
    Drain(DrainTarget),
    /// Removes the mark from an instance or replica.
    Undrain(DrainTarget),
}

/// A set of changes that are applied together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Unique id; a repeated edit whose acknowledgement was lost is recognised by it.
    pub id: String,
    /// The changes, each row key and each mark at most once.
    pub changes: Vec<Change>,
    /// The operator's reason for the edit.
    pub note: String,
    /// The operator who makes the edit.
    pub operator: String,
}

impl Edit {
    /// An edit without changes.
    pub fn new(id: &str, operator: &str) -> Self {
        Self {
            id: id.to_owned(),
            changes: Vec::new(),
            note: String::new(),
            operator: operator.to_owned(),
        }
    }

    /// The edit that changes the rows of `base` into `wanted`; drain marks stay as they are.
    pub fn between(id: &str, operator: &str, base: &Table, wanted: &[Row]) -> Self {
        let mut edit = Self::new(id, operator);
        let keys: BTreeSet<_> = wanted.iter().map(Row::key_parts).collect();
        let removed = base
            .rows
            .iter()
            .filter(|row| !keys.contains(&row.key_parts()));
        edit.changes
            .extend(removed.map(|row| Change::Remove { base: row.clone() }));
        for row in wanted {
            let current = base.row(&row.service, &row.class, &row.pool);
            if current != Some(row) {
                edit.changes.push(Change::Put {
                    row: row.clone(),
                    base: current.cloned(),
                });
            }
        }
        edit
    }

    /// The same edit with `note`.
    #[must_use]
    pub fn with_note(mut self, note: &str) -> Self {
        note.clone_into(&mut self.note);
        self
    }

    /// The same edit with `change` appended.
    #[must_use]
    pub fn with_change(mut self, change: Change) -> Self {
        self.changes.push(change);
        self
    }

    /// Checks the texts and rows of the edit, and that it changes no key or mark twice.
    ///
    /// # Errors
    ///
    /// All problems found.
    pub fn check(&self) -> Result<(), Report> {
        let mut errors = Vec::new();
        let texts = [("id", &self.id), ("operator", &self.operator)];
        let texts = texts.into_iter().filter(|(_, text)| !is_name(text));
        errors.extend(texts.map(|(name, text)| invalid_name(name, text)));
        if self.note.len() > MAX_NOTE {
            errors.push(Error::TooLong {
                bytes: self.note.len(),
                max: MAX_NOTE,
            });
        }
        if self.changes.is_empty() {
            errors.push(Error::NoChanges);
        }
        let mut seen = BTreeSet::new();
        for change in &self.changes {
            errors.extend(change.check());
            let key = change.key();
            if seen.contains(&key) {
                errors.push(Error::DuplicateKey {
                    location: Location::new(&key, ""),
                    first: None,
                });
            }
            seen.insert(key);
        }
        Report::check(errors)
    }

    /// The table after the edit, with the next generation.
    ///
    /// A row that already has the wanted value is not a conflict, regardless of who wrote it.
    ///
    /// # Errors
    ///
    /// A conflict that lists every row that differs from the one that the operator read.
    pub fn apply(&self, table: &Table) -> Result<Table, Conflict> {
        let rows: Vec<RowConflict> = self
            .changes
            .iter()
            .filter_map(|change| change.conflict(table))
            .collect();
        if !rows.is_empty() {
            return Err(Conflict {
                generation: table.generation,
                rows,
            });
        }
        let mut next = table.clone();
        next.generation += 1;
        for change in &self.changes {
            change.apply(&mut next);
        }
        Ok(next)
    }
}

impl Change {
    /// The row key or drain mark that is changed.
    pub fn key(&self) -> String {
        match self {
            Self::Put { row, .. } | Self::Remove { base: row } => row.key(),
            Self::Drain(target) | Self::Undrain(target) => target.to_string(),
        }
    }

    fn check(&self) -> Vec<Error> {
        match self {
            Self::Put {
                row,
                base: Some(base),
            } if row.key_parts() != base.key_parts() => {
                vec![invalid_name("base", &base.key())]
            }
            Self::Put { row, .. } => row.check(),
            Self::Drain(target) | Self::Undrain(target) if !is_name(target.name()) => {
                vec![invalid_name(target.kind(), target.name())]
            }
            Self::Remove { .. } | Self::Drain(_) | Self::Undrain(_) => Vec::new(),
        }
    }

    fn conflict(&self, table: &Table) -> Option<RowConflict> {
        let (key, base, wanted) = match self {
            Self::Put { row, base } => (row, base.as_ref(), Some(row)),
            Self::Remove { base } => (base, Some(base), None),
            Self::Drain(_) | Self::Undrain(_) => return None,
        };
        let current = table.row(&key.service, &key.class, &key.pool);
        let conflicts = current != base && current != wanted;
        conflicts.then(|| RowConflict {
            key: key.key(),
            base: base.cloned(),
            current: current.cloned(),
            wanted: wanted.cloned(),
        })
    }

    fn apply(&self, table: &mut Table) {
        match self {
            Self::Put { row, .. } => {
                let found = table
                    .rows
                    .binary_search_by(|other| other.key_parts().cmp(&row.key_parts()));
                match found {
                    Ok(index) => table.rows[index] = row.clone(),
                    Err(index) => table.rows.insert(index, row.clone()),
                }
            }
            Self::Remove { base } => table.rows.retain(|row| row.key_parts() != base.key_parts()),
            Self::Drain(target) => {
                table.drains.insert(target.clone());
            }
            Self::Undrain(target) => {
                table.drains.remove(target);
            }
        }
    }
}

fn invalid_name(field: &str, value: &str) -> Error {
    Error::InvalidName {
        location: Location::new("", field),
        value: value.to_owned(),
    }
}

/// A row that has changed since the operator read it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowConflict {
    /// `service/class/pool`.
    pub key: String,
    /// The row that the operator read.
    pub base: Option<Row>,
    /// The row in the table now.
    pub current: Option<Row>,
    /// The row that the operator wants.
    pub wanted: Option<Row>,
}

impl fmt::Display for RowConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            key,
            base,
            current,
            wanted,
        } = self;
        write!(
            f,
            "{key}: now {}",
            describe_change(base.as_ref(), current.as_ref())
        )?;
        write!(
            f,
            "; wanted {}",
            describe_change(base.as_ref(), wanted.as_ref())
        )
    }
}

fn describe_change(base: Option<&Row>, row: Option<&Row>) -> String {
    match (base, row) {
        (_, None) => "absent".to_owned(),
        (None, Some(row)) => diff::describe(row),
        (Some(base), Some(row)) if base == row => "as you saw it".to_owned(),
        (Some(base), Some(row)) => diff::columns(base, row).join(", "),
    }
}

/// An edit that would overwrite another edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// The generation of the table with which the edit conflicts.
    pub generation: u64,
    /// The conflicting rows, never empty.
    pub rows: Vec<RowConflict>,
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "conflict with generation {}", self.generation)?;
        for conflict in &self.rows {
            write!(f, "\n{conflict}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Conflict {}
