//! Bodies of the answers of the admin interface.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

pub use node::status::Member;
pub use node::status::Pool;
pub use node::status::Rollout;
pub use node::status::Status;

/// Result of submitting an edit.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum EditResult {
    /// The edit is accepted.
    Accepted {
        /// Generation created by the edit.
        generation: u64,
    },
    /// An edit with this id was accepted before.
    Repeated {
        /// Generation created by the edit.
        generation: u64,
    },
    /// Another operator changed the same rows first.
    Conflict {
        /// One line for each row, with both values.
        lines: Vec<String>,
    },
    /// The edit did not pass the checks.
    Rejected {
        /// Reason given by the instance.
        cause: String,
    },
    /// Whether the edit was accepted is not known.
    Undecided {
        /// Why it is not known.
        cause: String,
    },
}

/// Answer to `table history`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct History {
    /// Accepted edits, newest first.
    pub edits: Vec<AcceptedEdit>,
}

/// An edit in the history of the table.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct AcceptedEdit {
    /// Generation created by the edit.
    pub generation: u64,
    /// Id of the edit.
    pub id: String,
    /// Name of the operator who submitted it.
    pub operator: String,
    /// The operator's reason.
    pub note: String,
    /// Time of acceptance in seconds since the Unix epoch.
    pub unix_s: u64,
    /// Its changes, unparsed: later versions may add kinds that this one does not know.
    pub changes: Vec<Value>,
}

/// Answer to `explain`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Explanation {
    /// Decision lines, oldest first.
    pub lines: Vec<Value>,
}
