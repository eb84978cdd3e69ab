//! Marks on instances and replicas that are to drain.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// What is marked to drain; it takes no new work and finishes what is in progress.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainTarget {
    /// An entry instance, by its name in the platform's list.
    Instance(String),
    /// A replica, by its name in the platform's list.
    Replica(String),
}

impl DrainTarget {
    /// `instance` or `replica`, as written in keys of the store.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Instance(_) => "instance",
            Self::Replica(_) => "replica",
        }
    }

    /// The name of what is marked.
    pub fn name(&self) -> &str {
        match self {
            Self::Instance(name) | Self::Replica(name) => name,
        }
    }

    /// The mark for a `kind` as written in keys of the store.
    pub fn from_kind(kind: &str, name: &str) -> Option<Self> {
        match kind {
            "instance" => Some(Self::Instance(name.to_owned())),
            "replica" => Some(Self::Replica(name.to_owned())),
            _ => None,
        }
    }
}

impl fmt::Display for DrainTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind(), self.name())
    }
}
