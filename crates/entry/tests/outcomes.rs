//! Deletion of recorded outcomes at the platform.

mod common;

use std::time::Duration;

use entry::clock;
use entry::platform;
use fake::platform::Settings;
use rstest::rstest;
use store::Client;
use store::txn::Txn;

use crate::common::ANY;

const TIMEOUT: Duration = Duration::from_secs(5);
const WINDOW: Duration = Duration::from_mins(10);

fn row(age: u64) -> String {
    let unix_s = clock::unix_time().as_secs() - age;
    format!(r#"{{"unix_s": {unix_s}, "lines": []}}"#)
}

#[rstest]
#[tokio::test]
async fn only_expired_outcome_rows_are_deleted() {
    let address = fake::platform::start(&Settings::default(), ANY)
        .await
        .unwrap();
    let client = Client::new(address, TIMEOUT);
    let txn = (0..100).fold(Txn::new(), |txn, number| {
        txn.with_write(&format!("outcome/dead/{number:04}"), Some(&row(700)))
    });
    let txn = txn
        .with_write("outcome/live/0001", Some(&row(500)))
        .with_write("outcome/odd/0001", Some("not of this version"))
        .with_write("table/generation", Some("1"));
    client.txn(&txn).await.unwrap();

    assert_eq!(platform::sweep(&client, WINDOW).await.unwrap(), 100);

    let rows = client.read_rows("").await.unwrap();
    let keys: Vec<&str> = rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(
        keys,
        ["outcome/live/0001", "outcome/odd/0001", "table/generation"]
    );
}
