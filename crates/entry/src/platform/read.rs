//! Linearizable reads of the table.

use node::event::StoreReply;
use store::Client;
use store::txn::Reply;
use store::txn::Row;
use store::txn::Txn;
use table::Table;
use table::storage;
use table::storage::Record;

use super::Outcome;
use super::error::Error;

/// Reads the generation.
pub(super) async fn generation(client: &Client) -> Outcome {
    let records = records(client, Txn::new().with_read(storage::GENERATION_KEY)).await?;
    let (table, _) = storage::read_table(&records)?;
    Ok(StoreReply::Generation {
        generation: table.generation,
    })
}

/// Reads the whole table in one transaction.
pub(super) async fn table(client: &Client) -> Outcome {
    let (table, _) = storage::read_table(&records(client, scans()).await?)?;
    Ok(StoreReply::Table(Box::<Table>::new(table)))
}

/// A transaction that reads the whole table.
pub(super) fn scans() -> Txn {
    storage::SCAN_PREFIXES
        .into_iter()
        .fold(Txn::new(), Txn::with_scan)
}

/// The records read by `txn`, which must have no requirements.
pub(super) async fn records(client: &Client, txn: Txn) -> Result<Vec<Record>, Error> {
    let (Reply::Committed(rows) | Reply::Conflict(rows)) = client.txn(&txn).await?;
    Ok(rows.into_iter().map(record).collect())
}

fn record(row: Row) -> Record {
    Record {
        key: row.key,
        value: row.value.unwrap_or_default(),
        version: row.version,
    }
}
