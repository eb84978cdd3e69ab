//! Guards against cut answers that look complete to their caller: a forwarded body whose sender was dropped without an
//! end, a stream without a length that ends in the middle of an event, and a resumed stream whose first event does not
//! follow the last one that the caller has.

use std::io::Read;
use std::sync::Arc;
use std::sync::OnceLock;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use gateway::body::Body;
use http_body_util::BodyExt;
use rstest::rstest;
use rustix::process::Signal;
use serde_json::Value;
use tokio::sync::mpsc;

use crate::common::caller::Caller;
use crate::common::daemon::wait_until;
use crate::common::http;
use crate::common::http::Message;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::event_texts;
use crate::common::replica::events;
use crate::common::replica::stream_head;
use crate::common::replica::stream_head_without_length;
use crate::site::Site;
use crate::site::start_generation;

/// Time after which the daemon knows a change of the list of replicas.
const LIST_TIME: Duration = Duration::from_millis(1_200);

/// Returns the bytes of a body, or `None` if it is cut.
async fn collect_body(body: Body) -> Option<Bytes> {
    let body = body.collect().await.ok()?;
    Some(body.to_bytes())
}

#[tokio::test]
async fn a_body_whose_sender_is_dropped_is_cut() {
    let (parts, body) = mpsc::channel(4);
    let body = Body::parts(body);
    drop(parts);
    assert_eq!(collect_body(body).await, None);
}

/// A stream without a length that consists of the events up to `last` and `rest`.
fn stream_without_length(request: &Message, last: u64, rest: &[u8]) -> Action {
    let events = event_texts(1, last).into_bytes();
    Action::SendAndClose([&stream_head_without_length(request), &events, rest].concat())
}

#[test]
fn a_stream_without_a_length_that_ends_within_an_event_is_cut() {
    let decode = Replica::start("i-d", |request| {
        stream_without_length(request, 2, b"id: 3\nda")
    });
    let site = Site::start("unframed-cut", &[(&decode, "llm", "decode")]);
    let response = start_generation(&site.daemon, "/draft/1", "a1").read();
    assert_eq!((response.status(), response.complete), (200, false));
}

#[test]
fn a_stream_without_a_length_that_ends_within_an_event_continues_elsewhere() {
    let script = |request: &Message| match request.header("last-event-id") {
        Some("2") => Action::Send([stream_head(request), events(3, 5), chunk(b"")].concat()),
        _ => stream_without_length(request, 2, b"id: 3\nda"),
    };
    let one = Replica::start("i-1", script);
    let two = Replica::start("i-2", script);
    let replicas = [(&one, "llm", "decode"), (&two, "llm", "decode")];
    let site = Site::start("unframed-resumed", &replicas);
    let response = start_generation(&site.daemon, "/resume/1", "a1").read();
    assert!(response.complete);
    assert_eq!(String::from_utf8_lossy(&response.body), event_texts(1, 5));
}

#[test]
fn a_stream_without_a_length_that_ends_after_an_event_is_complete() {
    let decode = Replica::start("i-d", |request| stream_without_length(request, 2, b""));
    let site = Site::start("unframed", &[(&decode, "llm", "decode")]);
    let response = start_generation(&site.daemon, "/draft/1", "a1").read();
    assert!(response.complete);
    assert_eq!(String::from_utf8_lossy(&response.body), event_texts(1, 2));
}

/// The end of a process closes its connections in the same way as the end of an answer does.
#[test]
fn an_answer_without_a_length_that_ends_with_its_replica_is_cut() {
    let script = |request: &Message| {
        let events = event_texts(1, 2).into_bytes();
        Action::Crash([stream_head_without_length(request), events].concat())
    };
    let decode = Replica::start("i-d", script);
    let app = Replica::start("i-a", script);
    let replicas = [(&decode, "llm", "decode"), (&app, "app", "")];
    let site = Site::start("unframed-crash", &replicas);
    let response = start_generation(&site.daemon, "/draft/1", "a1").read();
    assert_eq!((response.status(), response.complete), (200, false));
    assert_eq!(site.send_and_read("POST /book/1", "b1").status(), 502);
}

/// The address of an ended replica may accept connections and close them, as a balancer does.
#[test]
fn an_answer_without_a_length_is_cut_if_its_replica_closes_connections_afterwards() {
    let replica = Arc::new(OnceLock::<Replica>::new());
    let own = Arc::clone(&replica);
    let started = Replica::start("i-d", move |request| {
        own.wait().close_new_connections();
        stream_without_length(request, 2, b"")
    });
    assert!(replica.set(started.clone()).is_ok());
    let site = Site::start("unframed-closing", &[(&started, "llm", "decode")]);
    let response = start_generation(&site.daemon, "/draft/1", "a1").read();
    assert_eq!((response.status(), response.complete), (200, false));
}

