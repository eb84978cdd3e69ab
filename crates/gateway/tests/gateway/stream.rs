//! Generations: prefill, decode, resumption and the streamed answer.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::common::daemon::wait_until;
use crate::common::http::Message;
use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::events;
use crate::common::replica::not_run_answer;
use crate::common::replica::signed_answer;
use crate::common::replica::stream_head;
use crate::site::Site;
use crate::site::start_generation;

fn complete_stream(request: &Message, from: u64, to: u64) -> Vec<u8> {
    [stream_head(request), events(from, to), chunk(b"")].concat()
}

fn event_texts(from: u64, to: u64) -> String {
    let texts: Vec<String> = (from..=to)
        .map(|id| format!("id: {id}\ndata: t{id}\n\n"))
        .collect();
    texts.concat()
}

#[test]
fn prefill_and_decode_run_at_different_replicas() {
    let prefill = Replica::start_prefill("i-p");
    let decode = Replica::start("i-d", |request| {
        Action::Send(complete_stream(request, 1, 5))
    });
    let site = Site::start_with_prefill("staged", &prefill, &[&decode]);
    let response = start_generation(&site.daemon, "/draft/1", "a1").read();
    assert!(response.complete);
    assert_eq!(String::from_utf8_lossy(&response.body), event_texts(1, 5));
    assert_eq!(response.header("response-seal"), Some("s.1"));
    let read = prefill.requests().remove(0);
    assert_eq!(read.header("stage"), Some("prefill"));
    assert_eq!(read.header("request-id"), Some("a1"));
    let made = decode.requests().remove(0);
    let source = format!("{}/k1", prefill.address);
    assert_eq!(made.header("kv-source"), Some(source.as_str()));
    assert_eq!(made.header("kv-hold"), Some("h1"));
    assert_eq!(made.header("stage"), None);
    assert_eq!(made.body, b"prompt");
}

/// Guards against sending a generation to a decode replica that started draining during the prefill.
#[test]
fn a_generation_goes_to_another_replica_if_its_own_drains_during_the_prefill() {
    let prefill_released = Arc::new(AtomicBool::new(false));
    let released = Arc::clone(&prefill_released);
    let prefill = Replica::start("i-p", move |request| {
        while !released.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        let id = request.header("request-id").unwrap_or_default();
        let body = br#"{"kv-handle":"k1","tokens":1460,"version":1}"#;
        Action::Send(answer(200, &[("request-id", id)], body))
    });
    let draining = Replica::start("i-1", |request| {
        Action::Send(complete_stream(request, 1, 2))
    });
    let other = Replica::start("i-2", |request| {
        Action::Send(complete_stream(request, 1, 2))
    });
    let site = Site::start_with_prefill("left-meanwhile", &prefill, &[&draining]);
    let mut caller = start_generation(&site.daemon, "/draft/1", "a1");
    wait_until("the prefill has started", || !prefill.requests().is_empty());
    let mut row = draining.row("llm", "decode");
    row["state"] = "draining".into();
    site.store.put("servers", "i-1", &row);
    site.store
        .put("servers", "i-2", &other.row("llm", "decode"));
    wait_until("the draining state is logged", || {
        !site.daemon.logged("Draining").is_empty()
    });
    thread::sleep(Duration::from_millis(400));
    prefill_released.store(true, Ordering::SeqCst);
    let response = caller.read();
    assert_eq!((response.status(), response.complete), (200, true));
    assert!(draining.requests().is_empty());
    assert_eq!(other.requests().len(), 1);
}

#[test]
fn the_decode_replica_runs_the_prefill_where_no_other_does() {
    let decode = Replica::start("i-d", |request| {
        Action::Send(complete_stream(request, 1, 2))
    });
    let site = Site::start("alone", &[(&decode, "llm", "decode")]);
    let response = start_generation(&site.daemon, "/draft/1", "a1").read();
    assert!(response.complete);
    assert_eq!(decode.requests()[0].header("kv-source"), None);
}

#[test]
fn a_lost_kv_cache_is_rebuilt_by_the_next_decode_replica() {
    let prefill = Replica::start_prefill("i-p");
    let script = |request: &Message| match request.header("kv-source") {
        Some(_) => Action::Send(not_run_answer(request)),
        None => Action::Send(complete_stream(request, 1, 2)),
    };
    let one = Replica::start("i-1", script);
    let two = Replica::start("i-2", script);
    let site = Site::start_with_prefill("lapsed", &prefill, &[&one, &two]);
    let response = start_generation(&site.daemon, "/draft/1", "a1").read();
    assert_eq!((response.status(), response.complete), (200, true));
    assert_eq!(one.requests().len() + two.requests().len(), 2);
}

