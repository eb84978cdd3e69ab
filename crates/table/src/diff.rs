//! Readable differences for operators.

use std::collections::BTreeMap;

use crate::Table;
use crate::row::KEY_COLUMNS;
use crate::row::Row;

/// What changes from `a` to `b`, one line each.
///
/// `+ key: columns` for a new row, `- key` for a removed one, `~ key: column old -> new` for a
/// changed one; then `+ drain …` and `- drain …`.
pub fn lines(a: &Table, b: &Table) -> Vec<String> {
    let mut keys: BTreeMap<(&str, &str, &str), (Option<&Row>, Option<&Row>)> = BTreeMap::new();
    for row in &a.rows {
        keys.entry(row.parts()).or_default().0 = Some(row);
    }
    for row in &b.rows {
        keys.entry(row.parts()).or_default().1 = Some(row);
    }
    let mut lines: Vec<String> = keys
        .into_values()
        .filter_map(|(old, new)| row_line(old, new))
        .collect();
    lines.extend(
        b.drains
            .difference(&a.drains)
            .map(|mark| format!("+ drain {mark}")),
    );
    lines.extend(
        a.drains
            .difference(&b.drains)
            .map(|mark| format!("- drain {mark}")),
    );
    lines
}

/// The columns that differ from `old` to `new`, as `column old -> new`.
pub fn columns(old: &Row, new: &Row) -> Vec<String> {
    let pairs = old.columns().into_iter().zip(new.columns());
    let changed = pairs.filter(|(old, new)| old.value != new.value);
    changed
        .map(|(old, new)| format!("{} {} -> {}", old.name, old.value, new.value))
        .collect()
}

fn row_line(old: Option<&Row>, new: Option<&Row>) -> Option<String> {
    match (old, new) {
        (Some(old), Some(new)) if old == new => None,
        (Some(old), Some(new)) => {
            Some(format!("~ {}: {}", new.key(), columns(old, new).join(", ")))
        }
        (Some(old), None) => Some(format!("- {}", old.key())),
        (None, Some(new)) => Some(format!("+ {}: {}", new.key(), describe(new))),
        (None, None) => None,
    }
}

/// The columns of `row` besides its key, as `column=value`.
pub fn describe(row: &Row) -> String {
    let columns = row.columns().into_iter().skip(KEY_COLUMNS);
    let columns: Vec<String> = columns
        .map(|column| format!("{}={}", column.name, column.value))
        .collect();
    columns.join(" ")
}