/// Starts a replica that leaves while it works on a request: it drains or, unless `is_listed`, is removed from the list.
/// It then answers with `action`, which is given an answer without a length. Returns whether calls and streams of it are
/// complete.
fn leave_during_answer(
    name: &str,
    service: &'static str,
    is_listed: bool,
    action: impl Fn(Vec<u8>) -> Action + Send + Sync + 'static,
) -> bool {
    let stage = if service == "llm" { "decode" } else { "" };
    let site = Site::start(name, &[]);
    let store = site.store.clone();
    let listed = Arc::new(OnceLock::<Value>::new());
    let own = Arc::clone(&listed);
    let replica = Replica::start("i-1", move |request| {
        let mut row = own.wait().clone();
        row["state"] = "draining".into();
        if is_listed {
            store.put("servers", "i-1", &row);
        } else {
            store.remove("servers", "i-1");
        }
        thread::sleep(LIST_TIME);
        let events = event_texts(1, 2).into_bytes();
        action([stream_head_without_length(request), events].concat())
    });
    listed.set(replica.row(service, stage)).unwrap();
    site.store
        .put("servers", "i-1", &replica.row(service, stage));
    site.daemon.wait_until_ready();
    let response = match service {
        "llm" => start_generation(&site.daemon, "/draft/1", "a1").read(),
        _ => site.send_and_read("POST /book/1", "a1"),
    };
    assert_eq!(replica.requests().len(), 1);
    response.status() == 200 && response.complete
}

/// Guards against taking the end of a replica for that of its answer since it leaves by plan.
#[rstest]
fn an_answer_without_a_length_that_ends_with_its_leaving_replica_is_cut(
    #[values("app", "llm")] service: &'static str,
    #[values(true, false)] is_listed: bool,
) {
    let is_complete = leave_during_answer("leaving-crash", service, is_listed, Action::Crash);
    assert!(!is_complete);
}

/// Guards against losing the answers of replicas that leave by plan, and have time to finish them.
#[rstest]
fn an_answer_without_a_length_of_a_leaving_replica_that_lives_on_is_complete(
    #[values("app", "llm")] service: &'static str,
    #[values(true, false)] is_listed: bool,
) {
    let is_complete = leave_during_answer("leaving", service, is_listed, Action::SendAndClose);
    assert!(is_complete);
}

#[test]
fn a_stream_without_a_length_that_ends_with_its_replica_continues_elsewhere() {
    let script = |request: &Message| match request.header("last-event-id") {
        Some("2") => Action::Send([stream_head(request), events(3, 5), chunk(b"")].concat()),
        _ => {
            let events = event_texts(1, 2).into_bytes();
            Action::Crash([stream_head_without_length(request), events].concat())
        }
    };
    let one = Replica::start("i-1", script);
    let two = Replica::start("i-2", script);
    let replicas = [(&one, "llm", "decode"), (&two, "llm", "decode")];
    let site = Site::start("unframed-crash-resumed", &replicas);
    let response = start_generation(&site.daemon, "/resume/1", "a1").read();
    assert!(response.complete);
    assert_eq!(String::from_utf8_lossy(&response.body), event_texts(1, 5));
}

/// A stream whose replica marks its end counts as complete, and the caller gets the bytes unchanged.
#[test]
fn a_chunked_stream_that_ends_without_an_empty_line_is_forwarded_unchanged() {
    let decode = Replica::start("i-d", |request| {
        let last = chunk(b"id: 3\ndata: t3\n");
        Action::Send([stream_head(request), events(1, 2), last, chunk(b"")].concat())
    });
    let site = Site::start("no-empty-line", &[(&decode, "llm", "decode")]);
    let response = start_generation(&site.daemon, "/draft/1", "a1").read();
    assert!(response.complete);
    let whole = format!("{}id: 3\ndata: t3\n", event_texts(1, 2));
    assert_eq!(String::from_utf8_lossy(&response.body), whole);
}

/// Starts two replicas that cut their stream after event 2 and resume it with `rest`; returns the answer to a request.
fn resume_with(name: &str, rest: &str) -> Message {
    let rest = rest.to_owned();
    let script = move |request: &Message| match request.header("last-event-id") {
        Some("2") => {
            let rest = chunk(rest.as_bytes());
            Action::Send([stream_head(request), rest, chunk(b"")].concat())
        }
        _ => Action::SendAndClose([stream_head(request), events(1, 2)].concat()),
    };
    let one = Replica::start("i-1", script.clone());
    let two = Replica::start("i-2", script);
    let replicas = [(&one, "llm", "decode"), (&two, "llm", "decode")];
    let site = Site::start(name, &replicas);
    start_generation(&site.daemon, "/resume/1", "a1").read()
}

