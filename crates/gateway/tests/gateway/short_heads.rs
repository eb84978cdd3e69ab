//! Answers whose head ends early: the replica or the store stops in the middle of it and ends the connection, or goes on
//! with another answer. None may be taken for a whole one.

use std::collections::HashMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use gateway::exchange;
use gateway::handoff;
use h2::Reason;
use h2::SendStream;
use http::Response;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::common::caller::Caller;
use crate::common::daemon::wait_until;
use crate::common::gate::Cut;
use crate::common::http::Message;
use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::event_texts;
use crate::common::replica::events;
use crate::common::replica::signed_answer;
use crate::common::replica::stream_head;
use crate::common::replica::stream_head_without_length;
use crate::cut_site;
use crate::cut_site::Kind;
use crate::site::Site;
use crate::site::config;
use crate::site::send_and_read;
use crate::site::start_generation;

/// Events of a whole stream.
const EVENT_COUNT: u64 = 5;
/// Events of a run that is moved, and the time between two of them.
const MOVED_EVENT_COUNT: u64 = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(60);
/// Time for which the store sends no whole head; several reads of the list fall into it.
const STORE_TIME: Duration = Duration::from_secs(3);

/// Last characters of a head that ends early. The heads of [`own_head`] contain each of them once.
const LAST: [&str; 9] = [
    "HT",
    "HTTP/1.1 20",
    "HTTP/1.1 200 O",
    "HTTP/1.1 200 OK\r",
    "HTTP/1.1 200 OK\r\n",
    "response-se",
    "response-seal: s",
    "content-length: 1",
    "content-length: 12\r\n",
];
/// Whole heads that the parser of an answer must not take for one.
const MALFORMED: [&str; 6] = [
    "",
    "no head at all",
    "\r\n\r\n",
    "HTTP/1.1 200 OK\r\nrequest-id: a1\r\nresponse-seal: s.1\r\nx-folded: a\r\n b\r\n\r\n",
    "HTTP/1.0 200 OK\r\nrequest-id: a1\r\nresponse-seal: s.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "HTTP/0.9 200 OK\r\nrequest-id: a1\r\nresponse-seal: s.1\r\n\r\n",
];
/// What may be sent before a head.
const BEFORE: [&str; 4] = [
    "",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n",
];

/// How the connection ends after a short head.
#[derive(Debug, Clone, Copy)]
enum Ending {
    Close,
    Reset,
}

impl Ending {
    fn after(self, bytes: Vec<u8>) -> Action {
        match self {
            Self::Close => Action::SendAndClose(bytes),
            Self::Reset => Action::SendAndReset(bytes, Duration::from_millis(5)),
        }
    }
}

fn id(request: &Message) -> &str {
    request.header("request-id").unwrap_or_default()
}

/// The head of a signed answer with 12 bytes to `request`.
fn own_head(request: &Message) -> String {
    let id = id(request);
    format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-seal: s.1\r\ncontent-type: text/event-stream\r\ncontent-length: 12\r\n\r\n"
    )
}

/// `head` up to the end of `last`.
fn cut_after(head: &str, last: &str) -> Vec<u8> {
    let start = head.find(last).unwrap();
    head[..start + last.len()].into()
}

/// All short heads of answers to `request`: those with the line ends of the protocol, with bare line feeds, and the
/// malformed ones.
fn short_heads(request: &Message) -> Vec<Vec<u8>> {
    let head = own_head(request);
    let bare = head.replace("\r\n", "\n");
    let cut = LAST.iter().map(|last| cut_after(&head, last));
    let cut_bare = LAST.iter().filter(|last| !last.ends_with('\r'));
    let cut_bare = cut_bare.map(|last| cut_after(&bare, &last.replace("\r\n", "\n")));
    let malformed = MALFORMED.iter().map(|text| text.replace("a1", id(request)));
    let malformed = malformed.map(String::into_bytes);
    cut.chain(cut_bare).chain(malformed).collect()
}

/// Number of short heads.
fn short_head_count() -> usize {
    short_heads(&Message::default()).len()
}

