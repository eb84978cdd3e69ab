//! What is known of the plain calls of one service.

/// Calls of one service.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    /// Mean seconds of a call that does not wait, on a replica that works as usual.
    pub(crate) mean: f64,
    /// Number of calls that were measured.
    pub(crate) measured: u64,
    /// Whether replicas of the service report how fast they work.
    pub(crate) has_reports: bool,
}