/// The caller gets the stream up to the wrong event, without an end.
#[rstest]
#[case("repeats-all", &event_texts(1, 5))]
#[case("repeats-one", &event_texts(2, 5))]
#[case("skips-one", &event_texts(4, 5))]
#[case("skips-in-part", "id: 4\ndata: t4\n")]
fn a_continuation_from_the_wrong_event_is_not_forwarded(#[case] name: &str, #[case] rest: &str) {
    let response = resume_with(name, rest);
    assert_eq!(String::from_utf8_lossy(&response.body), event_texts(1, 2));
    assert_eq!((response.status(), response.complete), (200, false));
}

/// Comments and the line with a new weight version may precede the id.
#[test]
fn a_continuation_from_the_next_event_is_forwarded_with_the_lines_before_its_id() {
    let rest = format!(": on\n\nweight-versions: 2\n{}", event_texts(3, 5));
    let response = resume_with("follows", &rest);
    assert!(response.complete);
    let whole = format!("{}{rest}", event_texts(1, 2));
    assert_eq!(String::from_utf8_lossy(&response.body), whole);
}

/// Starts two replicas that cut their stream after `first`; returns the answer to a request and how often it was sent.
fn cut_after(name: &str, first: &[u8]) -> (Message, usize) {
    let first = first.to_vec();
    let script = move |request: &Message| match request.header("last-event-id") {
        Some("9") => Action::Send([stream_head(request), events(10, 10), chunk(b"")].concat()),
        _ => Action::SendAndClose([stream_head(request), chunk(&first)].concat()),
    };
    let one = Replica::start("i-1", script.clone());
    let two = Replica::start("i-2", script);
    let replicas = [(&one, "llm", "decode"), (&two, "llm", "decode")];
    let site = Site::start(name, &replicas);
    let response = start_generation(&site.daemon, "/resume/1", "a1").read();
    (response, one.requests().len() + two.requests().len())
}

/// The position at which another replica would have to continue is unknown after an event without a numeric id.
#[rstest]
#[case("no-number", b"id: 9\ndata: t9\n\nid: x\ndata: tx\n\n".to_vec())]
#[case("no-id", b"data: t\n\n".to_vec())]
fn a_stream_that_was_forwarded_beyond_its_last_id_is_not_resumed(
    #[case] name: &str,
    #[case] first: Vec<u8>,
) {
    let (response, sent) = cut_after(name, &first);
    assert_eq!(
        (response.status(), response.complete, sent),
        (200, false, 1)
    );
    assert!(response.body.is_empty() || response.body == first);
}

/// Nothing of an unfinished event is forwarded, however long it is.
#[rstest]
#[case("long", 300_000)]
#[case("too-long", 600_000)]
fn a_stream_continues_elsewhere_after_a_long_unfinished_event(
    #[case] name: &str,
    #[case] length: usize,
) {
    let first = format!("id: 9\ndata: t9\n\nid: 10\ndata: {}", "x".repeat(length));
    let (response, sent) = cut_after(name, first.as_bytes());
    assert_eq!((response.complete, sent), (true, 2));
    let body = String::from_utf8_lossy(&response.body);
    assert_eq!(body, event_texts(9, 10));
}

/// Returns what an HTTP/1.0 caller reads up to the end of its connection, and whether the connection ended properly.
fn http10_answer(caller: Caller) -> (String, bool) {
    let mut socket = caller.socket;
    let lines = [
        "POST /draft/1 HTTP/1.0",
        "host: shop.example",
        "request-id: a1",
        "deadline-ms: 14000",
        "token-counts: 1460,80",
    ];
    http::send(
        &mut socket,
        format!("{}\r\n\r\n", lines.join("\r\n")).as_bytes(),
    );
    let mut bytes = Vec::new();
    let ended = socket.read_to_end(&mut bytes).is_ok();
    (String::from_utf8_lossy(&bytes).into_owned(), ended)
}

