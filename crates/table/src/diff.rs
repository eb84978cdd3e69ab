//! Describes differences between tables as text for operators.

use std::collections::BTreeMap;

use crate::Table;
use crate::limits::KEY_COLUMNS;
use crate::row::Row;

/// The changes from `a` to `b`, one per line.
///
/// `+ key: columns` is a new row, `- key` a removed row and `~ key: column old -> new` a changed
/// row; `+ drain …` and `- drain …` lines follow.
pub fn lines(a: &Table, b: &Table) -> Vec<String> {
    let mut pairs: BTreeMap<_, Pair<'_>> = BTreeMap::new();
    for row in &a.rows {
        pairs.entry(row.key_parts()).or_default().old = Some(row);
    }
    for row in &b.rows {
        pairs.entry(row.key_parts()).or_default().new = Some(row);
    }
    let mut lines: Vec<String> = pairs.values().filter_map(Pair::line).collect();
    lines.extend(
        b.drains
            .difference(&a.drains)
            .map(|target| format!("+ drain {target}")),
    );
    lines.extend(
        a.drains
            .difference(&b.drains)
            .map(|target| format!("- drain {target}")),
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

/// A row before and after.
#[derive(Debug, Default)]
struct Pair<'a> {
    old: Option<&'a Row>,
    new: Option<&'a Row>,
}

impl Pair<'_> {
    fn line(&self) -> Option<String> {
        match (self.old, self.new) {
            (Some(old), Some(new)) if old == new => None,
            (Some(old), Some(new)) => {
                Some(format!("~ {}: {}", new.key(), columns(old, new).join(", ")))
            }
            (Some(old), None) => Some(format!("- {}", old.key())),
            (None, Some(new)) => Some(format!("+ {}: {}", new.key(), describe(new))),
            (None, None) => None,
        }
    }
}

/// The columns of `row` other than its key, as `column=value`.
pub fn describe(row: &Row) -> String {
    let columns = row.columns().into_iter().skip(KEY_COLUMNS);
    let columns: Vec<String> = columns
        .map(|column| format!("{}={}", column.name, column.value))
        .collect();
    columns.join(" ")
}
