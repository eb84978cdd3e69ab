//! `table apply`: makes the table as in a file.

use std::path::Path;

use serde_json::json;
use table::Table;
use table::diff;
use table::edit::Edit;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::answer::History;
use crate::base;
use crate::cli::Submission;
use crate::client::Admin;
use crate::commands::check;
use crate::commands::check::TableFile;
use crate::commands::history::HISTORY;
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
    let file = check::read(path)?;
    let base = base_of(admin, &file, how, output).await?;
    let id = how.id.clone().unwrap_or_else(submit::new_id);
    let edit = Edit::between(&id, admin.operator(), &base, &file.rows).with_note(&how.note);
    let next = Table::new(base.generation, file.rows).with_drains(base.drains.clone());
    let lines = diff::lines(&base, &next);
    difference(base.generation, &lines, output);
    // An undecided edit that took effect leaves no difference, yet its id tells its generation.
    if how.dry_run || (edit.changes.is_empty() && how.id.is_none()) {
        output.value(&json!({
            "result": if lines.is_empty() { "unchanged" } else { "dry_run" },
            "generation": base.generation,
            "difference": lines,
        }));
        return Ok(());
    }
    submit::submit(admin, &edit, how, output).await
}

/// The table that the file was made from; the one in force if the file does not tell.
async fn base_of(
    admin: &Admin,
    file: &TableFile,
    how: &Submission,
    output: Output,
) -> Result<Table, Error> {
    let current = table_since(admin, file.generation.unwrap_or(0), how).await?;
    let made_from = match file.generation {
        Some(generation) if generation != current.generation => generation,
        _ => return Ok(current),
    };
    let history: History = admin.get(HISTORY).await?;
    output.line(&format!(
        "the file was made from generation {made_from}; generation {} is in force, and what \
         others changed since stays",
        current.generation
    ));
    base::rewind(&current, &history.edits, made_from).ok_or(Error::Outdated {
        made_from,
        current: current.generation,
    })
}

/// The table in force; an instance that is behind `generation` gets time to catch up.
async fn table_since(admin: &Admin, generation: u64, how: &Submission) -> Result<Table, Error> {
    let end = Instant::now() + how.wait;
    loop {
        let table: Table = admin.get(TABLE).await?;
        if table.generation >= generation || Instant::now() > end {
            return Ok(table);
        }
        sleep(submit::POLL_EVERY).await;
    }
}

/// Prints the difference to `generation`.
pub(super) fn difference(generation: u64, lines: &[String], output: Output) {
    match lines.len() {
        0 => output.line(&format!("no difference to generation {generation}")),
        1 => output.line(&format!("1 change against generation {generation}:")),
        count => output.line(&format!("{count} changes against generation {generation}:")),
    }
    for line in lines {
        output.line(&format!("  {line}"));
    }
}
