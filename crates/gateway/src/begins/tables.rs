//! Tables of the store about the begins of streams.

/// Table with one row for each service whose streams can be resumed.
pub const VERSIONS: &str = "versions";
/// Table with one row, how long streams can be resumed.
pub const LIFETIMES: &str = "lifetimes";
/// Table with one row for each run of a daemon.
pub const BEGINS: &str = "begins";
