//! Peers that stop in the middle of the head of an answer and end the connection, or go on with another answer.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use call::Error;
use call::direct;
use call::direct::Limits;
use call::memory::Memory;
use http::Method;
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(8);
const BODY_LIMIT: usize = 1 << 20;
/// A whole head.
const HEAD: &str = "HTTP/1.1 200 OK\r\nx-first: ab\r\ncontent-length: 12\r\n\r\n";
/// Another answer of the peer.
const NEXT: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";

/// Starts a peer that reads a request, sends `answer` and closes the connection.
fn start_peer(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_head(&mut stream);
        stream.write_all(answer.as_bytes()).unwrap();
    });
    address
}

fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
}

/// Answers without a length, which end with their connection.
const WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\nx-first: ab\r\n\r\nhalf";

/// Guards against taking the end of a peer for that of its answer: both close the connection.
#[rstest]
#[case::peer_ends(true)]
#[case::peer_lives_on(false)]
#[tokio::test]
async fn an_answer_without_a_length_that_ends_with_its_peer_is_lost(#[case] ends: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let listener = Arc::new(Mutex::new(Some(listener)));
    let own_listener = Arc::clone(&listener);
    thread::spawn(move || {
        let mut listener = own_listener.lock().unwrap();
        let (mut stream, _) = listener.as_ref().unwrap().accept().unwrap();
        read_head(&mut stream);
        if ends {
            listener.take();
        }
        stream.write_all(WITHOUT_LENGTH.as_bytes()).unwrap();
    });
    assert_eq!(is_lost_at(address).await, ends);
}

/// Whether a call that is answered with `answer` is lost.
async fn is_lost(answer: String) -> bool {
    is_lost_at(start_peer(answer)).await
}

/// Whether a call of `peer` is lost.
async fn is_lost_at(peer: SocketAddr) -> bool {
    let limits = Limits {
        body: BODY_LIMIT,
        memory: Memory::new(BODY_LIMIT),
    };
    let request = (Method::POST, "/", Vec::new());
    let answered = direct::exchange("post", peer, TIMEOUT, &limits, request).await;
    matches!(answered, Err(Error::Lost { .. }))
}

/// Guards against a part of a head that is taken for an answer, also behind an interim answer.
#[rstest]
#[case::alone("")]
#[case::behind_continue("HTTP/1.1 100 Continue\r\n\r\n")]
#[case::behind_early_hints("HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n")]
#[tokio::test]
async fn an_answer_whose_head_ends_early_is_lost(
    #[case] before: &str,
    #[values("\r\n", "\n")] line_end: &str,
) {
    let head = HEAD.replace("\r\n", line_end);
    for length in 0..head.len() {
        let answer = format!("{before}{}", &head[..length]);
        assert!(is_lost(answer.clone()).await, "{answer:?}");
    }
}

/// Guards against a head that is filled up with that of the next answer: the status of the first and the length of the
/// second are taken for one answer.
#[tokio::test]
async fn a_head_that_is_filled_up_by_the_next_answer_is_lost() {
    for length in 1..HEAD.len() - "\r\n".len() {
        let answer = format!("{}{NEXT}", &HEAD[..length]);
        assert!(is_lost(answer.clone()).await, "{answer:?}");
    }
}

/// Guards against a status line or folded line that the protocol no longer allows.
#[rstest]
#[case::no_head("no head at all")]
#[case::blank_lines("\r\n\r\n")]
#[case::old_version("HTTP/0.9 200 OK\r\n\r\n")]
#[case::folded("HTTP/1.1 200 OK\r\nx-first: a\r\n b\r\ncontent-length: 0\r\n\r\n")]
#[case::chunked_before_chunks("HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n")]
#[tokio::test]
async fn an_answer_with_a_malformed_head_is_lost(#[case] answer: &str) {
    assert!(is_lost(answer.to_owned()).await);
}
