//! Recorded outcomes of requests, which outlive the daemon that ran them.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use ident::Incarnation;
use node::event::Recorded;
use node::event::Stored;
use serde::Deserialize;
use serde::Serialize;
use store::Client;
use store::txn::Reply;
use store::txn::Txn;

use super::Outcome;
use super::error::Error;
use super::outcome_prefix;
use super::read;

/// Rows deleted at most with one write.
const DELETES: usize = 32;

/// One outcome in a row.
#[derive(Debug, Serialize, Deserialize)]
struct Line {
    key: String,
    status: u16,
    /// Bytes as numbers: a body need not be text.
    body: Option<Vec<u8>>,
}

/// The rows written by this run, oldest first; those past the window are deleted.
#[derive(Debug)]
pub(super) struct Written {
    window: Duration,
    rows: Mutex<VecDeque<(Instant, String)>>,
}

impl Written {
    /// Nothing written; rows are kept for `window`, and as long again for late repeats.
    pub(super) fn new(window: Duration) -> Self {
        Self {
            window,
            rows: Mutex::default(),
        }
    }

    /// Writes one row of outcomes.
    pub(super) async fn record(
        &self,
        client: &Client,
        incarnation: Incarnation,
        sequence: u64,
        outcomes: &[(String, u16, Option<Bytes>)],
    ) -> Outcome {
        let key = format!("{}{sequence:016}", outcome_prefix(incarnation));
        let old = self.old();
        let txn = old
            .iter()
            .fold(Txn::new(), |txn, key| txn.with_write(key, None));
        // Writing the same row twice does no harm, so nothing is required.
        let txn = txn.with_write(&key, Some(&row(outcomes)));
        match client.txn(&txn).await {
            Ok(Reply::Committed(_) | Reply::Conflict(_)) => {
                self.push(key);
                Ok(Stored::Recorded)
            }
            Err(error) => {
                // The core writes the row again under its number; the old ones wait for that.
                self.restore(old);
                Err(error.into())
            }
        }
    }

    fn old(&self) -> Vec<String> {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let limit = self.window * 2;
        let count = rows
            .iter()
            .take(DELETES)
            .take_while(|row| row.0.elapsed() > limit)
            .count();
        rows.drain(..count).map(|row| row.1).collect()
    }

    fn restore(&self, old: Vec<String>) {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        for key in old.into_iter().rev() {
            rows.push_front((now.checked_sub(self.window * 3).unwrap_or(now), key));
        }
    }

    fn push(&self, key: String) {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        rows.push_back((Instant::now(), key));
    }
}

/// Looks for the outcome of `key` among those recorded by `incarnation`.
pub(super) async fn find(client: &Client, incarnation: Incarnation, key: &str) -> Outcome {
    let txn = Txn::new().with_scan(&outcome_prefix(incarnation));
    for record in read::records(client, txn).await? {
        let lines: Vec<Line> =
            serde_json::from_str(&record.value).map_err(|error| Error::Outcome {
                key: record.key,
                cause: error.to_string(),
            })?;
        if let Some(line) = lines.into_iter().find(|line| line.key == key) {
            let body = line.body.map(Bytes::from);
            return Ok(Stored::Outcome(Some(Recorded {
                status: line.status,
                body,
            })));
        }
    }
    Ok(Stored::Outcome(None))
}

fn row(outcomes: &[(String, u16, Option<Bytes>)]) -> String {
    let lines = outcomes.iter().map(|(key, status, body)| Line {
        key: key.clone(),
        status: *status,
        body: body.as_ref().map(|body| body.to_vec()),
    });
    serde_json::to_string(&lines.collect::<Vec<_>>()).expect("texts and numbers always serialise")
}