#[test]
fn a_cut_stream_looks_cut_to_its_caller() {
    let decode = Replica::start("i-d", |request| {
        let cut = b"id: 3\nda";
        let bytes = [stream_head(request), events(1, 2), chunk(cut)].concat();
        Action::SendAndClose(bytes)
    });
    let other = Replica::start("i-o", |request| {
        Action::Send(complete_stream(request, 1, 5))
    });
    let site = Site::start("broken", &[(&decode, "llm", "decode")]);
    let response = start_generation(&site.daemon, "/draft/1", "a1").read();
    assert!(!response.complete);
    // A stream that cannot be resumed runs nowhere else.
    assert_eq!((decode.requests().len(), other.requests().len()), (1, 0));
}

#[test]
fn a_resumable_stream_continues_at_another_replica() {
    let script = |request: &Message| match request.header("last-event-id") {
        Some("2") => Action::Send(complete_stream(request, 3, 5)),
        _ => {
            Action::SendAndClose([stream_head(request), events(1, 2), chunk(b"id: 3\nda")].concat())
        }
    };
    let one = Replica::start("i-1", script);
    let two = Replica::start("i-2", script);
    let site = Site::start(
        "resumed",
        &[(&one, "llm", "decode"), (&two, "llm", "decode")],
    );
    let response = start_generation(&site.daemon, "/resume/1", "a1").read();
    assert!(response.complete);
    assert_eq!(String::from_utf8_lossy(&response.body), event_texts(1, 5));
    assert_eq!(one.requests().len() + two.requests().len(), 2);
}

/// A prefill request counts as sent to the service even if it fails, so the request after it is a retry.
#[test]
fn a_failed_prefill_costs_a_retry() {
    let prefill = Replica::start("i-p", |_| Action::SendAndClose(Vec::new()));
    let decode = Replica::start("i-d", |request| {
        Action::Send(complete_stream(request, 1, 2))
    });
    let site = Site::start_with_prefill("unread-prompt", &prefill, &[&decode]);
    site.change_settings("ratio: 0.2, slack: 50", "ratio: 0.0, slack: 0");
    let response = start_generation(&site.daemon, "/draft/1", "a1").read();
    assert_eq!(response.status(), 503);
    assert!(decode.requests().is_empty());
}

/// Silence alone does not end an answer: without room elsewhere, the stream continues when its replica does.
#[test]
fn a_stream_stays_at_a_silent_replica_where_there_is_no_other() {
    let decode = Replica::start("i-d", |request| {
        let first = [stream_head(request), events(1, 2)].concat();
        let rest = [events(3, 4), chunk(b"")].concat();
        Action::SendSlowly(vec![first, rest], Duration::from_secs(2))
    });
    let site = Site::start("silent", &[(&decode, "llm", "decode")]);
    let mut caller = site.daemon.caller();
    let headers = [
        ("Request-Id", "a1"),
        ("Deadline-Ms", "9000"),
        ("Token-Counts", "100,10"),
    ];
    caller.start_request("POST /resume/1", &headers, b"prompt");
    let response = caller.read();
    // The route allows 4 s; the first half of the answer is sent after 2 s, the rest after 4 s.
    assert_eq!(response.status(), 200);
    assert!(String::from_utf8_lossy(&response.body).starts_with(&event_texts(1, 2)));
    assert_eq!(decode.requests().len(), 1);
}

/// Another replica has room, but resuming there needs a retry, and none is left.
#[test]
fn a_stream_stays_at_a_silent_replica_where_no_retry_is_left() {
    let script = |request: &Message| {
        let first = [stream_head(request), events(1, 2)].concat();
        let rest = [events(3, 4), chunk(b"")].concat();
        Action::SendSlowly(vec![first, rest], Duration::from_millis(1_900))
    };
    let one = Replica::start("i-1", script);
    let two = Replica::start("i-2", script);
    let replicas = [(&one, "llm", "decode"), (&two, "llm", "decode")];
    let site = Site::start("no-retry", &replicas);
    site.change_settings("ratio: 0.2, slack: 50", "ratio: 0.0, slack: 0");
    let response = start_generation(&site.daemon, "/resume/1", "a1").read();
    assert!(
        response.complete,
        "{}",
        String::from_utf8_lossy(&response.body)
    );
    assert_eq!(String::from_utf8_lossy(&response.body), event_texts(1, 4));
    assert_eq!(one.requests().len() + two.requests().len(), 1);
}

