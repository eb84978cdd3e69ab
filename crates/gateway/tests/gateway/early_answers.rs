//! Replicas that answer a long upload before they have read it, without a length, and end the connection.

use std::io::Read;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::OnceLock;
use std::thread;
use std::time::Duration;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use socket2::SockRef;

use crate::common::http;
use crate::common::http::Message;
use crate::common::http::answer;
use crate::site::Site;
use crate::site::config;

/// Size of an upload in bytes; more than the buffers of a connection hold.
const UPLOAD_BYTES: usize = 8 * 1024 * 1024;
/// Uploads of each kind: which end of a connection sees the reset first is a matter of chance.
const UPLOADS: usize = 10;
/// Time after which the daemon knows a change of the list of replicas.
const LIST_TIME: Duration = Duration::from_millis(1_200);

/// A configuration that allows the uploads.
fn upload_plan() -> Value {
    let mut plan = config(1);
    plan["limits"]["max-body-bytes"] = (2 * UPLOAD_BYTES).into();
    plan
}

/// Reads the head of a request; `None` at the end of the connection.
fn read_head(socket: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if socket.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

/// A part of an answer without a length to the request with `head`.
fn cut_answer(head: &str) -> Vec<u8> {
    let ids = head.lines().filter_map(|line| line.split_once(": "));
    let id = ids
        .filter(|(name, _)| name.eq_ignore_ascii_case("request-id"))
        .map(|(_, id)| id)
        .next()
        .unwrap_or_default();
    format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-seal: s\r\ncontent-type: text/event-stream\r\n\r\nid: 1\ndata: t1\n\n").into_bytes()
}

/// Answers calls of the daemon, and resets uploads after a part of their answer was sent and `before_reset` was called.
fn serve(socket: &mut TcpStream, before_reset: &dyn Fn(&TcpStream)) {
    while let Some(head) = read_head(socket) {
        let path = head.split(' ').nth(1).unwrap_or_default();
        let body = match path {
            "/api/report" => json!({"busy": false, "seq": 0}),
            "/api/hold-take" => json!({"hold": "h1"}),
            _ if path.starts_with("/api/") => json!({}),
            _ => {
                http::send(socket, &cut_answer(&head));
                before_reset(socket);
                let _ = SockRef::from(&*socket).set_linger(Some(Duration::ZERO));
                return;
            }
        };
        http::send(socket, &answer(200, &[], body.to_string().as_bytes()));
    }
}

/// Entry of the replica at `address`.
fn row(address: SocketAddr, service: &str, state: &str) -> Value {
    let mut row = json!({"service": service, "addr": address, "zone": "here", "version": "v1", "slots": 8,
        "state": state, "cold-left-ms": 0, "seq": 1});
    if service == "llm" {
        row["stage"] = "decode".into();
    }
    row
}

/// Sends an upload and reads the answer while it is being sent.
fn upload(site: &Site, path: &str, id: &str) -> Message {
    let mut caller = site.daemon.caller();
    let mut reader = caller.socket.try_clone().unwrap();
    let answer = thread::spawn(move || http::read(&mut reader).ok().flatten().unwrap_or_default());
    let headers = [
        ("Request-Id", id),
        ("Deadline-Ms", "4000"),
        ("Token-Counts", "1460,80"),
    ];
    let body = vec![b'x'; UPLOAD_BYTES];
    caller.start_request(&format!("POST {path}"), &headers, &body);
    answer.join().unwrap()
}

/// Number of `uploads` to `path` whose caller takes the answer for a complete success.
fn count_successes(site: &Site, path: &str, uploads: usize) -> usize {
    let answers = (0..uploads).map(|number| upload(site, path, &format!("u{number}")));
    let successes = answers.filter(|answer| answer.status() == 200 && answer.complete);
    successes.count()
}

/// Guards against a part of an answer that looks complete to its caller.
#[rstest]
#[case::call_that_may_not_be_repeated("app", "/book/1")]
#[case::call_that_may_be_repeated("app", "/read/1")]
#[case::stream("llm", "/draft/1")]
#[case::resumable_stream("llm", "/resume/1")]
fn an_early_answer_that_is_reset_is_not_complete(
    #[case] service: &str,
    #[case] path: &str,
    #[values(0, 1, 20)] pause_ms: u64,
) {
    let pause = Duration::from_millis(pause_ms);
    let address = http::serve("127.0.0.1", move |socket| {
        serve(socket, &|_| thread::sleep(pause));
    });
    let site = Site::start_with_plan("early", &upload_plan(), &[]);
    site.store
        .put("servers", "i-1", &row(address, service, "ready"));
    site.daemon.wait_until_ready();
    assert_eq!(count_successes(&site, path, UPLOADS), 0);
}

/// Guards against taking the end of the connection for that of the answer since its replica leaves.
#[rstest]
#[case::call("app", "/book/1")]
#[case::stream("llm", "/draft/1")]
fn an_early_answer_of_a_leaving_replica_that_is_reset_is_not_complete(
    #[case] service: &'static str,
    #[case] path: &str,
    #[values(true, false)] is_listed: bool,
) {
    let site = Site::start_with_plan("early-leaving", &upload_plan(), &[]);
    let store = site.store.clone();
    let own_address = Arc::new(OnceLock::new());
    let own = Arc::clone(&own_address);
    let address = http::serve("127.0.0.1", move |socket| {
        serve(socket, &|_| {
            if is_listed {
                let draining = row(*own.wait(), service, "draining");
                store.put("servers", "i-1", &draining);
            } else {
                store.remove("servers", "i-1");
            }
            thread::sleep(LIST_TIME);
        });
    });
    own_address.set(address).unwrap();
    site.store
        .put("servers", "i-1", &row(address, service, "ready"));
    site.daemon.wait_until_ready();
    assert_eq!(count_successes(&site, path, 1), 0);
}

/// Guards against an end of the connection that shows no error: a write that failed before the read may have taken it.
#[rstest]
#[case::call("app", "/book/1")]
#[case::stream("llm", "/draft/1")]
fn an_early_answer_whose_connection_ends_during_the_upload_is_not_complete(
    #[case] service: &str,
    #[case] path: &str,
) {
    let address = http::serve("127.0.0.1", |socket| {
        serve(socket, &|socket| {
            let _ = socket.shutdown(Shutdown::Write);
            thread::sleep(LIST_TIME);
        });
    });
    let site = Site::start_with_plan("early-end", &upload_plan(), &[]);
    site.store
        .put("servers", "i-1", &row(address, service, "ready"));
    site.daemon.wait_until_ready();
    assert_eq!(count_successes(&site, path, 1), 0);
}
