//! `table apply`: makes the table as in a file.

use std::path::Path;

use serde_json::json;
use table::Table;
use table::diff;
use table::edit::Edit;

use crate::cli::Submission;
use crate::client::Admin;
use crate::commands::check;
use crate::commands::show::TABLE;
use crate::error::Error;
use crate::output::Output;
use crate::submit;

/// Shows what changes, sends the edit, and waits until it is in force.
pub(super) async fn run(
    admin: &Admin,
    path: &Path,
    how: &Submission,
    output: Output,
) -> Result<(), Error> {
    let wanted = check::read(path)?;
    let base: Table = admin.get(TABLE).await?;
    let id = how.id.clone().unwrap_or_else(submit::new_id);
    let edit = Edit::between(&id, admin.operator(), &base, &wanted).with_note(&how.note);
    let next = Table::new(base.generation, wanted).with_drains(base.drains.clone());
    let lines = diff::lines(&base, &next);
    difference(base.generation, &lines, output);
    // An undecided edit that took effect leaves no difference, yet its id tells its generation.
    if how.dry_run || (edit.changes.is_empty() && how.id.is_none()) {
        output.value(&json!({
            "result": "unchanged",
            "generation": base.generation,
            "difference": lines,
        }));
        return Ok(());
    }
    submit::submit(admin, &edit, how, output).await
}

/// Prints the difference to the generation in force.
pub(super) fn difference(generation: u64, lines: &[String], output: Output) {
    match lines.len() {
        0 => output.line(&format!("no difference to generation {generation}")),
        count => output.line(&format!("{count} changes against generation {generation}:")),
    }
    for line in lines {
        output.line(&format!("  {line}"));
    }
}
