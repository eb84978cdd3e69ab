//! Invalid requests of callers, and limits on what they send.

use std::thread;
use std::time::Duration;

use rstest::rstest;

use crate::common::http;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::signed_answer;
use crate::site::Site;
use crate::site::headers;

/// Bytes of an answer that is larger than the socket buffers.
const LONG_ANSWER: usize = 7 * 1024 * 1024;
/// Time for which a caller does not read it.
const READING_PAUSE: Duration = Duration::from_secs(6);

fn start_site(name: &str) -> (Replica, Site) {
    let replica = Replica::start("i-1", |request| {
        Action::Send(signed_answer(request, 200, b"x"))
    });
    let site = Site::start(name, &[(&replica, "app", "")]);
    (replica, site)
}

#[rstest]
#[case("no-id", "GET /read/1", &[], 400)]
#[case("two-ids", "GET /read/1", &[("Request-Id", "a"), ("Request-Id", "b")], 400)]
#[case("odd-deadline", "GET /read/1", &[("Request-Id", "a"), ("Deadline-Ms", "soon")], 400)]
#[case("odd-counts", "GET /read/1", &[("Request-Id", "a"), ("Token-Counts", "12")], 400)]
#[case("odd-parts", "GET /read/1", &[("Request-Id", "a"), ("Prompt-Prefix", "x:1")], 400)]
#[case("no-route", "GET /none/1", &[("Request-Id", "a")], 404)]
#[case("no-prefix", "GET /read", &[("Request-Id", "a")], 404)]
#[case("long-body", "POST /read/1", &[("Request-Id", "a"), ("Content-Length", "100001")], 413)]
#[case("two-lengths", "POST /read/1", &[("Request-Id", "a"), ("Content-Length", "1"), ("Content-Length", "2")], 400)]
fn invalid_requests_reach_no_replica(
    #[case] name: &str,
    #[case] line: &str,
    #[case] headers: &[(&str, &str)],
    #[case] status: u16,
) {
    let (replica, site) = start_site(name);
    let response = site.daemon.caller().send_and_read(line, headers, b"");
    assert_eq!(response.status(), status);
    assert!(replica.requests().is_empty());
}

#[test]
fn a_head_that_is_too_long_is_rejected() {
    let (replica, site) = start_site("long-head");
    let long = "x".repeat(20_000);
    let response = site.daemon.caller().send_and_read(
        "GET /read/1",
        &[("Request-Id", "a"), ("X-Long", &long)],
        b"",
    );
    assert_eq!(response.status(), 431);
    assert!(replica.requests().is_empty());
}

/// Guards against request smuggling: a body that looks like a request must not be run as one.
#[test]
fn a_request_inside_a_body_is_not_run() {
    let (replica, site) = start_site("smuggled");
    let inner = b"GET /read/2 HTTP/1.1\r\nhost: shop.example\r\nrequest-id: b\r\n\r\n";
    let mut caller = site.daemon.caller();
    let response = caller.send_and_read("POST /none/1", &[("Request-Id", "a")], inner);
    assert_eq!(response.status(), 404);
    let response = caller.send_and_read("POST /read/1", &[("Request-Id", "c")], inner);
    assert_eq!(response.status(), 200);
    let received = replica.requests();
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].body, inner);
}

#[test]
fn chunked_encoding_takes_precedence_over_a_content_length() {
    let (replica, site) = start_site("both");
    let mut caller = site.daemon.caller();
    let head = "POST /read/1 HTTP/1.1\r\nhost: shop.example\r\nrequest-id: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n";
    http::send(&mut caller.socket, head.as_bytes());
    http::send(&mut caller.socket, b"5\r\nhello\r\n0\r\n\r\n");
    let response = caller.read();
    // Both are safe: a rejection, and forwarding with the chunks as the only body.
    let bodies: Vec<Vec<u8>> = replica
        .requests()
        .into_iter()
        .map(|received| received.body)
        .collect();
    assert!(response.status() == 400 && bodies.is_empty() || bodies == [b"hello"]);
}

#[test]
fn a_slow_head_times_out() {
    let (_replica, site) = start_site("slow-head");
    let mut caller = site.daemon.caller();
    http::send(&mut caller.socket, b"GET /read/1 HTTP/1.1\r\nhost: sh");
    assert!(http::closes_within(
        &mut caller.socket,
        std::time::Duration::from_secs(10)
    ));
}

#[test]
fn a_connection_may_be_idle_for_longer_than_a_head_may_take() {
    let (_replica, site) = start_site("idle");
    let mut caller = site.daemon.caller();
    assert!(!http::closes_within(
        &mut caller.socket,
        std::time::Duration::from_millis(2_500)
    ));
    caller
        .socket
        .set_read_timeout(Some(std::time::Duration::from_secs(30)))
        .unwrap();
    assert_eq!(
        caller
            .send_and_read("GET /read/1", &[("Request-Id", "a")], b"")
            .status(),
        200
    );
}

/// Guards against cutting off an answer because its caller does not read for a while.
#[test]
fn a_caller_may_pause_while_it_reads_an_answer() {
    let answer = vec![b'x'; LONG_ANSWER];
    let replica = Replica::start("i-1", move |request| {
        Action::Send(signed_answer(request, 200, &answer))
    });
    let site = Site::start("pauses", &[(&replica, "app", "")]);
    let mut caller = site.daemon.caller();
    caller.start_request("GET /read/1", &headers("a1"), b"");
    thread::sleep(READING_PAUSE);
    let answer = caller.read();
    assert_eq!((answer.complete, answer.body.len()), (true, LONG_ANSWER));
}
