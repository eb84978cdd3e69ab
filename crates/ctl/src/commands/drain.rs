//! `drain` and `undrain`: start and stop draining an instance or a replica.

use serde_json::json;
use table::Table;
use table::drain::DrainTarget;
use table::edit::Change;
use table::edit::Edit;

use crate::cli::SubmitOptions;
use crate::client::AdminClient;
use crate::commands::apply;
use crate::commands::show::TABLE_PATH;
use crate::error::Error;
use crate::output::Output;
use crate::submit;

/// Starts draining `target` if `set`, or else stops it, and waits until that is in force.
pub(super) async fn run(
    admin: &AdminClient,
    target: &DrainTarget,
    set: bool,
    options: &SubmitOptions,
    output: Output,
) -> Result<(), Error> {
    let base: Table = admin.get(TABLE_PATH).await?;
    let already = base.drains.contains(target) == set;
    if already && options.id.is_none() {
        output.line(&format!(
            "{target} is {} already",
            if set { "draining" } else { "not draining" }
        ));
        output.value(&json!({ "result": "unchanged", "generation": base.generation }));
        return Ok(());
    }
    let (sign, change) = if set {
        ('+', Change::Drain(target.clone()))
    } else {
        ('-', Change::Undrain(target.clone()))
    };
    apply::print_difference(base.generation, &[format!("{sign} drain {target}")], output);
    if options.dry_run {
        return Ok(());
    }
    let id = options.id.clone().unwrap_or_else(submit::new_id);
    let edit = Edit::new(&id, admin.operator())
        .with_note(&options.note)
        .with_change(change);
    submit::submit(admin, &edit, options, output).await
}