/// A script that answers with one short head after another; also returns how many it has sent.
fn answer_shortly(
    before: &'static str,
    ending: Ending,
) -> (
    impl Fn(&Message) -> Action + Clone + Send + Sync,
    Arc<AtomicUsize>,
) {
    let sent = Arc::new(AtomicUsize::new(0));
    let own_sent = Arc::clone(&sent);
    let script = move |request: &Message| {
        let heads = short_heads(request);
        let head = &heads[own_sent.fetch_add(1, Ordering::SeqCst) % heads.len()];
        ending.after([before.as_bytes(), head].concat())
    };
    (script, sent)
}

/// Whether a caller takes `response` for a complete success.
fn is_success(response: &Message) -> bool {
    (200..300).contains(&response.status()) && response.complete
}

/// Sends a request of the route `path` names.
fn request(site: &Site, path: &str, id: &str) -> Message {
    match path {
        "/read/1" => site.send_and_read("GET /read/1", id),
        "/book/1" => site.send_and_read("POST /book/1", id),
        path => start_generation(&site.daemon, path, id).read(),
    }
}

/// Guards against a head that ends with its connection and counts as a whole answer, also behind an interim answer.
#[rstest]
fn an_answer_whose_head_ends_early_is_no_success(
    #[values("/read/1", "/book/1", "/draft/1", "/resume/1")] path: &str,
    #[values(Ending::Close, Ending::Reset)] ending: Ending,
    #[values(0, 1, 2, 3)] before: usize,
) {
    let (script, sent) = answer_shortly(BEFORE[before], ending);
    let app = Replica::start("i-a", script.clone());
    let decode = Replica::start("i-d", script);
    let replicas = [(&app, "app", ""), (&decode, "llm", "decode")];
    let site = Site::start("short-head", &replicas);
    wait_until("each short head was sent", || {
        let number = sent.load(Ordering::SeqCst);
        let response = request(&site, path, &format!("a{number}"));
        assert!(!is_success(&response), "{}", response.line);
        assert_eq!(response.header("response-seal"), None);
        number >= short_head_count()
    });
}

/// Guards against the size of a chunk, or the end of the last one, that is read from a part of it.
#[rstest]
fn an_answer_in_chunks_that_is_cut_at_any_byte_is_no_success(
    #[values("/book/1", "/draft/1")] path: &str,
    #[values(Ending::Close, Ending::Reset)] ending: Ending,
) {
    const BODY: &[u8] = b"10\r\nid: 1\ndata: t1\n\n\r\n0\r\n\r\n";
    let length = Arc::new(AtomicUsize::new(0));
    let own_length = Arc::clone(&length);
    let script = move |request: &Message| {
        let part = &BODY[..own_length.load(Ordering::SeqCst)];
        ending.after([&stream_head(request)[..], part].concat())
    };
    let app = Replica::start("i-a", script.clone());
    let decode = Replica::start("i-d", script);
    let replicas = [(&app, "app", ""), (&decode, "llm", "decode")];
    let site = Site::start("short-chunk", &replicas);
    for cut in 0..BODY.len() {
        length.store(cut, Ordering::SeqCst);
        let received = || app.requests().len() + decode.requests().len();
        let before = received();
        wait_until("a replica gets the request", || {
            let response = request(&site, path, &format!("a{cut}"));
            assert!(!is_success(&response), "{cut}: {response:?}");
            received() > before
        });
    }
}

/// Guards against a head that is filled up with that of the next answer on its connection, such as that of an error: the
/// status of the first and the length of the second are taken for one answer.
#[rstest]
fn a_head_that_ends_within_a_line_is_not_filled_up_by_the_next_answer(
    #[values("/read/1", "/book/1", "/draft/1", "/resume/1")] path: &str,
    #[values(
        "HTTP/1.1 200 ",
        "HTTP/1.1 200 O",
        "HTTP/1.1 200 OK",
        "x-first: ",
        "x-first: a",
        "response-se",
        "response-seal:",
        "response-seal: s.1"
    )]
    last: &'static str,
) {
    let script = move |request: &Message| {
        let id = id(request);
        let head = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nx-first: ab\r\nresponse-seal: s.1\r\n\r\n"
        );
        let headers = [("request-id", id), ("response-seal", "s.2")];
        // Only one of the heads names the request.
        let headers = &headers[usize::from(!last.starts_with("HTTP"))..];
        Action::Send([cut_after(&head, last), answer(500, headers, b"")].concat())
    };
    let app = Replica::start("i-a", script);
    let decode = Replica::start("i-d", script);
    let replicas = [(&app, "app", ""), (&decode, "llm", "decode")];
    let site = Site::start("joined-heads", &replicas);
    let response = request(&site, path, "a1");
    assert!(!is_success(&response), "{response:?}");
    assert_eq!(response.header("response-seal"), None, "{response:?}");
    assert!(app.requests().len() + decode.requests().len() > 0);
}

