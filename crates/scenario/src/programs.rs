//! Locates the programs of the workspace.

use std::ffi::OsStr;
use std::path::PathBuf;

use crate::error::Error;

/// Returns the folder of the workspace's programs, which is that of the running program.
pub(crate) fn program_folder() -> Result<PathBuf, Error> {
    let program =
        std::env::current_exe().map_err(|cause| Error::io("find", "the running program", cause))?;
    let folder = program.parent().map(PathBuf::from).unwrap_or_default();
    // Tests and examples are one folder deeper.
    match folder.file_name().and_then(OsStr::to_str) {
        Some("deps" | "examples") => Ok(folder.parent().map(PathBuf::from).unwrap_or_default()),
        _ => Ok(folder),
    }
}
