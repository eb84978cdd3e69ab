//! Commits of edits.
//!
//! A commit whose answer is lost may have taken effect or may still do so. It is planned again
//! from a new read: a record with the edit's id shows that the edit was applied; otherwise the
//! requirements, which are the same, let at most one of the two commits succeed.

use std::time::Duration;

use boottime::timer::sleep;
use node::event::StoreReply;
use store::Client;
use store::txn::Reply;
use store::txn::Txn;
use table::edit::Edit;
use table::storage;
use table::transaction::Decision;
use table::transaction::Transaction;

use super::Outcome;
use super::error::Error;
use super::read;
use crate::clock;

const MAX_TRIES: u32 = 5;
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Commits `edit` at most once.
pub(super) async fn commit(client: &Client, edit: &Edit) -> Outcome {
    let mut uncertain = false;
    let mut last = Error::Contended { tries: MAX_TRIES };
    for _ in 0..MAX_TRIES {
        match attempt(client, edit, uncertain).await {
            Ok(Some(outcome)) => return Ok(outcome),
            Ok(None) => {}
            // A read that fails before any commit was sent has no effect and may be repeated.
            Err(Error::Store(error)) => {
                uncertain |= error.is_uncertain();
                last = Error::Store(error);
            }
            Err(error) => return conflict_or_error(error),
        }
        sleep(RETRY_PAUSE).await;
    }
    match last {
        Error::Store(error) if uncertain => Err(Error::Uncertain(error)),
        last => Err(last),
    }
}

/// One read and one commit; `None` if another edit came first.
async fn attempt(client: &Client, edit: &Edit, sent: bool) -> Result<Option<StoreReply>, Error> {
    let txn = read::scans().with_read(&storage::edit_id_key(&edit.id));
    let records = read::records(client, txn).await?;
    match table::transaction::plan_edit(edit, &records, clock::unix_time().as_secs())? {
        Decision::Applied(generation) if sent => Ok(Some(StoreReply::Committed { generation })),
        Decision::Applied(generation) => Ok(Some(StoreReply::Repeated { generation })),
        Decision::Commit(transaction) => match client.txn(&build_txn(&transaction)).await? {
            Reply::Committed(_) => Ok(Some(StoreReply::Committed {
                generation: transaction.table.generation,
            })),
            Reply::Conflict(_) => Ok(None),
        },
    }
}

fn build_txn(transaction: &Transaction) -> Txn {
    let required = transaction
        .require
        .iter()
        .fold(Txn::new(), |txn, requirement| {
            txn.with_requirement(&requirement.key, requirement.version)
        });
    transaction.write.iter().fold(required, |txn, write| {
        txn.with_write(&write.key, write.value.as_deref())
    })
}

fn conflict_or_error(error: Error) -> Outcome {
    match error {
        Error::Record(storage::Error::Conflict(conflict)) => {
            let lines = conflict.rows.iter().map(ToString::to_string).collect();
            Ok(StoreReply::Conflict { lines })
        }
        error => Err(error),
    }
}
