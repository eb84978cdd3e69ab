//! Instances and replicas that are marked to drain.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// An instance or replica marked to drain: it accepts no new work and finishes its current work.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainTarget {
    /// An entry instance, by its name in the platform's list.
    Instance(String),
    /// A replica, by its name in the platform's list.
    Replica(String),
}

impl DrainTarget {
    /// `instance` or `replica`, as used in store keys.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Instance(_) => "instance",
            Self::Replica(_) => "replica",
        }
    }

    /// The name of the instance or replica.
    pub fn name(&self) -> &str {
        match self {
            Self::Instance(name) | Self::Replica(name) => name,
        }
    }

    /// The target named `name` of a `kind` as used in store keys; `None` if `kind` is unknown.
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
