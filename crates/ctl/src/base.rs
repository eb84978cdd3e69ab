//! The table that an operator's file was made from.
//!
//! `table show` writes the generation into the first line of its output. `table apply` compares the
//! file with the table of that generation, so that the edit holds what this operator changed and
//! nothing else: another operator's edit since then is kept, and it is a conflict if both changed
//! the same row.

use table::Table;
use table::edit::Change;
use table::row::Row;

use crate::answer::Entry;

const HEADER: &str = "# generation ";

/// The first line of a file that shows `generation`.
pub fn header(generation: u64) -> String {
    format!("{HEADER}{generation}")
}

/// The generation that a file says it was made from.
pub fn generation(text: &str) -> Option<u64> {
    text.lines()
        .next()?
        .strip_prefix(HEADER)?
        .trim()
        .parse()
        .ok()
}

/// The table of `generation`, from the one in force and the accepted edits; `None` if the edits
/// don't reach back so far.
pub fn rewind(current: &Table, edits: &[Entry], generation: u64) -> Option<Table> {
    let mut rows = current.rows.clone();
    for number in (generation + 1..=current.generation).rev() {
        let entry = edits.iter().find(|entry| entry.generation == number)?;
        for change in entry.changes.iter().rev() {
            undo(&mut rows, serde_json::from_value(change.clone()).ok()?);
        }
    }
    Some(Table::new(generation, rows).with_drains(current.drains.clone()))
}

fn undo(rows: &mut Vec<Row>, change: Change) {
    match change {
        Change::Put { row, base } => {
            rows.retain(|other| other.key_parts() != row.key_parts());
            rows.extend(base);
        }
        Change::Remove { base } => rows.push(base),
        // Marks are no part of a file.
        Change::Drain(_) | Change::Undrain(_) => {}
    }
}
