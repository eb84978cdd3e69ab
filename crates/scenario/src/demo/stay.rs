//! Keeps the fleet of the demo running, for operators to try commands.

use std::fs;
use std::path::Path;

use crate::demo::TABLE;
use crate::demo::output;
use crate::demo::plan;
use crate::error::Error;
use crate::fleet::Fleet;
use crate::settings::OPERATOR;
use crate::settings::TOKEN;

/// Starts the fleet, applies the table, and writes the variables of a shell session to `file`.
///
/// The fleet runs until it is dropped.
///
/// # Errors
///
/// Returns the error that prevented the start.
pub async fn start(file: &Path) -> Result<Fleet, Error> {
    let mut fleet = Fleet::start(plan()).await?;
    fleet.apply(TABLE).await?;
    fleet.wait_until_ready().await?;
    fs::write(file, variables(&fleet))
        .map_err(|cause| Error::io("write", file.display(), cause))?;
    output::title("The fleet runs until you press Ctrl-C");
    output::line(&format!("in another terminal: . {}", file.display()));
    Ok(fleet)
}

fn variables(fleet: &Fleet) -> String {
    let admins: Vec<&str> = fleet
        .daemons
        .values()
        .map(|listen| listen.admin.as_str())
        .collect();
    let first = fleet.daemons.values().next();
    let caller = first.map_or("", |listen| listen.caller.as_str());
    let admin = first.map_or("", |listen| listen.admin.as_str());
    let programs = fleet.programs.display();
    let folder = fleet.folder.path().display();
    format!(
        "export WAXWING_ADMIN={}\n\
         export WAXWING_OPERATOR={OPERATOR}\n\
         export WAXWING_TOKEN={TOKEN}\n\
         export CALLER={caller}\n\
         export ADMIN={admin}\n\
         export FOLDER={folder}\n\
         export PATH={programs}:$PATH\n",
        admins.join(",")
    )
}
