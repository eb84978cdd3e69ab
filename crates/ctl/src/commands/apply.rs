//! `table apply`: changes the table to match a file.

use std::path::Path;

use serde_json::json;
use table::Table;
use table::diff;
use table::edit::Edit;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::answer::History;
use crate::base;
use crate::cli::SubmitOptions;
use crate::client::AdminClient;
use crate::commands::check;
use crate::commands::check::TableFile;
use crate::commands::history::HISTORY_PATH;
use crate::commands::show::TABLE_PATH;
use crate::error::Error;
use crate::output::Output;
use crate::submit;

/// Prints the difference, submits the edit, and waits until it is in force.
pub(super) async fn run(
    admin: &AdminClient,
    path: &Path,
    options: &SubmitOptions,
    output: Output,
) -> Result<(), Error> {
    let file = check::read(path)?;
    let base = fetch_base(admin, &file, options, output).await?;
    let id = options.id.clone().unwrap_or_else(submit::new_id);
    let edit = Edit::between(&id, admin.operator(), &base, &file.rows).with_note(&options.note);
    let next = Table::new(base.generation, file.rows).with_drains(base.drains.clone());
    let lines = diff::lines(&base, &next);
    print_difference(base.generation, &lines, output);
    // An undecided edit may have been accepted: then there is no difference, but submitting it
    // again under its id returns its generation.
    if options.dry_run || (edit.changes.is_empty() && options.id.is_none()) {
        output.value(&json!({
            "result": if lines.is_empty() { "unchanged" } else { "dry_run" },
            "generation": base.generation,
            "difference": lines,
        }));
        return Ok(());
    }
    submit::submit(admin, &edit, options, output).await
}

/// Fetches the table that the file was made from; the one in force if the file names none.
async fn fetch_base(
    admin: &AdminClient,
    file: &TableFile,
    options: &SubmitOptions,
    output: Output,
) -> Result<Table, Error> {
    let current = fetch_table(admin, file.generation.unwrap_or(0), options).await?;
    let made_from = match file.generation {
        Some(generation) if generation != current.generation => generation,
        _ => return Ok(current),
    };
    let history: History = admin.get(HISTORY_PATH).await?;
    output.line(&format!(
        "the file was made from generation {made_from}; generation {} is in force, and \
         later changes by others are kept",
        current.generation
    ));
    base::rewind(&current, &history.edits, made_from).ok_or(Error::Outdated {
        made_from,
        current: current.generation,
    })
}

/// Fetches the table in force, waiting for an instance that is behind `generation`.
async fn fetch_table(
    admin: &AdminClient,
    generation: u64,
    options: &SubmitOptions,
) -> Result<Table, Error> {
    let end = Instant::now() + options.wait;
    loop {
        let table: Table = admin.get(TABLE_PATH).await?;
        if table.generation >= generation || Instant::now() > end {
            return Ok(table);
        }
        sleep(submit::POLL_INTERVAL).await;
    }
}

/// Prints the difference between `generation` and the wanted table.
pub(super) fn print_difference(generation: u64, lines: &[String], output: Output) {
    match lines.len() {
        0 => output.line(&format!("no difference to generation {generation}")),
        1 => output.line(&format!("1 change against generation {generation}:")),
        count => output.line(&format!("{count} changes against generation {generation}:")),
    }
    for line in lines {
        output.line(&format!("  {line}"));
    }
}
