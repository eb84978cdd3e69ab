//! Cancel: frees all that an attempt holds.

use serde::Deserialize;

/// How a cancel ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Reply {
    /// Whether the engine knew the attempt.
    pub released: bool,
}