/// An HTTP/1.0 answer ends with its connection, so only a reset shows that it was cut.
#[test]
fn a_caller_without_chunks_can_detect_a_cut_answer() {
    let decode = Replica::start("i-d", |request| {
        let parts = vec![
            [stream_head(request), events(1, 2)].concat(),
            chunk(b"id: 3\nda"),
        ];
        Action::SendSlowly(
            [parts, vec![b"broken".to_vec()]].concat(),
            Duration::from_millis(50),
        )
    });
    let site = Site::start("old-cut", &[(&decode, "llm", "decode")]);
    let (response, ended) = http10_answer(site.daemon.caller());
    assert!(!ended, "{response}");
}

#[test]
fn a_caller_without_chunks_gets_a_complete_answer() {
    let decode = Replica::start("i-d", |request| {
        Action::Send([stream_head(request), events(1, 2), chunk(b"")].concat())
    });
    let site = Site::start("old-whole", &[(&decode, "llm", "decode")]);
    let (response, ended) = http10_answer(site.daemon.caller());
    assert!(ended);
    assert!(response.ends_with(&event_texts(1, 2)), "{response}");
}

/// The exit of the daemon cuts an answer, too.
#[test]
fn a_caller_without_chunks_can_detect_the_exit_of_the_daemon() {
    let decode = Replica::start("i-d", |request| {
        Action::SendAndHang([stream_head(request), events(1, 2)].concat())
    });
    let mut site = Site::start("old-end", &[(&decode, "llm", "decode")]);
    let caller = site.allow_long_streams();
    let (response, ended) = thread::scope(|scope| {
        let caller = scope.spawn(|| http10_answer(caller));
        wait_until("the request arrives", || decode.requests().len() == 1);
        site.daemon.signal(Signal::TERM);
        caller.join().unwrap()
    });
    assert!(response.ends_with(&event_texts(1, 2)), "{response}");
    assert!(!ended);
    site.daemon.wait_for_exit();
}

/// A change of protocols that no caller requested and an answer with a compressed body are not forwarded, signed or not.
#[rstest]
#[case(
    "switched",
    "HTTP/1.1 101 S\r\nrequest-id: a1\r\nresponse-seal: s\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n"
)]
#[case(
    "packed",
    "HTTP/1.1 200 OK\r\nrequest-id: a1\r\nresponse-seal: s\r\ntransfer-encoding: gzip, chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
)]
fn an_answer_that_a_caller_cannot_read_is_not_forwarded(
    #[case] name: &str,
    #[case] text: &'static str,
) {
    let replica = Replica::start("i-a", move |_| Action::Send(text.into()));
    let site = Site::start(name, &[(&replica, "app", "")]);
    let response = site.send_and_read("POST /book/1", "a1");
    assert_eq!(
        (response.status(), response.header("response-seal")),
        (502, None)
    );
}

/// A status outside of the range that the protocol defines is no answer, signed or not.
#[rstest]
#[case::zero("000")]
#[case::below_the_first("099")]
#[case::above_the_last("600")]
#[case::largest("999")]
fn an_answer_with_an_invalid_status_is_not_forwarded(#[case] status: &str) {
    let text = format!(
        "HTTP/1.1 {status} X\r\nrequest-id: a1\r\nresponse-seal: s\r\ncontent-type: text/event-stream\r\ncontent-length: 2\r\n\r\nab"
    );
    let script = move |_: &Message| Action::Send(text.clone().into());
    let app = Replica::start("i-a", script.clone());
    let decode = Replica::start("i-d", script);
    let replicas = [(&app, "app", ""), (&decode, "llm", "decode")];
    let site = Site::start("invalid-status", &replicas);
    for line in [
        "POST /book/1",
        "GET /read/1",
        "POST /draft/1",
        "POST /resume/1",
    ] {
        let response = site.send_and_read(line, "a1");
        let found = (response.status(), response.header("response-seal"));
        assert!(matches!(found, (502 | 503, None)), "{line}: {found:?}");
    }
}

/// Without a length, only the reset shows that an answer was cut; its bytes may be read long before the reset, or never.
#[rstest]
#[case("reset-at-once", Duration::ZERO)]
#[case("reset-later", Duration::from_millis(50))]
fn an_answer_without_a_length_that_is_reset_is_not_forwarded(
    #[case] name: &str,
    #[case] pause: Duration,
) {
    let replica = Replica::start("i-a", move |_| {
        let cut = b"HTTP/1.1 200 X\r\nrequest-id: a1\r\nresponse-seal: s\r\n\r\nhalf";
        Action::SendAndReset(cut.to_vec(), pause)
    });
    let site = Site::start(name, &[(&replica, "app", "")]);
    let response = site.send_and_read("POST /book/1", "a1");
    assert_eq!(
        (response.status(), response.header("response-seal")),
        (502, None)
    );
}
