//! `table history`: lists the accepted edits.

use serde_json::Value;
use table::diff;
use table::edit::Change;

use crate::answer::AcceptedEdit;
use crate::answer::History;
use crate::client::AdminClient;
use crate::error::Error;
use crate::output::Output;

/// Path of the history in the admin interface.
pub(super) const HISTORY_PATH: &str = "/v1/table/history";

/// Prints the edits, newest first.
pub(super) async fn run(admin: &AdminClient, output: Output) -> Result<(), Error> {
    let history: History = admin.get(HISTORY_PATH).await?;
    for edit in &history.edits {
        output.line(&describe_edit(edit));
        for change in &edit.changes {
            output.line(&format!("  {}", describe_change(change)));
        }
    }
    output.value(&history);
    Ok(())
}

fn describe_edit(edit: &AcceptedEdit) -> String {
    let note = if edit.note.is_empty() {
        String::new()
    } else {
        format!(": {}", edit.note)
    };
    let AcceptedEdit {
        generation,
        operator,
        unix_s,
        id,
        ..
    } = edit;
    format!("generation {generation} by {operator} at {unix_s} (edit {id}){note}")
}

fn describe_change(change: &Value) -> String {
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
        Ok(Change::Drain(target)) => format!("+ drain {target}"),
        Ok(Change::Undrain(target)) => format!("- drain {target}"),
        Err(_) => change
            .as_str()
            .map_or_else(|| change.to_string(), str::to_owned),
    }
}
