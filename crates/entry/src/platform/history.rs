//! The latest edits.

use store::Client;
use store::txn::Txn;
use table::storage;
use table::transaction::History;

use super::error::Error;
use super::read;

/// Most edits returned.
const MAX_EDITS: u64 = 200;

/// The latest edits, newest first.
///
/// # Errors
/// The platform did not answer, or a record cannot be parsed.
pub async fn history(client: &Client) -> Result<Vec<History>, Error> {
    let records = read::records(client, Txn::new().with_read(storage::GENERATION_KEY)).await?;
    let newest = storage::read_table(&records)?.0.generation;
    let oldest = newest.saturating_sub(MAX_EDITS - 1).max(1);
    let txn = (oldest..=newest).rev().fold(Txn::new(), |txn, generation| {
        txn.with_read(&storage::edit_key(generation))
    });
    let records = read::records(client, txn).await?;
    let present = records.iter().filter(|record| record.version > 0);
    Ok(present
        .map(table::transaction::read_history)
        .collect::<Result<_, _>>()?)
}
