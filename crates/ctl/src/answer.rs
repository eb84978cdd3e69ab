//! Answers of the admin interface.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// What became of an edit.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum Edited {
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

/// How far a generation has come into force.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Force {
    /// The generation.
    pub generation: u64,
    /// Instances that decide by it or by a later one, or not at all any more.
    pub in_force: usize,
    /// Instances on the platform's list.
    pub known: usize,
    /// Names of the others.
    pub missing: Vec<String>,
}

impl Force {
    /// Whether it is in force on every instance.
    pub const fn complete(&self) -> bool {
        self.missing.is_empty() && self.known > 0 && self.in_force >= self.known
    }
}

/// An instance's view.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// This run of it.
    pub incarnation: String,
    /// Table generation in force there.
    pub generation: u64,
    /// Whether it may decide by the table now.
    pub fresh: bool,
    /// Milliseconds since the store was last read.
    pub store_age_ms: Option<u64>,
    /// Whether a planned stop is going on.
    pub leaving: bool,
    /// Requests open.
    pub open: usize,
    /// Attempts whose memory on a replica is not confirmed released.
    pub holds: usize,
    /// Keys remembered.
    pub keys: usize,
    /// Pools it is keeper of.
    pub pools: Vec<Pool>,
    /// All instances known to it.
    pub members: Vec<Member>,
}

/// A pool kept by an instance.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Requests waiting.
    pub waiting: usize,
    /// Requests placed.
    pub placed: usize,
}

/// An instance as another one sees it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// `alive`, `suspect`, `leaving`, `dead` or `unheard`.
    pub state: String,
    /// Generation it last told of.
    pub generation: Option<u64>,
    /// Milliseconds since it was last heard.
    pub heard_ms: Option<u64>,
}

/// Accepted edits, newest first.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct History {
    /// The edits.
    pub edits: Vec<Entry>,
}

/// An accepted edit.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Entry {
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
pub struct Explained {
    /// The lines, oldest first.
    pub lines: Vec<Value>,
}