/// Guards against a short head behind the second answer to an earlier request of the connection.
#[rstest]
fn an_answer_whose_head_ends_early_behind_a_second_answer_is_no_success(
    #[values(Ending::Close, Ending::Reset)] ending: Ending,
) {
    let count = short_head_count();
    let number = Arc::new(AtomicUsize::new(0));
    let own_number = Arc::clone(&number);
    let app = Replica::start("i-a", move |request| {
        if id(request).starts_with("first") {
            return Action::Send(signed_answer(request, 200, b"x"));
        }
        let earlier = Message {
            headers: vec![("request-id".into(), "first".into())],
            ..Message::default()
        };
        let second = signed_answer(&earlier, 200, b"x");
        let head = &short_heads(request)[own_number.load(Ordering::SeqCst)];
        ending.after([&second[..], head].concat())
    });
    for head in 0..count {
        number.store(head, Ordering::SeqCst);
        let mut plan = config(1);
        plan["routes"][0]["max-attempts"] = 1.into();
        let site = Site::start_with_plan("short-behind", &plan, &[(&app, "app", "")]);
        assert_eq!(request(&site, "/read/1", "first").status(), 200);
        let response = request(&site, "/read/1", "a");
        assert!(!is_success(&response), "{head}: {response:?}");
        assert_eq!(response.header("response-seal"), None);
    }
}

/// Guards against the KV cache of a prefill whose answer ended early.
#[rstest]
fn a_prefill_whose_head_ends_early_is_not_used(
    #[values(Ending::Close, Ending::Reset)] ending: Ending,
) {
    let (script, sent) = answer_shortly("", ending);
    let prefill = Replica::start("i-p", script);
    let decode = Replica::start("i-d", serve_rest);
    let site = Site::start_with_prefill("short-prefill", &prefill, &[&decode]);
    wait_until("each short head was sent", || {
        let number = sent.load(Ordering::SeqCst);
        let response = request(&site, "/draft/1", &format!("a{number}"));
        assert!(
            response.status() != 200 || response.body == event_texts(1, EVENT_COUNT).into_bytes()
        );
        number >= short_head_count()
    });
    let received = decode.requests();
    assert!(!received.is_empty());
    assert!(
        received
            .iter()
            .all(|request| request.header("kv-source").is_none())
    );
}

/// Answers a generation with the rest of its stream.
fn serve_rest(request: &Message) -> Action {
    Action::Send(rest_of_stream(request, EVENT_COUNT).concat())
}

/// Parts of a stream of `count` events that continues after the last event named in the request.
fn rest_of_stream(request: &Message, count: u64) -> Vec<Vec<u8>> {
    let last = request.header("last-event-id");
    let last: u64 = last.map_or(0, |last| last.parse().unwrap());
    let mut parts = vec![stream_head(request)];
    parts.extend((last + 1..=count).map(|id| events(id, id)));
    parts.push(chunk(b""));
    parts
}

/// Answers calls of `path` of the daemon's own to `replica` with one short head after another; returns how many were sent.
fn answer_calls_shortly(replica: &Replica, path: &'static str, ending: Ending) -> Arc<AtomicUsize> {
    let (script, sent) = answer_shortly("", ending);
    replica.set_call_floods(move |call| (call.path() == path).then(|| script(call)));
    sent
}

/// Guards against a reservation that no replica has granted.
#[rstest]
fn a_reservation_whose_head_ends_early_is_not_used(
    #[values(Ending::Close, Ending::Reset)] ending: Ending,
) {
    let decode = Replica::start("i-d", serve_rest);
    let sent = answer_calls_shortly(&decode, "/api/hold-take", ending);
    let site = Site::start_with_prefill("short-hold", &Replica::start_prefill("i-p"), &[&decode]);
    wait_until("each short head was sent", || {
        let number = sent.load(Ordering::SeqCst);
        request(&site, "/draft/1", &format!("a{number}"));
        number >= short_head_count()
    });
    let received = decode.requests();
    assert!(
        received
            .iter()
            .all(|request| request.header("kv-hold").is_none())
    );
}

