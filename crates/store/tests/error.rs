//! Errors of failed calls, which show whether the call may have taken effect.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use store::Client;
use store::Error;
use store::error::Step;
use store::txn::Txn;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const TIMEOUT: Duration = Duration::from_millis(300);

/// Starts a peer that reads a request, answers with `answer` and closes the connection.
async fn start_peer(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(ANY).await.unwrap();
    let peer = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 4096];
            let _read = stream.read(&mut request).await.unwrap();
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    peer
}

fn txn() -> Txn {
    Txn::new().with_write("k", Some("v"))
}

#[rstest]
#[tokio::test]
async fn a_refused_connection_is_not_sent() {
    let listener = TcpListener::bind(ANY).await.unwrap();
    let peer = listener.local_addr().unwrap();
    drop(listener);
    let error = Client::new(peer, TIMEOUT).txn(&txn()).await.unwrap_err();
    assert!(!error.is_uncertain());
    match error {
        Error::NotSent {
            step,
            peer: failed_peer,
            ..
        } => assert_eq!((step, failed_peer), (Step::Txn, peer)),
        error => panic!("{error:?}"),
    }
}

#[rstest]
#[case::closed("", "lost")]
#[case::cut_short("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{", "lost")]
#[case::server_error("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", "lost")]
#[case::unavailable("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n", "refused")]
#[case::too_many("HTTP/1.1 429 Slow\r\nContent-Length: 0\r\n\r\n", "refused")]
#[case::garbage("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]", "malformed")]
#[tokio::test]
async fn the_answer_determines_the_error(#[case] answer: &'static str, #[case] kind: &str) {
    let peer = start_peer(answer).await;
    let error = Client::new(peer, TIMEOUT).txn(&txn()).await.unwrap_err();
    let found = match &error {
        Error::NotSent { .. } => "not sent",
        Error::Lost { .. } => "lost",
        Error::Refused { .. } => "refused",
        Error::Malformed { .. } => "malformed",
    };
    assert_eq!(found, kind, "{error:?}");
    assert_eq!(error.is_uncertain(), kind != "refused");
}

#[rstest]
#[tokio::test]
async fn a_timeout_is_lost() {
    let listener = TcpListener::bind(ANY).await.unwrap();
    let client = Client::new(listener.local_addr().unwrap(), TIMEOUT);
    let error = client.read_rows("k").await.unwrap_err();
    assert!(
        matches!(
            error,
            Error::Lost {
                step: Step::Rows,
                ..
            }
        ),
        "{error:?}"
    );
}
