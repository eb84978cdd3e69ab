//! Peers that send bytes without end that are no answer.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use call::Error;
use call::direct;
use call::direct::Limits;
use call::memory::Memory;
use http::Method;
use rstest::rstest;

const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const INFORMATIONAL_HEAD: &str = "HTTP/1.1 100 Continue\r\n\r\n";

/// Time within which the readiness of a daemon has to be answered.
const MAX_DELAY: Duration = Duration::from_secs(1);
/// Timeout of the calls, far above the delay.
const TIMEOUT: Duration = Duration::from_secs(8);
/// Limit of an answer's body.
const BODY_LIMIT: usize = 16 << 20;
/// Bytes that a call may take that are no answer, with the buffers of the system on both sides.
const MAX_BYTES: usize = 16 << 20;
/// Calls at the same time.
const CALLS: usize = 4;

/// A peer that answers each request with `first` and then `repeated` without end.
struct Peer {
    address: SocketAddr,
    sent: Arc<AtomicUsize>,
}

impl Peer {
    fn start(first: &'static str, repeated: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let sent = Arc::new(AtomicUsize::new(0));
        let total = Arc::clone(&sent);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let total = Arc::clone(&total);
                thread::spawn(move || pour(&mut stream.unwrap(), first, repeated, &total));
            }
        });
        Self { address, sent }
    }
}

fn pour(stream: &mut TcpStream, first: &str, repeated: &str, sent: &AtomicUsize) {
    const BATCH_BYTES: usize = 64 * 1024;
    let mut request = [0; 4096];
    if stream.read(&mut request).is_err() || stream.write_all(first.as_bytes()).is_err() {
        return;
    }
    let batch = repeated.repeat(BATCH_BYTES / repeated.len());
    while let Ok(count) = stream.write(batch.as_bytes()) {
        sent.fetch_add(count, Ordering::SeqCst);
    }
}

async fn get(peer: SocketAddr) -> Result<(http::StatusCode, bytes::Bytes), Error<&'static str>> {
    let limits = Limits {
        body: BODY_LIMIT,
        memory: Memory::new(CALLS * BODY_LIMIT),
    };
    let request = (Method::GET, "/", Vec::new());
    direct::exchange("get", peer, TIMEOUT, &limits, request).await
}

/// The longest time by which a timer was late until `done` returned true.
async fn longest_delay(done: impl Fn() -> bool) -> Duration {
    const PERIOD: Duration = Duration::from_millis(10);
    let mut longest = Duration::ZERO;
    while !done() {
        let started = Instant::now();
        tokio::time::sleep(PERIOD).await;
        longest = longest.max(started.elapsed().saturating_sub(PERIOD));
    }
    longest
}

#[rstest]
#[case::informational_heads(INFORMATIONAL_HEAD, INFORMATIONAL_HEAD)]
#[case::zeros_of_a_chunk_size(CHUNKED_HEAD, "0")]
#[case::fields_of_the_head("HTTP/1.1 200 OK\r\n", "a: b\r\n")]
#[case::one_field_of_the_head("HTTP/1.1 200 OK\r\na: ", "b")]
#[case::an_extension_of_a_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x")]
#[case::trailers(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    "a: b\r\n"
)]
#[case::blank_lines("\r\n", "\r\n")]
#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn bytes_that_are_no_answer_end_the_call_and_delay_nothing(
    #[case] first: &'static str,
    #[case] repeated: &'static str,
) {
    let peer = Peer::start(first, repeated);
    let calls: Vec<_> = (0..CALLS)
        .map(|_| tokio::spawn(get(peer.address)))
        .collect();
    let ended = || calls.iter().all(tokio::task::JoinHandle::is_finished);
    let delay = longest_delay(ended).await;
    for call in calls {
        let answer = call.await.unwrap();
        assert!(matches!(answer, Err(Error::Lost { .. })), "{answer:?}");
    }
    let sent = peer.sent.load(Ordering::SeqCst);
    assert!(
        sent <= CALLS * MAX_BYTES,
        "{sent} bytes were taken, delay {delay:?}"
    );
    assert!(delay <= MAX_DELAY, "a timer was {delay:?} late");
}

/// Guards against a bound on bytes that counts those of a sound answer.
#[rstest]
#[case::with_a_length(1 << 20, None)]
#[case::in_large_chunks(1 << 20, Some(1 << 20))]
#[case::in_chunks_of_a_byte(16 << 10, Some(1))]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_long_answer_is_read_whole(#[case] part: usize, #[case] chunk: Option<usize>) {
    const PARTS: usize = 12;
    let head = match chunk {
        None => format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
            PARTS * part
        ),
        Some(_) => CHUNKED_HEAD.to_owned(),
    };
    let body = vec![b'x'; part];
    let encoded = match chunk {
        None => body,
        Some(size) => body.chunks(size).flat_map(encode_chunk).collect(),
    };
    let end = chunk.map_or("", |_| "0\r\n\r\n");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let sender = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _read = stream.read(&mut [0; 4096]).unwrap();
        stream.write_all(head.as_bytes()).unwrap();
        for _ in 0..PARTS {
            stream.write_all(&encoded).unwrap();
        }
        stream.write_all(end.as_bytes()).unwrap();
    });
    let (status, answer) = get(address).await.unwrap();
    sender.join().unwrap();
    assert_eq!((status.as_u16(), answer.len()), (200, PARTS * part));
}

fn encode_chunk(data: &[u8]) -> Vec<u8> {
    let size = format!("{:x}\r\n", data.len()).into_bytes();
    [&size, data, b"\r\n"].concat()
}
