//! Reconstructs the base of a table file, which is the table that the file was made from.
//!
//! `table show` writes the generation into the first line of its output. `table apply` compares the
//! file with the table of that generation, so the edit contains only this operator's changes:
//! later edits of other operators are kept, and a row changed by both is a conflict.

use table::Table;
use table::edit::Change;
use table::row::Row;

use crate::answer::AcceptedEdit;

const HEADER_PREFIX: &str = "# generation ";

/// First line of a file made from `generation`.
pub fn header(generation: u64) -> String {
    format!("{HEADER_PREFIX}{generation}")
}

/// Generation in the first line of a file; `None` if the line has none.
pub fn parse_generation(text: &str) -> Option<u64> {
    text.lines()
        .next()?
        .strip_prefix(HEADER_PREFIX)?
        .trim()
        .parse()
        .ok()
}

/// Restores the table of `generation` by reverting accepted edits of the current one.
///
/// `None` if an edit since then is missing from `edits` or is of an unknown kind.
pub fn rewind(current: &Table, edits: &[AcceptedEdit], generation: u64) -> Option<Table> {
    let mut rows = current.rows.clone();
    for number in (generation + 1..=current.generation).rev() {
        let edit = edits.iter().find(|edit| edit.generation == number)?;
        for change in edit.changes.iter().rev() {
            revert(&mut rows, serde_json::from_value(change.clone()).ok()?);
        }
    }
    Some(Table::new(generation, rows).with_drains(current.drains.clone()))
}

fn revert(rows: &mut Vec<Row>, change: Change) {
    match change {
        Change::Put { row, base } => {
            rows.retain(|other| other.key_parts() != row.key_parts());
            rows.extend(base);
        }
        Change::Remove { base } => rows.push(base),
        // Files contain rows only.
        Change::Drain(_) | Change::Undrain(_) => {}
    }
}
