//! `table check` and `config check`: check files without contacting an instance.

use std::fs;
use std::path::Path;

use entry::config::Config;
use serde_json::json;
use table::file;
use table::row::Row;

use crate::base;
use crate::error::Error;
use crate::output::Output;

/// A valid table file.
#[derive(Debug)]
pub(super) struct TableFile {
    /// Rows of the table.
    pub(super) rows: Vec<Row>,
    /// Generation that the file was made from, if it names one.
    pub(super) generation: Option<u64>,
}

/// Checks a table file and prints the number of its rows.
pub(super) fn run(path: &Path, output: Output) -> Result<(), Error> {
    let TableFile { rows, .. } = read(path)?;
    output.line(&format!(
        "{}: {} rows, no fault",
        path.display(),
        rows.len()
    ));
    output.value(&json!({ "file": path, "rows": rows.len() }));
    Ok(())
}

/// Reads and checks a table file.
pub(super) fn read(path: &Path) -> Result<TableFile, Error> {
    let text = fs::read_to_string(path).map_err(|cause| Error::Read {
        path: path.to_owned(),
        cause,
    })?;
    let rows = file::parse(&text).map_err(|report| Error::InvalidFile {
        path: path.to_owned(),
        faults: report.to_string(),
    })?;
    Ok(TableFile {
        rows,
        generation: base::parse_generation(&text),
    })
}

/// Checks a daemon's settings file with the daemon's own parser.
pub(super) fn settings(path: &Path, output: Output) -> Result<(), Error> {
    let config = Config::read(path).map_err(|fault| to_file_error(path, fault))?;
    output.line(&format!(
        "{}: settings of {} in {}, no fault",
        path.display(),
        config.name,
        config.data_centre
    ));
    output.value(&json!({ "file": path, "name": config.name }));
    Ok(())
}

fn to_file_error(path: &Path, fault: launch::error::Error) -> Error {
    match fault {
        launch::error::Error::Read { path, cause } => Error::Read { path, cause },
        other => Error::InvalidFile {
            path: path.to_owned(),
            faults: other.to_string(),
        },
    }
}
