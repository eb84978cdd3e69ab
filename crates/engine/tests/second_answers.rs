//! Duplicate answers that arrive late.
//!
//! Some servers answer a request twice, the second time after the next request has been sent on the
//! same connection. A client that reuses the connection takes the duplicate for the answer to the
//! next call: an order reports the result of an earlier one, a cancel reads a state, and a busy
//! application counts as idle.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use engine::Claim;
use engine::Client;
use engine::order;
use fake::application;
use fake::control;
use fake::engine::Role;
use fake::engine::Settings;
use fake::link;
use fake::link::Route;
use ident::Handle;
use ident::Incarnation;
use rstest::rstest;
use serde_json::json;

const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const OWNER: Incarnation = Incarnation(7);
/// Service time of a call; long enough that it still runs when the state is read.
const SERVICE: Duration = Duration::from_secs(2);

/// Starts a link to `target` that repeats every answer, and returns its address.
async fn repeating_link(target: SocketAddr) -> SocketAddr {
    let route = Route { port: 0, target };
    let control = link::start(&[route], ANY).await.unwrap();
    let record = control::record(control).await.unwrap();
    let port = record["routes"][0]["port"].as_u64().unwrap() as u16;
    let change = json!({ "port": port, "mode": "repeat" });
    control::post(control, "/control/link", &change)
        .await
        .unwrap();
    SocketAddr::new(target.ip(), port)
}

async fn engine_behind_repeating_link() -> SocketAddr {
    let settings = Settings {
        role: Role::Prefill,
        ..Settings::default()
    };
    repeating_link(fake::engine::start(settings, ANY).await.unwrap()).await
}

fn order(fence: u64, model: &str) -> order::Request {
    order::Request {
        fence,
        model: Some(model.to_owned()),
        ..order::Request::default()
    }
}

#[rstest]
#[tokio::test]
async fn an_order_gets_its_own_answer() {
    let (client, peer) = (Client::new(), engine_behind_repeating_link().await);
    for (fence, model) in [(1, "ration"), (2, "herd"), (3, "feed")] {
        let reply = client.order(peer, &order(fence, model)).await.unwrap();
        assert_eq!(reply.model.as_deref(), Some(model));
    }
}

#[rstest]
#[tokio::test]
async fn a_cancel_does_not_get_the_answer_to_a_state_read() {
    let (client, peer) = (Client::new(), engine_behind_repeating_link().await);
    client.state(peer, 0).await.unwrap();
    let claim = Claim::new(Handle::new(OWNER, 1), OWNER, 1);
    let reply = client.cancel(peer, &claim).await.unwrap();
    assert!(!reply.released);
}

#[rstest]
#[tokio::test]
async fn a_state_read_returns_the_current_state() {
    let settings = application::Settings {
        service: SERVICE,
        load_lag: Duration::ZERO,
        ..application::Settings::default()
    };
    let target = application::start(settings, ANY).await.unwrap();
    let (client, peer) = (Client::new(), repeating_link(target).await);
    assert_eq!(client.state(peer, 0).await.unwrap().running, 0);
    let call = engine::call::Request::new(http::Method::POST, "/feed");
    let running = tokio::spawn({
        let client = client.clone();
        async move { client.call(target, call).await }
    });
    while control::record(target).await.unwrap()["total"] != 1 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(client.state(peer, 0).await.unwrap().running, 1);
    running.abort();
}
