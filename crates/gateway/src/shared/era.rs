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

    /// Records that the store had the own row in `era`.
    pub fn note_own_row(&self, era: u64) {
        self.own_row_era.set(self.own_row_era.get().max(era));
    }

    /// Whether the store may have lost the own row, since it has come back from a copy.
    pub fn may_lack_own_row(&self) -> bool {
        self.own_row_era.get() < self.era()
    }
}
