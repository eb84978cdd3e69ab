//! Removes the saved begins of ended daemons from the store.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::sleep;
use ident::Pool;
use relay::revision::Revision;

use crate::begins::storage;
use crate::begins::tables::BEGINS;
use crate::shared::Shared;
use crate::store::Error;

/// Interval between checks of whether the rows are due.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Removes the rows of ended daemons, forever.
pub async fn run(shared: Rc<Shared>) {
    let mut cleanup = Cleanup::new(&shared);
    let mut checked_at = Instant::now();
    loop {
        sleep(CHECK_PERIOD).await;
        let is_due = checked_at.elapsed() >= shared.stream_lifetime();
        if is_due && shared.knows_recorded_lifetime() {
            checked_at = Instant::now();
            cleanup.step(&shared).await;
        }
    }
}

/// Removes the rows that do not change for as long as a stream can be resumed, at intervals of that time.
#[derive(Debug)]
struct Cleanup {
    /// When each row was first seen, and its version then.
    seen: HashMap<String, (Revision, Instant)>,
    /// Whether the table may have rows.
    has_rows: bool,
}

impl Cleanup {
    fn new(shared: &Shared) -> Self {
        Self {
            seen: HashMap::new(),
            has_rows: !shared.settings().first_start,
        }
    }

    async fn step(&mut self, shared: &Shared) {
        self.has_rows |= !storage::resumable_services(shared).is_empty();
        let is_owner = shared.members.borrow().is_owner(Pool::new(BEGINS).0);
        if !is_owner || !self.has_rows {
            return;
        }
        if let Err(error) = self.remove_unchanged(shared).await {
            shared.store_failed("begins", &error);
        }
    }

    async fn remove_unchanged(&mut self, shared: &Shared) -> Result<(), Error> {
        let rows = shared.store.read(BEGINS).await?;
        let seen = std::mem::take(&mut self.seen);
        for row in &rows.rows {
            let revision = Revision::new(rows.revision.era, row.version);
            let since = match seen.get(&row.key) {
                Some((known, since)) if *known == revision => *since,
                _ => Instant::now(),
            };
            if since.elapsed() >= shared.stream_lifetime() {
                shared
                    .store
                    .remove_version(BEGINS, &row.key, revision)
                    .await?;
            } else {
                self.seen.insert(row.key.clone(), (revision, since));
            }
        }
        self.has_rows = !self.seen.is_empty();
        Ok(())
    }
}
