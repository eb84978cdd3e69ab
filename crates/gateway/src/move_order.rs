//! Orders that a run of this daemon continues at another replica.

use relay::homes::Homes;
use relay::server::Key;
use tokio::sync::watch;

/// Tells a run to continue at another replica.
#[derive(Debug)]
pub struct MoveOrder {
    /// The replica; `None` until the run has to move.
    pub target: watch::Sender<Option<Key>>,
    /// Data centres to which it may move.
    pub homes: Homes,
}
