//! Finds out whether the whole system starts for the first time: the settings may go on saying so at
//! later starts.

use futures::future::join_all;

use crate::begins::tables;
use crate::shared::Shared;
use crate::watch::registration;

/// Registers this instance, whose settings say that the whole system starts for the first time;
/// returns whether that succeeded. It does so only if the store answers that no stream is recorded and
/// that this instance has not registered before.
pub(super) async fn register(shared: &Shared) -> bool {
    let tables = [tables::VERSIONS, tables::BEGINS, tables::LIFETIMES];
    let may_have_rows = join_all(tables.map(|table| may_have_rows(shared, table)));
    let has_records = may_have_rows.await.contains(&true);
    if !has_records && registration::create(shared).await {
        shared.note_first_start();
        return true;
    }
    log::info!(kind = "store", step = "first start", records = has_records; "the store does not confirm that the whole system starts for the first time");
    registration::register(shared).await
}

/// Whether `table` has rows, or the store does not answer.
async fn may_have_rows(shared: &Shared, table: &'static str) -> bool {
    match shared.store.read(table).await {
        Ok(rows) => !rows.rows.is_empty(),
        Err(error) => {
            shared.store_failed(table, &error);
            true
        }
    }
}
