//! `table show`: prints the table in force as a file.

use table::Table;
use table::file;

use crate::base;
use crate::client::AdminClient;
use crate::error::Error;
use crate::output::Output;

/// Path of the table in the admin interface.
pub(super) const TABLE_PATH: &str = "/v1/table";

/// Prints the table as a valid file, with its generation and what is draining in comments.
pub(super) async fn run(admin: &AdminClient, output: Output) -> Result<(), Error> {
    let table: Table = admin.get(TABLE_PATH).await?;
    output.line(&base::header(table.generation));
    for target in &table.drains {
        output.line(&format!("# draining: {target}"));
    }
    output.line(file::to_yaml(&table.rows).trim_end());
    output.value(&table);
    Ok(())
}
