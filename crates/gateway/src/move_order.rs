//! Orders that a run of this daemon continues at another replica.

use relay::homes::Homes;
use relay::server::Key;
use tokio::sync::watch;

/// Why a run moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The memory of its replica will be full.
    Memory,
    /// Its replica has turned slow.
    Slow,
}

impl Reason {
    /// Returns the name used in log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Slow => "slow",
        }
    }
}

/// Where a run continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// The replica.
    pub to: Key,
    /// Why it moves.
    pub reason: Reason,
}

/// Tells a run to continue at another replica.
#[derive(Debug)]
pub struct MoveOrder {
    /// The target; `None` until the run has to move.
    pub target: watch::Sender<Option<Target>>,
    /// Data centres to which it may move.
    pub homes: Homes,
}
