//! Records in the store how long streams can be resumed, for daemons that start after a plan has
//! shortened it: the only version of a shorter time is not that of the streams of the earlier plan.

use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::sleep;
use ident::Pool;
use platform::store::Rows;
use relay::lifetime_record::LifetimeRecord;
use relay::revision::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::begins::tables::LIFETIMES;
use crate::shared::Shared;
use crate::store::Error;

/// Key of the row.
const KEY: &str = "streams";
/// Pause after a failed call.
const RETRY: Duration = Duration::from_secs(1);
/// Interval between checks for a plan that allows another lifetime.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Interval between readings of the row by its owner: the store may have come back from a copy
/// without it.
const PERIOD: Duration = Duration::from_secs(5);

/// Content of the row.
#[derive(Debug, Serialize, Deserialize)]
struct Lifetime {
    lifetime_ms: u64,
}

/// Reads the record, until which no version counts as the only one. Then keeps it up to date while this
/// daemon is its owner, forever.
pub async fn run(shared: Rc<Shared>) {
    while !take_over(&shared).await {
        sleep(RETRY).await;
    }
    let mut record = LifetimeRecord::new();
    let mut checked = None;
    loop {
        sleep(CHECK_PERIOD).await;
        let present = shared.plan_lifetime();
        let is_due = checked.is_none_or(|(lifetime, at): (Duration, Instant)| {
            lifetime != present || at.elapsed() >= PERIOD
        });
        let is_owner = shared.members.borrow().is_owner(Pool::new(LIFETIMES).0);
        if !is_due || !is_owner || present.is_zero() {
            continue;
        }
        match update(&shared, &mut record, present).await {
            Ok(()) => {
                shared.store_answered(LIFETIMES);
                checked = Some((present, Instant::now()));
            }
            // Another daemon takes itself for the owner, too; its row is read next.
            Err(Error::Conflict) => {}
            Err(error) => {
                shared.store_failed(LIFETIMES, &error);
                sleep(RETRY).await;
            }
        }
    }
}

/// Takes over what earlier daemons have recorded; returns whether that is known.
async fn take_over(shared: &Shared) -> bool {
    let rows = match shared.store.read(LIFETIMES).await {
        Ok(rows) => rows,
        Err(error) => {
            shared.store_failed(LIFETIMES, &error);
            return false;
        }
    };
    shared.store_answered(LIFETIMES);
    let Some((recorded, _)) = parse(shared, &rows) else {
        return false;
    };
    shared.note_recorded_lifetime(recorded);
    log::info!(kind = "begin", lifetime_ms = recorded.as_millis() as u64; "read how long streams can be resumed");
    true
}

/// Reads the row, and writes it if it has to change, where the plan in force allows `present`.
async fn update(
    shared: &Shared,
    record: &mut LifetimeRecord,
    present: Duration,
) -> Result<(), Error> {
    let rows = shared.store.read(LIFETIMES).await?;
    let Some((recorded, version)) = parse(shared, &rows) else {
        return Ok(());
    };
    shared.note_recorded_lifetime(recorded);
    let Some(lifetime) = record.change(shared.clock.now(), recorded, present) else {
        return Ok(());
    };
    let lifetime_ms = lifetime.as_millis() as u64;
    let value = match serde_json::to_vec(&Lifetime { lifetime_ms }) {
        Ok(value) => value,
        Err(error) => {
            log::error!(kind = "begin", cause = error.to_string(); "the lifetime of streams cannot be encoded");
            return Ok(());
        }
    };
    let revision = Revision::new(rows.revision.era, version);
    shared.store.swap(LIFETIMES, KEY, &value, revision).await?;
    log::info!(kind = "begin", lifetime_ms = lifetime_ms, before_ms = recorded.as_millis() as u64; "recorded how long streams can be resumed");
    Ok(())
}

/// The recorded lifetime, zero without a row, and the version of the row; `None` if it cannot be read.
fn parse(shared: &Shared, rows: &Rows) -> Option<(Duration, u64)> {
    let Some(row) = rows.rows.iter().find(|row| row.key == KEY) else {
        return Some((Duration::ZERO, 0));
    };
    match serde_json::from_slice(row.value.as_deref().unwrap_or_default()) {
        Ok(Lifetime { lifetime_ms }) => Some((Duration::from_millis(lifetime_ms), row.version)),
        Err(_) if !shared.may_log_unreadable(LIFETIMES, KEY) => None,
        Err(error) => {
            log::warn!(kind = "begin", key = KEY, cause = error.to_string(); "the lifetime of streams cannot be read");
            None
        }
    }
}
