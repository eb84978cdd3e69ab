//! Restores the table of instances after the store has come back from a copy: a row written since is
//! missing, and one removed since is back.

use std::rc::Rc;
use std::time::Duration;

use boottime::timer::sleep;
use platform::store::Row;
use platform::store::Rows;
use relay::revision::Revision;

use crate::exchange;
use crate::shared::Shared;
use crate::store::Error;
use crate::watch::registration;

/// Rate at which all daemons together write their rows again. The store takes 400 writes per second
/// and more of all daemons, and 300 in one part; these also serve other purposes.
pub const WRITES_PER_S: f64 = 100.0;
/// Minimum time over which the daemons spread these writes: all of them call a store that returns.
pub const MIN_SPREAD: Duration = Duration::from_secs(1);
/// Maximum number of rows of departed instances that are checked after one reading of the list; a check
/// of an instance that does not refuse the connection takes most of a second.
const MAX_DEPARTED: usize = 5;

/// Writes the own row again in each new era of the store, forever.
pub async fn run(shared: Rc<Shared>) {
    let mut eras = shared.watch_era();
    loop {
        let era = *eras.borrow_and_update();
        if !shared.may_lack_own_row() {
            if eras.changed().await.is_err() {
                return;
            }
            continue;
        }
        let members = shared.members.borrow().known_count();
        sleep(spread(members).mul_f64(rand::random())).await;
        if shared.is_stopping() {
            return;
        }
        // The row may have been read from the store or written meanwhile.
        if shared.may_lack_own_row() && registration::register(&shared).await {
            log::info!(kind = "store", step = "rewriting", table = registration::TABLE, era = era, members = members as u64; "wrote the own row again");
        }
    }
}

/// Time over which `members` daemons spread the writes of their rows.
pub fn spread(members: usize) -> Duration {
    Duration::from_secs_f64(members as f64 / WRITES_PER_S).max(MIN_SPREAD)
}

/// Removes the rows of instances that are known to have left, if this daemon is a poller: the copy has
/// the row of an instance that left since.
pub(super) async fn remove_departed(shared: &Shared, rows: &Rows) {
    let is_poller = shared.members.borrow().poller().is_none();
    if shared.era() == 0 || !is_poller {
        return;
    }
    let departed = |row: &&Row| {
        let info = registration::read_info(row);
        info.is_some_and(|info| shared.members.borrow().has_left(info.instance()))
    };
    for row in rows.rows.iter().filter(departed).take(MAX_DEPARTED) {
        remove(shared, row, rows.revision.era).await;
    }
}

/// Removes `row`, read in `era`, unless its instance runs again: an instance that starts answers its peers before it
/// writes its row, and is a member only once it is ready.
async fn remove(shared: &Shared, row: &Row, era: u64) {
    let Some(info) = registration::read_info(row) else {
        return;
    };
    if exchange::fetch_instances(shared, info.peers).await {
        return;
    }
    let revision = Revision::new(era, row.version);
    let removed = shared
        .store
        .remove_version(registration::TABLE, &row.key, revision);
    match removed.await {
        Ok(()) => {
            log::info!(kind = "store", step = "rewriting", table = registration::TABLE, instance = info.name, era = era; "removed the row of an instance that has left");
        }
        Err(Error::Conflict) => {}
        Err(error) => shared.store_failed("unlisting", &error),
    }
}
