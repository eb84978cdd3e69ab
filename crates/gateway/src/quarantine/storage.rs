//! Quarantine records in the store, for daemons that start when no peer has them.

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use boottime::timer::sleep;
use platform::store::Edit;
use platform::store::Row;
use relay::fingerprint::Fingerprint;
use relay::quarantine::record::End;
use relay::quarantine::record::RECORD_TTL;
use relay::quarantine::record::Record;
use relay::quarantine::record::UnixMs;

use crate::clock;
use crate::shared::Shared;

/// Table with one row for each ended replica of each suspect request, and one for the time at which
/// such a request was served. A row is written once, by any daemon, so that no writer overwrites
/// another's.
pub const TABLE: &str = "quarantine";
/// Suffix of the key of the row with the time of service.
const SERVED: &str = "served";
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(700);
/// Delay before a write, so that losses of many callers share it and peers can report that a
/// request was served elsewhere.
const BATCH_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of rows in one transaction.
pub(super) const MAX_ROWS: usize = 100;

/// Loads the records once, unless the whole system starts for the first time and there are none, then
/// writes those that this daemon adds, forever.
pub async fn run(shared: Rc<Shared>) {
    while !shared.settings().first_start && !load(&shared).await {
        sleep(PAUSE).await;
    }
    let mut unstored = HashSet::new();
    loop {
        if unstored.is_empty() {
            shared.unstored.added().await;
            sleep(BATCH_DELAY).await;
        }
        unstored.extend(shared.unstored.take());
        let rows = {
            let quarantine = shared.quarantine.borrow();
            let records = unstored.iter().filter_map(|f| quarantine.get(*f));
            records.flat_map(rows_of).collect::<Vec<Edit>>()
        };
        let mut stored = true;
        for chunk in rows.chunks(MAX_ROWS) {
            stored &= write(&shared, chunk).await;
        }
        if stored {
            unstored.clear();
        } else {
            sleep(PAUSE).await;
        }
    }
}

fn rows_of(record: &Record) -> Vec<Edit> {
    let row = |name: &str, at: UnixMs| Edit::Write {
        key: format!("{}.{name}", record.fingerprint),
        value: at.0.to_string().into_bytes(),
    };
    let ends = record.ends.iter();
    let ends = ends.map(|end| row(&format!("{:016x}", end.replica), end.at));
    let served = (record.served > UnixMs(0)).then(|| row(SERVED, record.served));
    ends.chain(served).collect()
}

/// The rows of `record` that the table lacks if it has the rows with `keys`. The table needs a record
/// that is suspect, or that has been served since it was stored as suspect.
pub fn missing_rows(keys: &BTreeSet<String>, record: &Record) -> Vec<Edit> {
    let prefix = format!("{}.", record.fingerprint);
    let is_stored = || {
        let first = keys.range(prefix.clone()..).next();
        first.is_some_and(|key| key.starts_with(&prefix))
    };
    let was_served = record.served > UnixMs(0);
    let is_needed = record.is_suspect() || (was_served && is_stored());
    if !is_needed {
        return Vec::new();
    }
    let rows = rows_of(record).into_iter();
    rows.filter(|row| !keys.contains(row.key())).collect()
}

pub(super) async fn write(shared: &Shared, rows: &[Edit]) -> bool {
    match shared.store.edit(TABLE, rows).await {
        Ok(()) => true,
        Err(error) => {
            shared.store_failed("quarantine", &error);
            false
        }
    }
}

/// Merges the stored records and removes expired or unreadable rows; returns whether the store
/// answered.
async fn load(shared: &Shared) -> bool {
    let rows = match shared.store.read(TABLE).await {
        Ok(rows) => rows.rows,
        Err(error) => {
            shared.store_failed("quarantine", &error);
            return false;
        }
    };
    shared.store_answered("quarantine");
    let now = clock::unix();
    let latest = now.plus(RECORD_TTL);
    let mut expired = Vec::new();
    for row in &rows {
        match parse_row(row) {
            // A record from the future would never expire.
            Some(record) if record.expires() > now && !record.is_dated_after(latest) => {
                shared.merge_records("store", &[record]);
            }
            _ => expired.push(Edit::Remove {
                key: row.key.clone(),
            }),
        }
    }
    for chunk in expired.chunks(MAX_ROWS) {
        // After a failure the next daemon that starts removes the rest.
        write(shared, chunk).await;
    }
    true
}

/// Parses the record in one row; `None` if it is malformed.
fn parse_row(row: &Row) -> Option<Record> {
    let (fingerprint, name) = row.key.split_once('.')?;
    let fingerprint = Fingerprint(u64::from_str_radix(fingerprint, 16).ok()?);
    let at = std::str::from_utf8(row.value.as_deref()?).ok()?;
    let at = UnixMs(at.parse().ok()?);
    if name == SERVED {
        return Some(Record::served(fingerprint, at));
    }
    let replica = u64::from_str_radix(name, 16).ok()?;
    let mut record = Record::new(fingerprint);
    record.ends.push(End { replica, at });
    Some(record)
}
