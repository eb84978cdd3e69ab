//! Deletes expired outcomes.
//!
//! The rows outlive the daemons that wrote them, so each daemon deletes the rows of all daemons. On
//! average, one daemon does so per period, regardless of their number.

use std::time::Duration;

use boottime::timer::sleep;
use node::status::Status;
use store::Client;
use store::Error;
use store::txn::Row;
use store::txn::Txn;

use super::outcomes;
use crate::clock;
use crate::driver::inbox::Inbox;
use crate::driver::inbox::StateQuery;

/// Most rows deleted in one transaction.
const BATCH_ROWS: usize = 64;

/// Deletes expired rows periodically; never returns. Rows are kept for twice the `window` of keys.
pub async fn run(client: Client, inbox: Inbox, window: Duration) {
    loop {
        sleep(window / 2).await;
        let status = inbox.query(StateQuery::Status).await;
        let members = status.as_ref().map_or(1, alive_count);
        if rand::random_range(0..members) > 0 {
            continue;
        }
        match sweep(&client, window * 2).await {
            Ok(0) => {}
            Ok(count) => log::info!(step = "sweep"; "{count} rows of old outcomes deleted"),
            Err(error) => log::warn!(step = "sweep"; "{error}"),
        }
    }
}

/// Deletes rows of outcomes written more than `age` ago and returns their number.
///
/// # Errors
/// A call to the platform failed; some rows may have been deleted.
pub async fn sweep(client: &Client, age: Duration) -> Result<usize, Error> {
    let limit = clock::unix_time().saturating_sub(age).as_secs();
    let rows = client.read_rows(outcomes::PREFIX).await?;
    let old: Vec<Row> = rows
        .into_iter()
        .filter(|row| is_older(row, limit))
        .collect();
    for batch in old.chunks(BATCH_ROWS) {
        let txn = batch
            .iter()
            .fold(Txn::new(), |txn, row| txn.with_write(&row.key, None));
        client.txn(&txn).await?;
    }
    Ok(old.len())
}

fn alive_count(status: &Status) -> usize {
    status
        .members
        .iter()
        .filter(|member| member.state == "alive")
        .count()
        .max(1)
}

/// Whether `row` was written before `limit`; false for one that cannot be parsed.
fn is_older(row: &Row, limit: u64) -> bool {
    let value = row.value.as_deref().unwrap_or_default();
    serde_json::from_str::<outcomes::Row>(value).is_ok_and(|row| row.unix_s < limit)
}
