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

/// Bits of a fencing token below the era. A counter that rises a thousand times a second takes 34
/// years to fill them, and tokens below era 8,192 are exact in a JSON number of 53 bits.
const FENCE_VERSION_BITS: u32 = 40;

impl Revision {
    /// The version `version` of the era `era`.
    pub const fn new(era: u64, version: u64) -> Self {
        Self { era, version }
    }

    /// The fencing token of a claim that was written at this version: the version alone in era 0.
    /// Tokens of a later era are higher, although its versions may be given out a second time.
    pub const fn fence(self) -> u64 {
        (self.era << FENCE_VERSION_BITS) | self.version
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.version)
    }
}
