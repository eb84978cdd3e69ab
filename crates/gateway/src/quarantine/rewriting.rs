//! Restores the quarantine records in the store after it has come back from a copy, which lacks the rows
//! that were written since.
//!
//! One daemon does it for all: a transaction carries many rows, and each daemon has all records. If it
//! ends, its successor begins again.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use boottime::timer::sleep;
use platform::store::Edit;
use relay::quarantine::record::UnixMs;

use crate::clock;
use crate::quarantine::storage;
use crate::quarantine::storage::MAX_ROWS;
use crate::quarantine::storage::TABLE;
use crate::shared::Shared;

/// Key whose keeper writes the rows again.
const WRITER_KEY: u64 = 2;
/// Interval between comparisons of the records with the table. Not only once in an era: this daemon may
/// receive a record later, or become the keeper.
const PERIOD: Duration = Duration::from_secs(2);
/// Pause between two transactions, which share the store with the rows that all instances write again.
const PAUSE: Duration = Duration::from_millis(250);

/// The rows that the table has.
#[derive(Debug)]
struct Table {
    /// Era of the store in which they were read or written.
    era: u64,
    keys: BTreeSet<String>,
}

/// Writes the rows that the table lacks in an era of the store, as long as this daemon is the one that
/// does so, forever.
pub async fn run(shared: Rc<Shared>) {
    let mut table: Option<Table> = None;
    loop {
        sleep(PERIOD).await;
        let era = shared.era();
        let is_writer = era > 0 && shared.members.borrow().is_keeper(WRITER_KEY);
        table = match table {
            _ if !is_writer || !has_stored_records(&shared) => None,
            Some(table) if table.era == era => Some(table),
            _ => read(&shared).await,
        };
        if let Some(table) = &mut table {
            write_missing(&shared, table).await;
        }
    }
}

/// Whether there may be rows to write; the table is read only then.
fn has_stored_records(shared: &Shared) -> bool {
    let quarantine = shared.quarantine.borrow();
    let mut records = quarantine.records();
    records.any(|record| record.is_suspect() || record.served > UnixMs(0))
}

async fn read(shared: &Shared) -> Option<Table> {
    match shared.store.read(TABLE).await {
        Ok(rows) => {
            shared.store_answered("quarantine");
            Some(Table {
                era: rows.revision.era,
                keys: rows.rows.into_iter().map(|row| row.key).collect(),
            })
        }
        Err(error) => {
            shared.store_failed("quarantine", &error);
            None
        }
    }
}

async fn write_missing(shared: &Shared, table: &mut Table) {
    let now = clock::unix();
    let missing: Vec<Edit> = {
        let quarantine = shared.quarantine.borrow();
        let records = quarantine.records();
        let records = records.filter(|record| record.expires() > now);
        records
            .flat_map(|record| storage::missing_rows(&table.keys, record))
            .collect()
    };
    for chunk in missing.chunks(MAX_ROWS) {
        // The table may lack rows again that were written in an earlier era.
        if shared.era() != table.era || !storage::write(shared, chunk).await {
            return;
        }
        table
            .keys
            .extend(chunk.iter().map(|row| row.key().to_owned()));
        log::info!(kind = "store", step = "rewriting", table = TABLE, era = table.era, rows = chunk.len() as u64; "wrote quarantine records again");
        sleep(PAUSE).await;
    }
}
