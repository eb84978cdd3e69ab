//! Late duplicate answers of the platform.
//!
//! The platform may answer a call twice, the second time after the next call was sent on the same
//! connection. A client that takes it for the answer to the next call reports a transaction as
//! committed that was not, or reads the row of another key: a caller would receive the recorded
//! answer to another caller's request.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use fake::control;
use fake::link;
use fake::link::Route;
use fake::platform;
use fake::platform::Settings;
use rstest::rstest;
use serde_json::json;
use store::Client;
use store::txn::Reply;
use store::txn::Txn;

const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const TIMEOUT: Duration = Duration::from_secs(10);

/// A client of a platform that sends every answer twice.
async fn client() -> Client {
    let target = platform::start(&Settings::default(), ANY).await.unwrap();
    let route = Route { port: 0, target };
    let control = link::start(&[route], ANY).await.unwrap();
    let record = control::record(control).await.unwrap();
    let port = record["routes"][0]["port"].as_u64().unwrap() as u16;
    let change = json!({ "port": port, "mode": "repeat" });
    control::post(control, "/control/link", &change)
        .await
        .unwrap();
    Client::new(SocketAddr::new(target.ip(), port), TIMEOUT)
}

fn value(reply: Reply) -> Option<String> {
    match reply {
        Reply::Committed(mut rows) => rows.remove(0).value,
        Reply::Conflict(rows) => panic!("{rows:?}"),
    }
}

#[rstest]
#[tokio::test]
async fn a_read_returns_the_value_of_its_key() {
    let client = client().await;
    for (key, text) in [("key/a", "answer to a"), ("key/b", "answer to b")] {
        let write = Txn::new().with_write(key, Some(text)).with_read(key);
        let reply = client.txn(&write).await.unwrap();
        assert_eq!(value(reply).as_deref(), Some(text));
    }
}

#[rstest]
#[tokio::test]
async fn a_conflicting_transaction_is_not_reported_as_committed() {
    let client = client().await;
    let create = Txn::new()
        .with_requirement("claim", 0)
        .with_write("claim", Some("mine"));
    let first = client.txn(&create).await.unwrap();
    assert!(matches!(first, Reply::Committed(_)), "{first:?}");
    let second = client.txn(&create).await.unwrap();
    assert!(matches!(second, Reply::Conflict(_)), "{second:?}");
}

#[rstest]
#[tokio::test]
async fn a_read_returns_the_bytes_of_its_object() {
    let client = client().await;
    client.put_object("a", b"of a".to_vec()).await.unwrap();
    client.put_object("b", b"of b".to_vec()).await.unwrap();
    for name in ["a", "b"] {
        let found = client.get_object(name).await.unwrap();
        assert_eq!(found, Some(format!("of {name}").into_bytes()));
    }
}
