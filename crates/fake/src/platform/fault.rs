//! Injected faults of the platform.

use serde::Deserialize;

/// Kind of fault.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Mode {
    /// No fault.
    #[default]
    Ok,
    /// Every call is refused with status 503.
    Down,
    /// No call is answered.
    Hang,
    /// Every call takes effect and is answered after a delay.
    Slow,
    /// Transactions take effect, but the connection closes without a response.
    Lose,
    /// Reads outside transactions return the state at the time the fault was set.
    Stale,
}

/// A mode with its delay in milliseconds.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
pub(super) struct Fault {
    pub(super) mode: Mode,
    #[serde(default)]
    pub(super) ms: u64,
}