/// Guards against taking a replica for alive whose reports end early: an answer without a length ends with its connection.
#[rstest]
#[case::call("/book/1")]
#[case::stream("/draft/1")]
fn a_report_whose_head_ends_early_proves_no_whole_answer(
    #[case] path: &str,
    #[values(Ending::Close, Ending::Reset)] ending: Ending,
) {
    let script = |request: &Message| {
        let events = event_texts(1, 2).into_bytes();
        Action::SendAndClose([stream_head_without_length(request), events].concat())
    };
    let app = Replica::start("i-a", script);
    let decode = Replica::start("i-d", script);
    let sent = [&app, &decode].map(|replica| answer_calls_shortly(replica, "/api/report", ending));
    let replicas = [(&app, "app", ""), (&decode, "llm", "decode")];
    let site = Site::start("short-report", &replicas);
    wait_until("each short head was sent", || {
        let count = || sent.iter().map(|sent| sent.load(Ordering::SeqCst)).max();
        let response = request(&site, path, &format!("a{}", count().unwrap()));
        assert!(!is_success(&response), "{}", response.line);
        count().unwrap() >= short_head_count()
    });
}

/// Guards against orders that count as accepted or refused although the engine has not answered them.
#[rstest]
fn an_order_whose_answer_ends_early_has_no_status(
    #[values(Ending::Close, Ending::Reset)] ending: Ending,
) {
    let engines = ["i-0", "i-1", "i-2", "i-3"].map(|name| {
        let (script, sent) = answer_shortly("", ending);
        (Replica::start(name, script), sent)
    });
    let listed = engines.iter().map(|(engine, _)| (engine, "llm", "prefill"));
    let site = Site::start("short-order", &listed.collect::<Vec<_>>());
    let mut quick = config(2);
    quick["services"][1]["engine"]["stage-switch-s"] = 0.1.into();
    site.store.put("op", "config", &quick);
    site.change_settings("grace_s: 8", "grace_s: 8\nprefill_share: 0.1");
    wait_until("several orders are sent", || {
        let sent = engines.iter().map(|(_, sent)| sent.load(Ordering::SeqCst));
        sent.sum::<usize>() >= 3
    });
    wait_until("the lost orders are logged", || {
        !site.daemon.logged("or its outcome is unknown").is_empty()
    });
    let answered = site.daemon.logged("ordered a change of stage");
    assert!(answered.is_empty(), "{answered:?}");
}

/// Guards against events that are missing or come twice where the answer to a move ends early, whether the run was stopped,
/// copied, or neither.
#[rstest]
#[case::the_run_stopped(true, true)]
#[case::the_run_goes_on_beside_its_copy(true, false)]
#[case::the_copy_is_unknown(false, false)]
fn a_move_whose_answer_ends_early_costs_no_event(
    #[case] is_copied: bool,
    #[case] stops: bool,
    #[values(Ending::Close, Ending::Reset)] ending: Ending,
) {
    let (source, moves) = start_source(is_copied, stops, ending);
    let target = Replica::start("i-2", |request| {
        Action::SendSlowly(rest_of_stream(request, MOVED_EVENT_COUNT), EVENT_INTERVAL)
    });
    let site = Site::start("short-move", &[(&source, "llm", "decode")]);
    let callers = start_four_runs(&site, &source);
    site.store
        .put("servers", &target.id, &target.row("llm", "decode"));
    let whole = event_texts(1, MOVED_EVENT_COUNT);
    for mut caller in callers {
        let response = caller.read();
        let body = String::from_utf8_lossy(&response.body).into_owned();
        assert!(whole.starts_with(&body), "{body}");
        assert!(!response.complete || body == whole, "{body}");
    }
    assert!(moves.load(Ordering::SeqCst) > 0);
}

