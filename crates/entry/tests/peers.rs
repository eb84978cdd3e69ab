//! Invalid frames and unauthenticated senders at the peer address.

mod common;

use std::net::SocketAddr;

use bytes::Bytes;
use bytes::BytesMut;
use entry::peers::PROOF_PURPOSE;
use entry::secret::Secret;
use ident::Incarnation;
use ident::Instance;
use rstest::rstest;
use tokio::net::TcpStream;
use wire::Body;
use wire::Frame;

use crate::common::Site;
use crate::common::http as by_hand;
use crate::common::settings::SECRET;
use crate::common::settings::TOKEN;

const LENGTH_AND_VERSION: usize = 6;

fn frame() -> Bytes {
    wire::encode(&Frame::new(
        Instance::new("entry-9"),
        Incarnation(9),
        Body::Pull,
    ))
    .unwrap()
}

fn foreign_version() -> Bytes {
    let mut bytes = BytesMut::from(&frame()[..]);
    bytes[LENGTH_AND_VERSION - 1] ^= 0x40;
    bytes.freeze()
}

fn garbage_body() -> Bytes {
    let mut bytes = BytesMut::from(&frame()[..]);
    bytes[LENGTH_AND_VERSION..].fill(0xff);
    bytes.freeze()
}

/// Sends a valid frame and then `bytes` as a peer; returns when the connection has closed.
async fn send(peer: SocketAddr, secret: &str, bytes: Bytes) {
    let proof = Secret::new(secret.to_owned()).proof(PROOF_PURPOSE);
    let socket = TcpStream::connect(peer).await.unwrap();
    let (mut requests, connection) = h2::client::handshake(socket).await.unwrap();
    let request = http::Request::post("/v1/frames")
        .header("waxwing-proof", proof.expose())
        .body(())
        .unwrap();
    let (_response, mut stream) = requests.send_request(request, false).unwrap();
    stream.send_data(frame(), false).unwrap();
    stream.send_data(bytes, false).unwrap();
    // Only the end of the connection matters, not its result.
    let _ = connection.await;
}

#[rstest]
#[case::foreign_version(foreign_version(), "frame_version")]
#[case::garbage_body(garbage_body(), "frame_body")]
#[case::huge_length(Bytes::from_static(&[0xff; 64]), "frame_length")]
#[tokio::test]
async fn an_invalid_frame_closes_its_connection(#[case] bytes: Bytes, #[case] step: &str) {
    let site = Site::start(1).await;
    send(site.daemon.peer, SECRET, bytes).await;
    site.wait_for_rejection(step).await;
    site.assert_serves().await;
}

#[rstest]
#[tokio::test]
async fn bytes_that_are_not_http_close_their_connection() {
    let site = Site::start(1).await;
    by_hand::send_and_read(
        site.daemon.peer,
        b"GET /v1/frames HTTP/1.1\r\nHost: test\r\n\r\n",
    )
    .await;
    site.wait_for_rejection("handshake").await;
    site.assert_serves().await;
}

#[rstest]
#[tokio::test]
async fn frames_without_a_valid_proof_are_refused() {
    let site = Site::start(1).await;
    let rows = vec![table::row::Row::new("stolen", "default", "stolen")];
    let table = Box::new(table::Table::new(99, rows));
    let push = Frame::new(Instance::new("entry-9"), Incarnation(9), Body::Push(table));
    send(
        site.daemon.peer,
        "another secret than the fleet's",
        wire::encode(&push).unwrap(),
    )
    .await;
    site.wait_for_rejection("proof").await;
    let answer = by_hand::send_as_operator(&site.daemon, "GET", "/v1/table", TOKEN, "").await;
    assert_eq!(answer.json()["generation"], 1, "{answer:?}");
}
