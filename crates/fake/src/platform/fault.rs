//! Faults of the platform.

use serde::Deserialize;

/// What goes wrong on purpose.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Mode {
    /// Nothing.
    #[default]
    Ok,
    /// Every call is refused with status 503.
    Down,
    /// No call is answered.
    Hang,
    /// Every call takes effect, and is answered, later.
    Slow,
    /// Transactions take effect, and the connection closes without an answer.
    Lose,
    /// Plain reads serve the state as it was when the fault was set.
    Stale,
}

/// A mode and its delay.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
pub(super) struct Fault {
    pub(super) mode: Mode,
    #[serde(default)]
    pub(super) ms: u64,
}