/// Starts a replica whose runs stop at an order to do so if `stops`, and whose answers to such orders, or to copy a run
/// unless `is_copied`, end early; also returns the number of these answers.
fn start_source(is_copied: bool, stops: bool, ending: Ending) -> (Replica, Arc<AtomicUsize>) {
    let stopped: Arc<Mutex<HashMap<String, Arc<AtomicBool>>>> = Arc::default();
    let (shortly, sent) = answer_shortly("", ending);
    let source = Replica::start("i-1", move |request| match request.path() {
        "/api/kv-move" => {
            let asked: Value = serde_json::from_slice(&request.body).unwrap();
            let id = asked["id"].as_str().unwrap();
            let is_last = asked["last"] == true;
            if let Some(stop) = stopped.lock().unwrap().get(id).filter(|_| is_last && stops) {
                stop.store(true, Ordering::SeqCst);
            }
            if is_last || !is_copied {
                return shortly(request);
            }
            let body = json!({"kv-handle": format!("m-{id}"), "created": 5});
            Action::Send(answer(200, &[], body.to_string().as_bytes()))
        }
        path if path.starts_with("/api/") => Action::Send(answer(200, &[], b"{}")),
        _ => {
            let stop = Arc::new(AtomicBool::new(false));
            let id = id(request).to_owned();
            stopped.lock().unwrap().insert(id, Arc::clone(&stop));
            let parts = rest_of_stream(request, MOVED_EVENT_COUNT);
            Action::SendUntilStopped(parts, EVENT_INTERVAL, stop)
        }
    });
    (source, sent)
}

/// Starts four generations at `source`, which has KV cache memory for their prompts and about half of their output.
fn start_four_runs(site: &Site, source: &Replica) -> Vec<Caller> {
    let mut small = config(2);
    let engine = &mut small["services"][1]["engine"];
    engine["kv-tokens"] = 12_000.into();
    engine["moves"] = true.into();
    engine["stride"] = 70.into();
    site.store.put("op", "config", &small);
    wait_until("the plan is in force", || {
        let plans = site.daemon.logged("\"kind\":\"plan\"");
        plans.iter().any(|line| line.contains("\"version\":2"))
    });
    let start = |number: usize| {
        let caller = start_generation(&site.daemon, "/draft/1", &format!("a{number}"));
        wait_until("the generation runs", || source.requests().len() >= number);
        caller
    };
    (1..=4).map(start).collect()
}

/// Guards against a stream that looks complete since the head of its continuation ended early.
#[rstest]
fn a_stream_whose_continuation_ends_within_its_head_is_cut(
    #[values(Ending::Close, Ending::Reset)] ending: Ending,
) {
    for number in 0..short_head_count() {
        let (one, two) = (
            start_broken("i-1", number, ending),
            start_broken("i-2", number, ending),
        );
        let replicas = [(&one, "llm", "decode"), (&two, "llm", "decode")];
        let site = Site::start("short-resumed", &replicas);
        let response = request(&site, "/resume/1", "a1");
        assert_eq!(String::from_utf8_lossy(&response.body), event_texts(1, 2));
        assert_eq!(
            (response.status(), response.complete),
            (200, false),
            "{number}"
        );
        assert_eq!(one.requests().len() + two.requests().len(), 2);
    }
}

/// Guards against giving up a stream that a third replica would continue.
#[rstest]
fn a_stream_whose_continuation_ends_within_its_head_continues_at_a_third_replica(
    #[values(Ending::Close, Ending::Reset)] ending: Ending,
) {
    let continuations = Arc::new(AtomicUsize::new(0));
    let script = move |request: &Message| match request.header("last-event-id") {
        None => Action::SendAndClose([stream_head(request), events(1, 2)].concat()),
        Some(_) if continuations.fetch_add(1, Ordering::SeqCst) == 0 => {
            ending.after(cut_after(&own_head(request), "content-length: 1"))
        }
        Some(_) => serve_rest(request),
    };
    let replicas = ["i-1", "i-2", "i-3"].map(|id| Replica::start(id, script.clone()));
    let replicas = replicas
        .each_ref()
        .map(|replica| (replica, "llm", "decode"));
    let mut plan = config(1);
    plan["routes"][3]["max-attempts"] = 3.into();
    let site = Site::start_with_plan("short-third", &plan, &replicas);
    let response = request(&site, "/resume/1", "a1");
    assert!(response.complete);
    assert_eq!(
        String::from_utf8_lossy(&response.body),
        event_texts(1, EVENT_COUNT)
    );
}

