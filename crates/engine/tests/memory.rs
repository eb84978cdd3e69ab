//! The memory of all answers that are being read.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use engine::Client;
use engine::Error;
use engine::call::Request;
use http::Method;
use rstest::rstest;

/// Answers at the same time.
const ANSWERS: usize = 24;
/// Size of each answer, below the limit of one.
const ANSWER_BYTES: usize = 15 << 20;
/// Memory for all answers.
const MEMORY_BYTES: usize = 64 << 20;
/// Answers for which the memory is enough.
const ANSWERS_IN_MEMORY: usize = MEMORY_BYTES / ANSWER_BYTES;
/// Longest wait for answers to be given up.
const TIMEOUT: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(10);

/// A peer that holds the last byte of each answer back until it is released.
#[derive(Clone, Default)]
struct Peer {
    /// Answers whose other bytes are written, or whose connection was closed.
    written: Arc<AtomicUsize>,
    is_released: Arc<AtomicBool>,
}

impl Peer {
    /// Listens for requests, which are answered with `bytes` each.
    fn start(&self, bytes: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let peer = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let peer = peer.clone();
                thread::spawn(move || peer.answer(&mut stream.unwrap(), bytes));
            }
        });
        address
    }

    fn answer(&self, stream: &mut TcpStream, bytes: usize) {
        let _read = stream.read(&mut [0; 4096]);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {bytes}\r\n\r\n");
        let body = vec![b'x'; bytes - 1];
        let written = stream.write_all(&[head.as_bytes(), &body].concat());
        self.written.fetch_add(1, Ordering::SeqCst);
        if written.is_ok() {
            while !self.is_released.load(Ordering::SeqCst) {
                thread::sleep(PAUSE);
            }
            // The other side may have closed the connection.
            let _ = stream.write_all(b"x");
        }
    }

    async fn wait_until_written(&self, answers: usize) {
        while self.written.load(Ordering::SeqCst) < answers {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Guards against a bound for each answer alone, and against giving up the answers that take least.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_largest_answers_are_given_up_beyond_the_memory_for_all() {
    let client = Client::new();
    let call = |address: SocketAddr| {
        let client = client.clone();
        tokio::spawn(async move { client.call(address, Request::new(Method::GET, "/")).await })
    };
    let peer = Peer::default();
    let small = call(peer.start(5));
    peer.wait_until_written(1).await;
    let address = peer.start(ANSWER_BYTES);
    let large: Vec<_> = (0..ANSWERS).map(|_| call(address)).collect();
    // None can end by itself before its last byte is sent.
    let ended = || large.iter().filter(|call| call.is_finished()).count();
    let deadline = Instant::now() + TIMEOUT;
    while ended() < ANSWERS - ANSWERS_IN_MEMORY {
        let held = ANSWERS - ended();
        assert!(
            Instant::now() < deadline,
            "{held} answers are held at the same time"
        );
        tokio::time::sleep(PAUSE).await;
    }
    peer.wait_until_written(1 + ANSWERS).await;
    peer.is_released.store(true, Ordering::SeqCst);

    let small = small.await.unwrap();
    assert!(small.is_ok(), "{small:?}");
    let mut whole = 0;
    for answer in large {
        match answer.await.unwrap() {
            Ok(_) => whole += 1,
            Err(Error::Lost { .. }) => {}
            Err(error) => panic!("{error:?}"),
        }
    }
    assert_eq!(whole, ANSWERS_IN_MEMORY);
}