#[test]
fn a_generation_that_finds_no_room_is_refused() {
    let full = Replica::start("i-d", |request| Action::Send(not_run_answer(request)));
    let site = Site::start("full", &[(&full, "llm", "decode")]);
    let response = start_generation(&site.daemon, "/draft/1", "a1").read();
    assert_eq!(response.status(), 503);
    let seconds: f64 = response.header("retry-after").unwrap().parse().unwrap();
    assert!(seconds > 1.0);
}

#[test]
fn a_failure_of_an_engine_is_forwarded() {
    let decode = Replica::start("i-d", |request| {
        Action::Send(signed_answer(request, 500, b"no"))
    });
    let site = Site::start("engine-failure", &[(&decode, "llm", "decode")]);
    let response = start_generation(&site.daemon, "/draft/1", "a1").read();
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (500, b"no".as_slice())
    );
}

#[test]
fn a_caller_that_disconnects_ends_the_generation() {
    let decode = Replica::start("i-d", |request| {
        Action::SendAndHang([stream_head(request), events(1, 2)].concat())
    });
    let site = Site::start("stream-left", &[(&decode, "llm", "decode")]);
    let caller = start_generation(&site.daemon, "/draft/1", "a1");
    wait_until("the request arrives", || decode.requests().len() == 1);
    drop(caller);
    wait_until("the request to the replica is aborted", || {
        decode.abandoned_count() == 1
    });
}

/// Without the log line, nothing shows why the caller of a stream that cannot be resumed disconnected.
#[test]
fn a_silent_replica_is_logged_also_where_a_stream_cannot_be_resumed() {
    let decode = Replica::start("i-d", |request| {
        Action::SendAndHang([stream_head(request), events(1, 1)].concat())
    });
    let site = Site::start("silent-once-stream", &[(&decode, "llm", "decode")]);
    let caller = start_generation(&site.daemon, "/draft/1", "a1");
    wait_until("the silence is logged", || {
        let lines = site.daemon.logged("\"kind\":\"silence\"");
        lines
            .iter()
            .any(|line| line.contains("\"answers\":\"true\""))
    });
    drop(caller);
    wait_until("the request to the replica is aborted", || {
        decode.abandoned_count() == 1
    });
    assert_eq!(decode.requests().len(), 1);
}

/// Guards against counting the time limit of a resumed stream's prefill from the arrival of the request: it has then
/// passed before the prefill starts, and the decode replica runs the prefill itself, which delays all its streams.
#[test]
fn a_stream_that_is_resumed_late_is_prefilled_by_a_prefill_replica() {
    let prefill = Replica::start("i-p", |_| {
        let body = br#"{"kv-handle":"k1","tokens":1460,"version":1}"#;
        let read = answer(200, &[("content-type", "application/json")], body);
        Action::SendSlowly(vec![read], Duration::from_millis(150))
    });
    let script = |request: &Message| match request.header("last-event-id") {
        Some("2") => Action::Send(complete_stream(request, 3, 5)),
        _ => {
            // Two events in the first 2.2 s, then the stream is cut.
            let first = [stream_head(request), events(1, 1)].concat();
            let parts = vec![first, events(2, 2), chunk(b"id: 3\nda"), b"x".to_vec()];
            Action::SendSlowly(parts, Duration::from_millis(700))
        }
    };
    let one = Replica::start("i-1", script);
    let two = Replica::start("i-2", script);
    let site = Site::start_with_prefill("resumed-late", &prefill, &[&one, &two]);
    let response = start_generation(&site.daemon, "/resume/1", "a1").read();
    assert!(response.complete);
    assert_eq!(String::from_utf8_lossy(&response.body), event_texts(1, 5));
    let resumed = [one.requests(), two.requests()].concat();
    let resumed = resumed.iter().find(|r| r.header("last-event-id").is_some());
    assert!(resumed.unwrap().header("kv-source").is_some());
}