/// Starts a replica that breaks its stream off after event 2, and continues one with the short head `number`.
fn start_broken(name: &str, number: usize, ending: Ending) -> Replica {
    Replica::start(name, move |request| match request.header("last-event-id") {
        None => Action::SendAndClose([stream_head(request), events(1, 2)].concat()),
        Some(_) => ending.after(short_heads(request).swap_remove(number)),
    })
}

/// Guards against an event that is missing or comes twice where a stream is cut at any byte of an event.
#[rstest]
fn a_stream_that_is_cut_within_an_event_continues_after_the_last_whole_one(
    #[values("\n", "\r\n")] line_end: &'static str,
    #[values(true, false)] in_chunks: bool,
) {
    let event = move |id: u64| format!("id: {id}{line_end}data: t{id}{line_end}{line_end}");
    let whole: String = (1..=EVENT_COUNT).map(event).collect();
    let cuts = 1..event(3).len();
    for cut in cuts {
        let script = move |request: &Message| {
            let last = request.header("last-event-id");
            let last: u64 = last.map_or(0, |last| last.parse().unwrap());
            let rest: String = (last + 1..=EVENT_COUNT).map(event).collect();
            let begin = event(1) + &event(2) + &event(3)[..cut];
            match (last, in_chunks) {
                (0, true) => {
                    Action::SendAndClose([stream_head(request), chunk(begin.as_bytes())].concat())
                }
                (0, false) => {
                    let head = stream_head_without_length(request);
                    Action::SendAndClose([&head, begin.as_bytes()].concat())
                }
                _ => {
                    let rest = chunk(rest.as_bytes());
                    Action::Send([stream_head(request), rest, chunk(b"")].concat())
                }
            }
        };
        let (one, two) = (Replica::start("i-1", script), Replica::start("i-2", script));
        let replicas = [(&one, "llm", "decode"), (&two, "llm", "decode")];
        let site = Site::start("cut-event", &replicas);
        let response = request(&site, "/resume/1", "a1");
        assert!(response.complete, "{cut}");
        assert_eq!(String::from_utf8_lossy(&response.body), whole, "{cut}");
    }
}

/// Guards against an empty answer without a length, such as is left of an answer whose replica stopped behind its head:
/// without an event, nothing shows that a generation has ended.
#[rstest]
#[case::first("/draft/1", 0)]
#[case::continuation("/resume/1", 2)]
fn a_stream_without_a_length_and_without_an_event_is_not_complete(
    #[case] path: &str,
    #[case] first: u64,
) {
    let script = move |request: &Message| match request.header("last-event-id") {
        None if first > 0 => {
            Action::SendAndClose([stream_head(request), events(1, first)].concat())
        }
        _ => Action::SendAndClose(stream_head_without_length(request)),
    };
    let (one, two) = (Replica::start("i-1", script), Replica::start("i-2", script));
    let replicas = [(&one, "llm", "decode"), (&two, "llm", "decode")];
    let site = Site::start("empty-stream", &replicas);
    let response = request(&site, path, "a1");
    assert!(!is_success(&response), "{response:?}");
    assert_eq!(
        String::from_utf8_lossy(&response.body),
        event_texts(1, first)
    );
}

/// Guards against a list of replicas that is read from a part of an answer of the store: an empty one removes all.
#[rstest]
#[case::status_line("HTTP/1.1 20")]
#[case::reason("HTTP/1.1 200 ")]
#[case::first_field("content-length: ")]
#[case::field_name("content-ty")]
#[case::line_end("application/json\r\n")]
#[case::blank_line("\r\n\r\n")]
#[case::body("{")]
fn no_replica_is_lost_where_answers_of_the_store_end_early(#[case] last: &'static str) {
    let app = Replica::start("i-a", |request| {
        Action::Send(signed_answer(request, 200, b"x"))
    });
    let site = Site::start("short-store", &[(&app, "app", "")]);
    site.store.cut_answers_after(Some(last));
    let changes = site.daemon.logged("a replica changed").len();
    // A daemon that starts now knows no list.
    let started = site.start_another("short-store-late", false);
    let end = Instant::now() + STORE_TIME;
    while Instant::now() < end {
        assert_eq!(site.send_and_read("GET /read/1", "a1").status(), 200);
        thread::sleep(EVENT_INTERVAL);
    }
    assert!(site.store.cut_answer_count() > 0);
    assert_eq!(site.daemon.logged("a replica changed").len(), changes);
    assert_ne!(started.readiness(), 200);
    site.store.cut_answers_after(None);
    started.wait_until_ready();
    wait_until("the daemon that started knows the replica", || {
        send_and_read(&started, "GET /read/1", "a2").status() == 200
    });
}

