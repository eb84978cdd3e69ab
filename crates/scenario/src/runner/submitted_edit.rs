//! An operator's edit and what came of it.

use table::edit::Edit;

/// An edit that was sent, with its verdict.
#[derive(Debug, Clone)]
pub(super) struct SubmittedEdit {
    pub(super) edit: Edit,
    /// `accepted`, `repeated`, `conflict`, `rejected`, `undecided` or `lost`.
    pub(super) verdict: String,
    /// The answer's text.
    pub(super) text: String,
    /// Generation, if accepted.
    pub(super) generation: u64,
    /// When the verdict came, in milliseconds of the Unix clock.
    pub(super) unix_ms: u64,
}
