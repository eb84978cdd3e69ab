//! Recorded outcomes of requests, which outlive the daemon that ran them.

use bytes::Bytes;
use ident::Incarnation;
use node::event::RecordedOutcome;
use node::event::StoreReply;
use serde::Deserialize;
use serde::Serialize;
use store::Client;
use store::txn::Txn;

use super::Outcome;
use super::error::Error;
use super::read;
use crate::clock;

/// Key prefix of the rows of all incarnations.
pub(super) const PREFIX: &str = "outcome/";

/// The value of a row.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Row {
    /// Time of the write, in seconds since the Unix epoch.
    pub(super) unix_s: u64,
    lines: Vec<Line>,
}

/// One outcome.
#[derive(Debug, Serialize, Deserialize)]
struct Line {
    key: String,
    status: u16,
    /// Stored as numbers because a body need not be text.
    body: Option<Vec<u8>>,
}

/// Writes one row of outcomes. The write is idempotent, so the transaction has no requirements.
pub(super) async fn record(
    client: &Client,
    incarnation: Incarnation,
    sequence: u64,
    outcomes: &[(String, u16, Option<Bytes>)],
) -> Outcome {
    let key = format!("{}{sequence:016}", prefix(incarnation));
    client
        .txn(&Txn::new().with_write(&key, Some(&row(outcomes))))
        .await?;
    Ok(StoreReply::Recorded)
}

/// Finds the outcome of `key` among those recorded by `incarnation`.
pub(super) async fn find(client: &Client, incarnation: Incarnation, key: &str) -> Outcome {
    let txn = Txn::new().with_scan(&prefix(incarnation));
    for record in read::records(client, txn).await? {
        let row: Row = serde_json::from_str(&record.value).map_err(|error| Error::Outcome {
            key: record.key,
            cause: error.to_string(),
        })?;
        if let Some(line) = row.lines.into_iter().find(|line| line.key == key) {
            let body = line.body.map(Bytes::from);
            return Ok(StoreReply::Outcome(Some(RecordedOutcome {
                status: line.status,
                body,
            })));
        }
    }
    Ok(StoreReply::Outcome(None))
}

fn prefix(incarnation: Incarnation) -> String {
    format!("{PREFIX}{incarnation}/")
}

fn row(outcomes: &[(String, u16, Option<Bytes>)]) -> String {
    let lines = outcomes.iter().map(|(key, status, body)| Line {
        key: key.clone(),
        status: *status,
        body: body.as_ref().map(|body| body.to_vec()),
    });
    let row = Row {
        unix_s: clock::unix_time().as_secs(),
        lines: lines.collect(),
    };
    serde_json::to_string(&row).expect("texts and numbers always serialise")
}
