//! A submitted edit of an operator and its result.

use table::edit::Edit;

/// An edit with its verdict.
#[derive(Debug, Clone)]
pub(super) struct SubmittedEdit {
    pub(super) edit: Edit,
    /// `accepted`, `repeated`, `conflict`, `rejected`, `undecided` or `lost`.
    pub(super) verdict: String,
    /// Status and body of the response.
    pub(super) text: String,
    /// Generation if accepted, else 0.
    pub(super) generation: u64,
    /// When the verdict arrived, in milliseconds since the Unix epoch.
    pub(super) unix_ms: u64,
}
