//! Peers that answer before they have read the request, without a length, and end the connection.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use call::Error;
use call::direct;
use call::direct::Limits;
use call::memory::Memory;
use http::Method;

const TIMEOUT: Duration = Duration::from_secs(8);
/// Size of a request in bytes; more than the buffers of a connection hold.
const REQUEST_BYTES: usize = 8 << 20;
const BODY_LIMIT: usize = 1 << 20;

/// Starts a peer that reads the first bytes of a request and sends `answer` and the end of the connection.
fn start_peer(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut first = [0; 256];
        stream.read_exact(&mut first).unwrap();
        stream.write_all(answer.as_bytes()).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        // Keeps the connection open.
        thread::sleep(TIMEOUT);
    });
    address
}

/// Guards against a part of an answer that is taken for the whole: a write that failed before the read may have taken the
/// error of a reset.
#[tokio::test]
async fn an_early_answer_without_a_length_is_lost() {
    let peer = start_peer("HTTP/1.1 200 OK\r\n\r\nhalf");
    let limits = Limits {
        body: BODY_LIMIT,
        memory: Memory::new(BODY_LIMIT),
    };
    let request = (Method::POST, "/", vec![b'x'; REQUEST_BYTES]);
    let answered = direct::exchange("post", peer, TIMEOUT, &limits, request).await;
    assert!(matches!(answered, Err(Error::Lost { .. })), "{answered:?}");
}
