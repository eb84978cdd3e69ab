//! Cancel: frees everything that an attempt holds at an engine.

use serde::Deserialize;

/// The result of a cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Reply {
    /// Whether the engine held the attempt.
    pub released: bool,
}
