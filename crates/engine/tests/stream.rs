//! Streams of a decode and errors of engine calls.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use engine::Claim;
use engine::Client;
use engine::Error;
use engine::attach;
use engine::error::Step;
use engine::stream::Event;
use engine::stream::Reason;
use ident::Handle;
use ident::Incarnation;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const HEAD: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

/// A peer that answers one request with `pieces`, pausing between them, and closes.
async fn peer_with(pieces: Vec<&'static str>) -> SocketAddr {
    let listener = TcpListener::bind(ANY).await.unwrap();
    let peer = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        let _read = stream.read(&mut request).await.unwrap();
        for piece in pieces {
            stream.write_all(piece.as_bytes()).await.unwrap();
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    peer
}

fn claim() -> Claim {
    Claim::new(Handle::new(Incarnation(1), 2), Incarnation(1), 3)
}

fn request() -> attach::Request {
    attach::Request {
        claim: claim(),
        offset: 4,
    }
}

#[rstest]
#[tokio::test]
async fn events_are_parsed_across_chunk_boundaries() {
    let pieces = vec![
        HEAD,
        "{\"imported\":true}\n{\"offset\":4,\"te",
        "xt\":\" w1\"}\n",
        "{\"end\":true,\"offset\":5,\"reason\":\"stop\"}\n",
    ];
    let mut stream = Client::new()
        .attach(peer_with(pieces).await, &request())
        .await
        .unwrap();
    let mut events = Vec::new();
    while let Some(event) = stream.next().await {
        events.push(event.unwrap());
    }
    let text = " w1".to_owned();
    let end = Event::End {
        offset: 5,
        reason: Reason::Stop,
    };
    assert_eq!(
        events,
        [Event::Imported, Event::Tokens { offset: 4, text }, end]
    );
}

#[rstest]
#[case::broken_off("{\"imported\":true}\n{\"offset\":4", true)]
#[case::not_an_event("{\"imported\":true}\n{\"offset\":4}\n", false)]
#[tokio::test]
async fn a_stream_without_its_end_is_an_error(#[case] lines: &'static str, #[case] lost: bool) {
    let peer = peer_with(vec![HEAD, lines]).await;
    let mut stream = Client::new().attach(peer, &request()).await.unwrap();
    assert_eq!(stream.next().await.unwrap().unwrap(), Event::Imported);
    match stream.next().await.unwrap().unwrap_err() {
        Error::Lost {
            step: Step::Stream, ..
        } if lost => {}
        Error::Malformed {
            step: Step::Stream, ..
        } if !lost => {}
        error => panic!("{error:?}"),
    }
    assert!(stream.next().await.is_none());
}

/// Guards against lines without end, of which each stream would hold one.
#[rstest]
#[tokio::test]
async fn a_line_longer_than_any_event_ends_the_stream() {
    let line = "x".repeat(20 << 10).leak();
    let peer = peer_with(vec![HEAD, line]).await;
    let mut stream = Client::new().attach(peer, &request()).await.unwrap();
    let error = stream.next().await.unwrap().unwrap_err();
    assert!(matches!(error, Error::Malformed { .. }), "{error:?}");
}

#[rstest]
#[tokio::test]
async fn a_refusal_carries_status_body_and_fence() {
    let answer = "HTTP/1.1 409 Conflict\r\nContent-Length: 11\r\n\r\n{\"fence\":9}";
    let peer = peer_with(vec![answer]).await;
    let error = Client::new().attach(peer, &request()).await.unwrap_err();
    assert_eq!(engine::error::fence(&error), Some(9));
    let body = Bytes::from_static(b"{\"fence\":9}");
    assert_eq!(
        error,
        Error::Refused {
            step: Step::Attach,
            peer,
            status: 409,
            body
        }
    );
}

#[rstest]
#[tokio::test]
async fn a_cancel_distinguishes_a_failed_connect_from_a_lost_answer() {
    let client = Client::new();
    let lost = client
        .cancel(peer_with(vec![]).await, &claim())
        .await
        .unwrap_err();
    assert!(
        matches!(
            lost,
            Error::Lost {
                step: Step::Cancel,
                ..
            }
        ),
        "{lost:?}"
    );
    let listener = TcpListener::bind(ANY).await.unwrap();
    let peer = listener.local_addr().unwrap();
    drop(listener);
    let not_sent = client.cancel(peer, &claim()).await.unwrap_err();
    assert!(matches!(not_sent, Error::NotSent { .. }), "{not_sent:?}");
}

#[rstest]
#[tokio::test]
async fn dropping_a_stream_closes_its_connection() {
    let listener = TcpListener::bind(ANY).await.unwrap();
    let peer = listener.local_addr().unwrap();
    let client = Client::new();
    let server = async {
        let (mut connection, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        let _read = connection.read(&mut request).await.unwrap();
        connection.write_all(HEAD.as_bytes()).await.unwrap();
        connection
    };
    let request = request();
    let (stream, mut connection) = tokio::join!(client.attach(peer, &request), server);
    drop(stream.unwrap());
    let closed = tokio::time::timeout(Duration::from_secs(1), connection.read(&mut [0; 16])).await;
    assert!(matches!(closed, Ok(Ok(0) | Err(_))), "{closed:?}");
}
