//! Plain calls.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::common::daemon::wait_until;
use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::not_run_answer;
use crate::common::replica::signed_answer;
use crate::site::Site;
use crate::site::headers;

fn echo(id: &str) -> Replica {
    Replica::start(id, |request| {
        Action::Send(signed_answer(request, 200, b"done"))
    })
}

#[test]
fn a_call_is_relayed_unchanged() {
    let replica = echo("i-1");
    let site = Site::start("relayed", &[(&replica, "app", "")]);
    let mut caller = site.daemon.caller();
    let sent = [
        ("Request-Id", "a1"),
        ("Deadline-Ms", "3000"),
        ("X-Own", "kept"),
        ("Connection", "keep-alive, X-Hop"),
        ("X-Hop", "dropped"),
        // Headers that only the daemon may set.
        ("Stage", "prefill"),
        ("Kv-Source", "127.0.0.1:1/h"),
        ("Kv-Hold", "h"),
        ("Pin-Ms", "100"),
        ("Kv-Backup", "127.0.0.1:1"),
        ("Expect-Instance", "i-other"),
    ];
    let response = caller.send_and_read("POST /read/a%2fb//c?x=1&y=%20", &sent, b"{\"a\": 1}");
    assert_eq!(response.status(), 200);
    assert_eq!(response.body, b"done");
    assert_eq!(response.header("response-seal"), Some("s.1"));
    let received = replica.requests().remove(0);
    assert_eq!(received.line, "POST /read/a%2fb//c?x=1&y=%20 HTTP/1.1");
    assert_eq!(received.body, b"{\"a\": 1}");
    assert_eq!(received.header("request-id"), Some("a1"));
    assert_eq!(received.header("x-own"), Some("kept"));
    assert_eq!(received.header("expect-instance"), Some("i-1"));
    for dropped in [
        "x-hop",
        "stage",
        "kv-source",
        "kv-hold",
        "pin-ms",
        "kv-backup",
    ] {
        assert_eq!(received.header(dropped), None, "{dropped}");
    }
    let left: u64 = received.header("deadline-ms").unwrap().parse().unwrap();
    assert!(left <= 3_000);
}

#[test]
fn a_chunked_body_arrives_whole() {
    let replica = echo("i-1");
    let site = Site::start("chunked", &[(&replica, "app", "")]);
    let mut caller = site.daemon.caller();
    let sent = [("Request-Id", "a1"), ("Transfer-Encoding", "chunked")];
    caller.start_request("POST /read/1", &sent, b"");
    crate::common::http::send(&mut caller.socket, b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    assert_eq!(caller.read().status(), 200);
    assert_eq!(replica.requests()[0].body, b"abcde");
}

#[test]
fn a_call_that_may_run_once_is_not_sent_again_when_its_answer_is_lost() {
    let replica = Replica::start("i-1", |_| Action::SendAndClose(Vec::new()));
    let other = Replica::start("i-2", |_| Action::SendAndClose(Vec::new()));
    let site = Site::start("once", &[(&replica, "app", ""), (&other, "app", "")]);
    let response = site.send_and_read("POST /book/1", "a1");
    assert_eq!(response.status(), 502);
    assert_eq!(replica.requests().len() + other.requests().len(), 1);
}

#[test]
fn a_failed_idempotent_call_is_retried_at_another_replica() {
    let failed = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&failed);
    let script = move |request: &crate::common::http::Message| {
        let first = counted.fetch_add(1, Ordering::SeqCst) == 0;
        Action::Send(signed_answer(request, if first { 500 } else { 200 }, b"x"))
    };
    let one = Replica::start("i-1", script.clone());
    let two = Replica::start("i-2", script);
    let site = Site::start("elsewhere", &[(&one, "app", ""), (&two, "app", "")]);
    assert_eq!(site.send_and_read("GET /read/1", "a1").status(), 200);
    assert_eq!((one.requests().len(), two.requests().len()), (1, 1));
}

#[test]
fn a_failure_of_a_call_that_may_run_once_is_forwarded() {
    let replica = Replica::start("i-1", |request| {
        Action::Send(signed_answer(request, 500, b"no"))
    });
    let site = Site::start("passed", &[(&replica, "app", "")]);
    let response = site.send_and_read("POST /book/1", "a1");
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (500, b"no".as_slice())
    );
    assert_eq!(response.header("response-seal"), Some("s.1"));
}

#[test]
fn a_call_that_no_replica_ran_is_refused_with_retry_after() {
    let replica = Replica::start("i-1", |request| Action::Send(not_run_answer(request)));
    let site = Site::start("refused", &[(&replica, "app", "")]);
    let response = site.send_and_read("POST /book/1", "a1");
    assert_eq!(response.status(), 503);
    let seconds: f64 = response.header("retry-after").unwrap().parse().unwrap();
    assert!(seconds < 4.0 / 3.0);
    assert_eq!(response.header("response-seal"), None);
}

#[test]
fn an_answer_without_signature_or_to_another_request_is_not_forwarded() {
    let unsigned = Replica::start("i-1", |_| Action::Send(answer(200, &[], b"x")));
    let site = Site::start("unsigned", &[(&unsigned, "app", "")]);
    assert_eq!(site.send_and_read("POST /book/1", "a1").status(), 502);
    let other = Replica::start("i-2", |_| {
        let headers = [("request-id", "zz"), ("response-seal", "s.1")];
        Action::Send(answer(200, &headers, b"x"))
    });
    let site = Site::start("other-id", &[(&other, "app", "")]);
    assert_eq!(site.send_and_read("POST /book/1", "a1").status(), 502);
}

