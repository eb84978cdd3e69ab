//! Peers that answer with a status that the protocol does not define.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
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

/// Starts a peer that answers one request with `status`.
fn start_peer(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1024];
        assert!(stream.read(&mut request).unwrap() > 0);
        let answer = format!("HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nab");
        stream.write_all(answer.as_bytes()).unwrap();
    });
    address
}

/// Guards against bytes that are no answer reaching a caller as one.
#[rstest]
#[case::zero("000", false)]
#[case::below_the_first("099", false)]
#[case::success("200", true)]
#[case::last("599", true)]
#[case::above_the_last("600", false)]
#[case::largest("999", false)]
#[tokio::test]
async fn an_answer_with_an_invalid_status_is_lost(
    #[case] status: &'static str,
    #[case] is_valid: bool,
) {
    let limits = Limits {
        body: BODY_LIMIT,
        memory: Memory::new(BODY_LIMIT),
    };
    let request = (Method::GET, "/", Vec::new());
    let answered = direct::exchange("get", start_peer(status), TIMEOUT, &limits, request).await;
    assert_eq!(answered.is_ok(), is_valid, "{answered:?}");
    assert!(is_valid || matches!(answered, Err(Error::Lost { .. })));
}
