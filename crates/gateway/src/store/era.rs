//! The latest era of the store.

use std::cell::Cell;
use std::time::Duration;

use boottime::Instant;
use tokio::sync::watch;

/// The latest era of the store that its answers or peers have named.
#[derive(Debug)]
pub struct Era {
    latest: watch::Sender<u64>,
    /// Whether an era has been named since the start.
    is_named: Cell<bool>,
    /// When a later era was last named, and whether it was the first one named since the start.
    raised: Cell<Option<(Instant, bool)>>,
}

impl Era {
    pub(super) fn new() -> Self {
        Self {
            latest: watch::Sender::new(0),
            is_named: Cell::new(false),
            raised: Cell::new(None),
        }
    }

    /// The latest era; 0 if the store has none.
    pub fn latest(&self) -> u64 {
        *self.latest.borrow()
    }

    /// Changes from now on.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.latest.subscribe()
    }

    /// Waits until the latest era is later than `era`.
    pub async fn passed(&self, era: u64) {
        let mut latest = self.subscribe();
        // Fails only if the sender is dropped, which `self` holds.
        let _ = latest.wait_for(|latest| *latest > era).await;
    }

    /// Records that the store, or a peer as `source`, named `era`.
    pub fn note(&self, era: u64, source: &'static str) {
        let before = self.latest();
        let is_first = !self.is_named.replace(true);
        if era <= before {
            return;
        }
        self.raised.set(Some((Instant::now(), is_first)));
        self.latest.send_replace(era);
        log::info!(kind = "era", before = before, era = era, source = source; "the store has a new era");
    }

    /// Time since a later era was last named; `None` if none was. With `skip_first`, the first one
    /// named since the start does not count.
    pub fn time_since_raised(&self, skip_first: bool) -> Option<Duration> {
        let raised = self.raised.get();
        let raised = raised.filter(|(_, is_first)| !(skip_first && *is_first));
        raised.map(|(at, _)| at.elapsed())
    }
}