/// Starts a peer that answers each request with `body`, whose end it marks.
async fn start_peer(body: Bytes) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (socket, _) = listener.accept().await.unwrap();
        let mut connection = h2::server::handshake(socket).await.unwrap();
        while let Some(Ok((_, mut respond))) = connection.accept().await {
            let response = respond.send_response(Response::new(()), false);
            response.unwrap().send_data(body.clone(), true).unwrap();
        }
    });
    address
}

/// Names and numbers, as a message of a peer.
type Rows = Vec<(String, u64)>;

/// Guards against a list that is read from a part of the message of a peer.
#[tokio::test]
async fn a_message_of_a_peer_that_ends_early_is_not_read() {
    let rows: Rows = (0..3)
        .map(|number| (format!("i-{number}"), number))
        .collect();
    let message = bincode::serde::encode_to_vec(&rows, bincode::config::standard()).unwrap();
    let tasks = LocalSet::new();
    for length in 0..=message.len() {
        let peer = start_peer(message[..length].to_vec().into()).await;
        let call = exchange::call::<(), Rows>(peer, "/exchange/3", &());
        let read = tasks.run_until(call).await.ok();
        assert_eq!(
            read,
            (length == message.len()).then(|| rows.clone()),
            "{length}"
        );
    }
}

/// A message with the head of an answer of a peer, behind its length, and a body of 4 bytes.
fn handed_answer() -> (Vec<u8>, usize) {
    let head = handoff::message::Answer {
        status: 200,
        headers: vec![("request-id".into(), b"a1".into())],
        length: Some(4),
        is_refused: false,
        is_unreachable: false,
    };
    let bytes = handoff::message::encode(&head, b"body").unwrap().to_vec();
    let length = bytes.len() - 4;
    (bytes, length)
}

/// Guards against the answer of a peer that is read from a part of its head.
#[test]
fn the_head_of_a_handed_over_answer_that_ends_early_is_not_read() {
    let (bytes, head) = handed_answer();
    for length in 0..head {
        let mut part = &bytes[..length];
        let taken = handoff::message::take_head::<handoff::message::Answer>(&mut part);
        assert!(matches!(taken, Ok(None)), "{length}");
    }
}

/// Guards against a head whose stated length is too small, or so large that it takes a part of the body away.
#[test]
fn the_head_of_a_handed_over_answer_has_the_length_that_it_states() {
    let (bytes, head) = handed_answer();
    let is_read = |stated: usize| {
        let mut bytes = bytes.clone();
        bytes[..4].copy_from_slice(&(stated as u32).to_be_bytes());
        let taken = handoff::message::take_head::<handoff::message::Answer>(&mut &bytes[..]);
        matches!(taken, Ok(Some(_)))
    };
    let read: Vec<usize> = (0..=bytes.len())
        .filter(|stated| is_read(*stated))
        .collect();
    assert_eq!(read, [head - 4]);
}

/// What a peer sends of its answer to a request that it has agreed to take.
#[derive(Debug, Clone, Copy)]
enum PeerAnswer {
    /// A part of the length of the head.
    WithinLength,
    /// A part of the head.
    WithinHead,
    /// A part of the head, and the end of the connection.
    WithinHeadAndClose,
    /// A shorter body than the head states.
    ShorterBody,
    /// A longer body than the head states.
    LongerBody,
    /// A part of a stream, and the end of the connection.
    StreamAndClose,
    /// A part of a stream, which is reset.
    StreamAndReset,
}

