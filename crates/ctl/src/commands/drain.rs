//! `drain` and `undrain`: marks on instances and replicas.

use serde_json::json;
use table::Table;
use table::drain::DrainTarget;
use table::edit::Change;
use table::edit::Edit;

use crate::cli::Submission;
use crate::client::Admin;
use crate::commands::apply;
use crate::commands::show::TABLE;
use crate::error::Error;
use crate::output::Output;
use crate::submit;

/// Sets or clears `mark`, and waits until that is in force.
pub(super) async fn run(
    admin: &Admin,
    mark: &DrainTarget,
    set: bool,
    how: &Submission,
    output: Output,
) -> Result<(), Error> {
    let base: Table = admin.get(TABLE).await?;
    let already = base.drains.contains(mark) == set;
    if already && how.id.is_none() {
        output.line(&format!(
            "{mark} is {} already",
            if set { "draining" } else { "not draining" }
        ));
        output.value(&json!({ "result": "unchanged", "generation": base.generation }));
        return Ok(());
    }
    let (sign, change) = if set {
        ('+', Change::Drain(mark.clone()))
    } else {
        ('-', Change::Undrain(mark.clone()))
    };
    apply::difference(base.generation, &[format!("{sign} drain {mark}")], output);
    if how.dry_run {
        return Ok(());
    }
    let id = how.id.clone().unwrap_or_else(submit::new_id);
    let edit = Edit::new(&id, admin.operator())
        .with_note(&how.note)
        .with_change(change);
    submit::submit(admin, &edit, how, output).await
}
