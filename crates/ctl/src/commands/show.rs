//! `table show`: the table in force, in the file form.

use table::Table;
use table::file;

use crate::base;
use crate::client::Admin;
use crate::error::Error;
use crate::output::Output;

/// Path of the table in force.
pub(super) const TABLE: &str = "/v1/table";

/// Prints the table; generation and marks stand in comments, so that the text is a valid file.
pub(super) async fn run(admin: &Admin, output: Output) -> Result<(), Error> {
    let table: Table = admin.get(TABLE).await?;
    output.line(&base::header(table.generation));
    for mark in &table.drains {
        output.line(&format!("# draining: {mark}"));
    }
    output.line(file::to_yaml(&table.rows).trim_end());
    output.value(&table);
    Ok(())
}
