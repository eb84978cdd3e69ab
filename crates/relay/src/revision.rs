//! Versions of the platform's store.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A version of the store. When the store comes back from a copy, its versions go back and are given
/// out again; that begins a new era.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision {
    /// Era of the store; 0 if it has none.
    pub era: u64,
    /// Version within the era.
    pub version: u64,
}

impl Revision {
    /// The version `version` of the era `era`.
    pub const fn new(era: u64, version: u64) -> Self {
        Self { era, version }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.version)
    }
}
