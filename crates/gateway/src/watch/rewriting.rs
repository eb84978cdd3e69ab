//! Restores the table of instances after the store has come back from a copy: a row written since is
//! missing.

use std::rc::Rc;
use std::time::Duration;

use boottime::timer::sleep;

use crate::shared::Shared;
use crate::watch::instances;

/// Rate at which all daemons together write their rows again. The store takes 400 writes per second
/// and more of all daemons, and 300 in one part; these also serve other purposes.
pub const WRITES_PER_S: f64 = 100.0;
/// Minimum time over which the daemons spread these writes: all of them call a store that returns.
pub const MIN_SPREAD: Duration = Duration::from_secs(1);

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
        if shared.may_lack_own_row() && instances::register(&shared).await {
            log::info!(kind = "store", step = "rewriting", table = instances::TABLE, era = era, members = members as u64; "wrote the own row again");
        }
    }
}

/// Time over which `members` daemons spread the writes of their rows.
pub fn spread(members: usize) -> Duration {
    Duration::from_secs_f64(members as f64 / WRITES_PER_S).max(MIN_SPREAD)
}
