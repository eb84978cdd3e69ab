//! Where the workspace's programs lie.

use std::ffi::OsStr;
use std::path::PathBuf;

use crate::error::Error;

/// The folder that holds the workspace's programs: that of the running one.
pub(crate) fn program_folder() -> Result<PathBuf, Error> {
    let program =
        std::env::current_exe().map_err(|cause| Error::io("find", "the running program", cause))?;
    let folder = program.parent().map(PathBuf::from).unwrap_or_default();
    // Tests and examples lie one folder deeper.
    match folder.file_name().and_then(OsStr::to_str) {
        Some("deps" | "examples") => Ok(folder.parent().map(PathBuf::from).unwrap_or_default()),
        _ => Ok(folder),
    }
}