#[test]
fn a_cut_answer_is_not_forwarded() {
    let replica = Replica::start("i-1", |request| {
        let mut bytes = signed_answer(request, 200, b"0123456789");
        bytes.truncate(bytes.len() - 3);
        Action::SendAndClose(bytes)
    });
    let site = Site::start("cut", &[(&replica, "app", "")]);
    assert_eq!(site.send_and_read("POST /book/1", "a1").status(), 502);
}

#[test]
fn an_answer_without_length_ends_with_its_connection() {
    let replica = Replica::start("i-1", |request| {
        let id = request.header("request-id").unwrap_or_default();
        let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-seal: s\r\n\r\nwhole");
        Action::SendAndClose(head.into_bytes())
    });
    let site = Site::start("unframed", &[(&replica, "app", "")]);
    let response = site.send_and_read("POST /book/1", "a1");
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (200, b"whole".as_slice())
    );
}

#[test]
fn a_second_answer_is_discarded() {
    let replica = Replica::start("i-1", |request| {
        let extra = [("request-id", "old"), ("response-seal", "s")];
        let extra = answer(200, &extra, b"extra");
        Action::Send([signed_answer(request, 200, b"mine"), extra].concat())
    });
    let site = Site::start("extra", &[(&replica, "app", "")]);
    for number in 0..5 {
        let response = site.send_and_read("GET /read/1", &format!("a{number}"));
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, b"mine".as_slice())
        );
    }
}

#[test]
fn a_replica_whose_address_another_one_has_is_avoided() {
    let replaced = Replica::start("i-1", |_| {
        Action::Send(answer(421, &[("instance-id", "i-9")], b""))
    });
    let live = echo("i-2");
    let site = Site::start("replaced", &[(&replaced, "app", ""), (&live, "app", "")]);
    for number in 0..6 {
        assert_eq!(
            site.send_and_read("POST /book/1", &format!("a{number}"))
                .status(),
            200
        );
    }
    assert!(replaced.requests().len() <= 1);
}

#[test]
fn a_call_is_answered_at_its_deadline() {
    let replica = Replica::start("i-1", |_| Action::SendAndHang(Vec::new()));
    let site = Site::start("overdue", &[(&replica, "app", "")]);
    let mut caller = site.daemon.caller();
    let sent = [("Request-Id", "a1"), ("Deadline-Ms", "300")];
    assert_eq!(
        caller.send_and_read("POST /book/1", &sent, b"").status(),
        504
    );
}

#[test]
fn a_caller_that_disconnects_frees_the_replica() {
    let replica = Replica::start("i-1", |_| Action::SendAndHang(Vec::new()));
    let site = Site::start("left", &[(&replica, "app", "")]);
    let mut caller = site.daemon.caller();
    caller.start_request("POST /book/1", &headers("a1"), b"");
    wait_until("the call arrives", || replica.requests().len() == 1);
    drop(caller);
    wait_until("the request to the replica is aborted", || {
        replica.abandoned_count() == 1
    });
    wait_until("the disconnect is logged", || {
        !site.daemon.logged("caller-left").is_empty()
    });
}

#[test]
fn requests_follow_each_other_on_one_connection() {
    let replica = echo("i-1");
    let site = Site::start("kept", &[(&replica, "app", "")]);
    let mut caller = site.daemon.caller();
    for number in 0..3 {
        let id = format!("a{number}");
        assert_eq!(
            caller
                .send_and_read("GET /read/1", &headers(&id), b"")
                .status(),
            200
        );
    }
    assert!(!crate::common::http::closes_within(
        &mut caller.socket,
        Duration::from_millis(100)
    ));
}

#[test]
fn a_repeatable_call_is_retried_elsewhere_when_its_replica_is_silent() {
    let silent = Replica::start("i-1", |_| Action::SendAndHang(Vec::new()));
    let healthy = echo("i-2");
    let site = Site::start("silent", &[(&silent, "app", ""), (&healthy, "app", "")]);
    wait_until("the silent replica was tried", || {
        assert_eq!(site.send_and_read("GET /read/1", "a1").status(), 200);
        !silent.requests().is_empty()
    });
    wait_until("the request to the silent replica is aborted", || {
        silent.abandoned_count() > 0
    });
}

#[test]
fn a_call_that_may_run_once_stays_at_a_silent_replica() {
    let silent = Replica::start("i-1", |_| Action::SendAndHang(Vec::new()));
    let other = Replica::start("i-2", |_| Action::SendAndHang(Vec::new()));
    let site = Site::start("silent-once", &[(&silent, "app", ""), (&other, "app", "")]);
    assert_eq!(site.send_and_read("POST /book/1", "a1").status(), 504);
    assert_eq!(silent.requests().len() + other.requests().len(), 1);
}

/// Guards against aborting a call for a retry that the retry budget does not allow.
#[test]
fn a_call_stays_at_a_silent_replica_where_no_retry_is_left() {
    let silent = Replica::start("i-1", |_| Action::SendAndHang(Vec::new()));
    let other = Replica::start("i-2", |_| Action::SendAndHang(Vec::new()));
    let site = Site::start(
        "silent-budget",
        &[(&silent, "app", ""), (&other, "app", "")],
    );
    site.change_settings("ratio: 0.2, slack: 50", "ratio: 0, slack: 0");
    assert_eq!(site.send_and_read("GET /read/1", "a1").status(), 504);
    assert_eq!(silent.requests().len() + other.requests().len(), 1);
}
