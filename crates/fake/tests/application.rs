//! Tests of the application stand-in.

use std::net::SocketAddr;

use bytes::Bytes;
use engine::Client;
use engine::Error;
use engine::call::Request;
use fake::application;
use fake::application::Settings;
use fake::control;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use rstest::rstest;
use serde_json::json;

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

fn booking(key: &'static str) -> Request {
    let mut headers = HeaderMap::new();
    headers.insert("Idempotency-Key", HeaderValue::from_static(key));
    Request::new(Method::POST, "/lorries")
        .with_headers(headers)
        .with_body(Bytes::from("lorry"))
}

#[rstest]
#[tokio::test]
async fn repeated_call_runs_again() {
    let peer = application::start(Settings::default(), ANY).await.unwrap();
    let client = Client::new();
    for run in 1..=2 {
        let reply = client.call(peer, booking("k1")).await.unwrap();
        let body: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
        assert_eq!(
            (reply.status, &body["run"], &body["bytes"]),
            (200, &json!(run), &json!(5))
        );
    }
    client.call(peer, booking("k2")).await.unwrap();
    let record = control::record(peer).await.unwrap();
    assert_eq!(record["runs"], json!({ "k1": 2, "k2": 1 }));
    assert_eq!(record["total"], 3);
}

#[rstest]
#[case::lose("lose", 1)]
#[case::refuse("refuse", 0)]
#[tokio::test]
async fn call_runs_under_lose_but_not_under_refuse(#[case] mode: &str, #[case] runs: u64) {
    let peer = application::start(Settings::default(), ANY).await.unwrap();
    control::post(peer, "/control/fault", &json!({ "mode": mode }))
        .await
        .unwrap();
    let answer = Client::new().call(peer, booking("k")).await;
    match (mode, answer) {
        ("lose", Err(Error::Lost { .. })) => {}
        ("refuse", Ok(reply)) if reply.status == 503 => {}
        (_, answer) => panic!("{mode} gave {answer:?}"),
    }
    let record = control::record(peer).await.unwrap();
    assert_eq!(record["total"], runs);
}
