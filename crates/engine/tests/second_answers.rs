//! Second answers that come late.
//!
//! Servers have been seen to answer some requests twice, the second time after the next request
//! had gone out on the same connection. A client that takes whatever comes next there hands one
//! call the answer to another: an order is told what an earlier one made of the engine, a cancel
//! is told a state, and an application with work counts as idle.

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
/// Long enough for an application that has one call to finish it.
const SERVICE: Duration = Duration::from_secs(2);

/// The address of `target` behind a link on which every answer comes twice.
async fn repeating(target: SocketAddr) -> SocketAddr {
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

async fn engine_twice() -> SocketAddr {
    let settings = Settings {
        role: Role::Prefill,
        ..Settings::default()
    };
    repeating(fake::engine::start(settings, ANY).await.unwrap()).await
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
async fn an_order_is_answered_by_its_own_answer() {
    let (client, peer) = (Client::new(), engine_twice().await);
    for (fence, model) in [(1, "ration"), (2, "herd"), (3, "feed")] {
        let reply = client.order(peer, &order(fence, model)).await.unwrap();
        assert_eq!(reply.model.as_deref(), Some(model));
    }
}

#[rstest]
#[tokio::test]
async fn a_cancel_is_not_answered_by_a_read_of_the_state() {
    let (client, peer) = (Client::new(), engine_twice().await);
    client.state(peer, 0).await.unwrap();
    let claim = Claim::new(Handle::new(OWNER, 1), OWNER, 1);
    let reply = client.cancel(peer, &claim).await.unwrap();
    assert!(!reply.released);
}

#[rstest]
#[tokio::test]
async fn the_state_of_an_application_is_the_present_one() {
    let settings = application::Settings {
        service: SERVICE,
        load_lag: Duration::ZERO,
        ..application::Settings::default()
    };
    let target = application::start(settings, ANY).await.unwrap();
    let (client, peer) = (Client::new(), repeating(target).await);
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
