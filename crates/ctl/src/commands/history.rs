//! `table history`: the accepted edits.

use serde_json::Value;
use table::diff;
use table::edit::Change;

use crate::answer::Entry;
use crate::answer::History;
use crate::client::Admin;
use crate::error::Error;
use crate::output::Output;

/// Path of the accepted edits.
pub(super) const HISTORY: &str = "/v1/table/history";

/// Prints the edits, newest first.
pub(super) async fn run(admin: &Admin, output: Output) -> Result<(), Error> {
    let history: History = admin.get(HISTORY).await?;
    for entry in &history.edits {
        output.line(&head(entry));
        for change in &entry.changes {
            output.line(&format!("  {}", describe(change)));
        }
    }
    output.value(&history);
    Ok(())
}

fn head(entry: &Entry) -> String {
    let note = if entry.note.is_empty() {
        String::new()
    } else {
        format!(": {}", entry.note)
    };
    let Entry {
        generation,
        operator,
        unix_s,
        id,
        ..
    } = entry;
    format!("generation {generation} by {operator} at {unix_s} (edit {id}){note}")
}

fn describe(change: &Value) -> String {
    match serde_json::from_value::<Change>(change.clone()) {
        Ok(Change::Put { row, base: None }) => {
            format!("+ {}: {}", row.key(), diff::describe(&row))
        }
        Ok(Change::Put {
            row,
            base: Some(base),
        }) => {
            format!("~ {}: {}", row.key(), diff::columns(&base, &row).join(", "))
        }
        Ok(Change::Remove { base }) => format!("- {}", base.key()),
        Ok(Change::Drain(mark)) => format!("+ drain {mark}"),
        Ok(Change::Undrain(mark)) => format!("- drain {mark}"),
        Err(_) => change
            .as_str()
            .map_or_else(|| change.to_string(), str::to_owned),
    }
}
