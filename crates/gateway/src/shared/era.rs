//! The era of the store.

use tokio::sync::watch;

use crate::shared::Shared;

impl Shared {
    /// The latest era of the store that this daemon knows; 0 if the store has none.
    pub fn era(&self) -> u64 {
        self.store.era().latest()
    }

    /// Changes of the era from now on.
    pub fn watch_era(&self) -> watch::Receiver<u64> {
        self.store.era().subscribe()
    }

    /// Records that the store, or a peer as `source`, named `era`.
    pub fn note_era(&self, era: u64, source: &'static str) {
        self.store.era().note(era, source);
    }
}
