//! Answers of the admin interface.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

pub use node::status::Force;
pub use node::status::Member;
pub use node::status::Pool;
pub use node::status::Status;

/// What became of an edit.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum EditResult {
    /// It is accepted.
    Accepted {
        /// The generation it made.
        generation: u64,
    },
    /// It had been accepted before.
    Repeated {
        /// The generation it made.
        generation: u64,
    },
    /// Another operator was first.
    Conflict {
        /// Both values of each row.
        lines: Vec<String>,
    },
    /// It did not pass the checks.
    Rejected {
        /// Why.
        cause: String,
    },
    /// It may have been accepted.
    Undecided {
        /// Why that is not known.
        cause: String,
    },
}

/// Accepted edits, newest first.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct History {
    /// The edits.
    pub edits: Vec<AcceptedEdit>,
}

/// An accepted edit.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct AcceptedEdit {
    /// The generation it made.
    pub generation: u64,
    /// Its id.
    pub id: String,
    /// Who made it.
    pub operator: String,
    /// Why.
    pub note: String,
    /// When, in seconds of the Unix clock.
    pub unix_s: u64,
    /// Its changes; a later version may know kinds that this one does not.
    pub changes: Vec<Value>,
}

/// Decision lines.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Explanation {
    /// The lines, oldest first.
    pub lines: Vec<Value>,
}
