//! Tests of the platform stand-in.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use fake::control;
use fake::platform;
use fake::platform::Settings;
use rstest::rstest;
use serde_json::json;
use store::Client;
use store::Error;
use store::txn::Reply;
use store::txn::Txn;

const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const TIMEOUT: Duration = Duration::from_millis(300);

async fn start_platform() -> (SocketAddr, Client) {
    let peer = platform::start(&Settings::default(), ANY).await.unwrap();
    (peer, Client::new(peer, TIMEOUT))
}

async fn set_fault(peer: SocketAddr, mode: &str, ms: u64) {
    let body = json!({ "mode": mode, "ms": ms });
    control::post(peer, "/control/fault", &body).await.unwrap();
}

#[rstest]
#[tokio::test]
async fn transaction_commits_completely_or_not_at_all() {
    let (_, client) = start_platform().await;
    let first = Txn::new()
        .with_requirement("t/a", 0)
        .with_write("t/a", Some("1"))
        .with_write("t/b", Some("2"))
        .with_scan("t/");
    let Reply::Committed(rows) = client.txn(&first).await.unwrap() else {
        panic!("the rows did not exist, but the transaction conflicted");
    };
    assert_eq!(rows.len(), 2);

    let Reply::Conflict(rows) = client.txn(&first).await.unwrap() else {
        panic!("the row exists, but the transaction committed");
    };
    assert_eq!(
        (rows[0].key.as_str(), rows[0].value.as_deref()),
        ("t/a", Some("1"))
    );

    let version = rows[0].version;
    let delete = Txn::new()
        .with_requirement("t/a", version)
        .with_write("t/a", None);
    client.txn(&delete.with_read("t/a")).await.unwrap();
    client.txn(&first.with_read("t/a")).await.unwrap();
    let rows = client.read_rows("t/a").await.unwrap();
    assert!(rows[0].version > version, "a version was reused");
}

#[rstest]
#[tokio::test]
async fn transaction_commits_although_its_answer_is_lost() {
    let (peer, client) = start_platform().await;
    set_fault(peer, "lose", 0).await;
    let lost = client.txn(&Txn::new().with_write("k", Some("v"))).await;
    assert!(matches!(lost, Err(Error::Lost { .. })), "{lost:?}");
    set_fault(peer, "ok", 0).await;
    assert_eq!(
        client.read_rows("k").await.unwrap()[0].value.as_deref(),
        Some("v")
    );
}

#[rstest]
#[tokio::test]
async fn slow_call_takes_effect_after_its_caller_timed_out() {
    let (peer, client) = start_platform().await;
    set_fault(peer, "slow", 600).await;
    let lost = client.txn(&Txn::new().with_write("k", Some("v"))).await;
    assert!(matches!(lost, Err(Error::Lost { .. })), "{lost:?}");
    set_fault(peer, "ok", 0).await;
    assert!(client.read_rows("k").await.unwrap().is_empty());
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(client.read_rows("k").await.unwrap().len(), 1);
}

#[rstest]
#[tokio::test]
async fn faults_refuse_hang_and_serve_stale_rows() {
    let (peer, client) = start_platform().await;
    set_fault(peer, "stale", 0).await;
    client
        .txn(&Txn::new().with_write("k", Some("v")))
        .await
        .unwrap();
    assert!(client.read_rows("k").await.unwrap().is_empty());
    set_fault(peer, "down", 0).await;
    let down = client.read_rows("k").await;
    assert!(
        matches!(down, Err(Error::Refused { status: 503, .. })),
        "{down:?}"
    );
    set_fault(peer, "hang", 0).await;
    let hung = client.read_rows("k").await;
    assert!(matches!(hung, Err(Error::Lost { .. })), "{hung:?}");
    set_fault(peer, "ok", 0).await;
    assert_eq!(client.read_rows("k").await.unwrap().len(), 1);
}

#[rstest]
#[tokio::test]
async fn list_lags_and_shows_each_requester_its_addresses() {
    let (peer, client) = start_platform().await;
    let list = json!({
        "instances": [{ "name": "e1", "data_centre": "johar", "peer": "127.0.0.1:1",
            "caller": "127.0.0.1:2", "state": "live" }],
        "replicas": [{ "name": "r1", "data_centre": "johar", "address": "127.0.0.1:3",
            "service": "m", "role": "decode", "slots": 20, "fences": true, "state": "leaving" }],
        "views": { "e2": { "e1": "127.0.0.1:9", "r1": "127.0.0.1:8" } },
        "lag_ms": 150,
    });
    control::post(peer, "/control/list", &list).await.unwrap();
    assert!(client.read_list("e1").await.unwrap().instances.is_empty());
    tokio::time::sleep(Duration::from_millis(200)).await;
    let own = client.read_list("e1").await.unwrap();
    let other = client.read_list("e2").await.unwrap();
    assert_eq!(
        (own.instances[0].peer.port(), own.replicas[0].address.port()),
        (1, 3)
    );
    assert_eq!(
        (
            other.instances[0].peer.port(),
            other.replicas[0].address.port()
        ),
        (9, 8)
    );
    assert_eq!(own.replicas[0].state, store::list::State::Leaving);
}

#[rstest]
#[tokio::test]
async fn calls_above_the_rate_are_refused() {
    let settings = Settings {
        writes: 5,
        ..Settings::default()
    };
    let peer = platform::start(&settings, ANY).await.unwrap();
    let client = Client::new(peer, TIMEOUT);
    let mut refused = 0;
    for n in 0..8 {
        let txn = Txn::new().with_write(&format!("k{n}"), Some("v"));
        match client.txn(&txn).await {
            Ok(_) => {}
            Err(Error::Refused { status: 429, .. }) => refused += 1,
            Err(e) => panic!("{e}"),
        }
    }
    assert_eq!(refused, 3);
    assert_eq!(control::record(peer).await.unwrap()["refused"], 3);
}

#[rstest]
#[tokio::test]
async fn objects_are_stored() {
    let (_, client) = start_platform().await;
    assert_eq!(client.get_object("a/b").await.unwrap(), None);
    client.put_object("a/b", b"bytes".to_vec()).await.unwrap();
    assert_eq!(
        client.get_object("a/b").await.unwrap(),
        Some(b"bytes".to_vec())
    );
}