impl PeerAnswer {
    /// The bytes that are sent.
    fn bytes(self) -> Bytes {
        let length = match self {
            Self::StreamAndClose | Self::StreamAndReset => None,
            _ => Some(12),
        };
        let head = handoff::message::Answer {
            status: 200,
            headers: vec![("response-seal".into(), b"s.1".into())],
            length,
            is_refused: false,
            is_unreachable: false,
        };
        let body = match self {
            Self::ShorterBody => "id: 1\n",
            _ => "id: 1\ndata: t1\n\n",
        };
        let bytes = handoff::message::encode(&head, body.as_bytes()).unwrap();
        match self {
            Self::WithinLength => bytes.slice(..2),
            Self::WithinHead | Self::WithinHeadAndClose => bytes.slice(..8),
            _ => bytes,
        }
    }

    /// How the answer ends.
    fn end(self, stream: &mut SendStream<Bytes>) {
        match self {
            Self::WithinHeadAndClose | Self::StreamAndClose => {}
            Self::StreamAndReset => stream.send_reset(Reason::NO_ERROR),
            _ => stream.send_data(Bytes::new(), true).unwrap(),
        }
    }
}

/// Serves a peer at `address` that takes each request, sends `answer` and ends the connection; counts the requests.
fn serve_as_peer(address: SocketAddr, answer: PeerAnswer) -> Arc<AtomicUsize> {
    let taken = Arc::new(AtomicUsize::new(0));
    let own_taken = Arc::clone(&taken);
    let listener = std::net::TcpListener::bind(address).unwrap();
    listener.set_nonblocking(true).unwrap();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let listener = TcpListener::from_std(listener).unwrap();
            while let Ok((socket, _)) = listener.accept().await {
                let taken = Arc::clone(&own_taken);
                tokio::spawn(async move { take_request(socket, answer, &taken).await });
            }
        });
    });
    taken
}

/// Takes one request that a daemon hands over on `socket`; declines other requests.
async fn take_request(socket: TcpStream, answer: PeerAnswer, taken: &AtomicUsize) {
    let mut connection = h2::server::handshake(socket).await.unwrap();
    let mut sending = None;
    while let Some(Ok((request, mut respond))) = connection.accept().await {
        if request.uri().path() != handoff::message::PATH {
            let declined = Response::builder().status(404).body(()).unwrap();
            respond.send_response(declined, true).unwrap();
            continue;
        }
        let mut stream = respond.send_response(Response::new(()), false).unwrap();
        let taken = taken.fetch_add(1, Ordering::SeqCst);
        sending = Some(tokio::spawn(async move {
            let mut body = request.into_body();
            while let Some(Ok(_)) = body.data().await {}
            stream.send_data(answer.bytes(), false).unwrap();
            answer.end(&mut stream);
            // Until the bytes are sent.
            tokio::time::sleep(EVENT_INTERVAL).await;
            (stream, taken)
        }));
        break;
    }
    let Some(sending) = sending else { return };
    tokio::select! {
        _ = poll_fn(|context| connection.poll_closed(context)) => {}
        _ = sending => {}
    }
}

/// Guards against an answer of a peer that ends early and looks whole. The stand-in takes the place of a daemon that was
/// killed, while the other one still takes it for a member.
#[rstest]
fn the_answer_of_a_peer_that_ends_early_is_no_success(
    #[values(
        PeerAnswer::WithinLength,
        PeerAnswer::WithinHead,
        PeerAnswer::WithinHeadAndClose,
        PeerAnswer::ShorterBody,
        PeerAnswer::LongerBody,
        PeerAnswer::StreamAndClose,
        PeerAnswer::StreamAndReset
    )]
    answer: PeerAnswer,
    #[values(Kind::Read, Kind::Draft)] kind: Kind,
) {
    let mut site = cut_site::Site::start("short-peer");
    site.cut(Cut::Reset, &["app", "llm"]);
    wait_until("both services are unreachable", || {
        Kind::Book.is_served_by(&site.cut, "early");
        Kind::Draft.is_served_by(&site.cut, "early");
        let unreachable = site
            .cut
            .logged("no connection to the replicas of a service");
        unreachable.len() >= 2
    });
    site.sound.kill();
    let taken = serve_as_peer(site.sound.peers, answer);
    let response = kind.start(&site.cut, "late").read();
    assert!(!is_success(&response), "{response:?}");
    assert_eq!(taken.load(Ordering::SeqCst), 1);
}
