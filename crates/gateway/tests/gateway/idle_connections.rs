//! Guards against closing a caller's connection under a request. A caller may reuse a connection that was idle for up
//! to four fifths of the limit in force.

use std::io::Read;
use std::thread;
use std::time::Duration;

use rstest::rstest;
use rustix::process::Signal;
use serde_json::Value;

use crate::common::caller::Caller;
use crate::common::daemon::wait_until;
use crate::common::http;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::signed_answer;
use crate::site::Site;
use crate::site::config;
use crate::site::headers;

/// Bytes of an answer that is larger than the socket buffers.
const LONG_ANSWER: usize = 7 * 1024 * 1024;
/// Parts in which a caller reads it, with a pause before each.
const READING_STEPS: usize = 16;
const READING_PAUSE: Duration = Duration::from_millis(400);
/// Rounds in which a request arrives while the daemon is stopped; each may be lost by chance.
const ROUNDS: usize = 4;

/// A configuration whose connections may be idle for `idle_ms`.
fn plan(version: u64, idle_ms: u64) -> Value {
    let mut plan = config(version);
    plan["limits"]["idle-timeout-ms"] = idle_ms.into();
    plan
}

fn start_site(name: &str, idle_ms: u64) -> Site {
    let replica = Replica::start("i-1", |request| {
        Action::Send(signed_answer(request, 200, b"x"))
    });
    Site::start_with_plan(name, &plan(1, idle_ms), &[(&replica, "app", "")])
}

/// Puts version 2 of the configuration in force.
fn set_plan(site: &Site, plan: &Value) {
    site.store.put("op", "config", plan);
    wait_until("the plan is in force", || {
        let plans = site.daemon.logged("\"kind\":\"plan\"");
        plans.iter().any(|line| line.contains("\"version\":2"))
    });
}

fn status(caller: &mut Caller, id: &str) -> u16 {
    let response = caller.send_and_read("GET /read/1", &headers(id), b"");
    response.status()
}

#[test]
fn a_raised_idle_limit_applies_to_open_connections() {
    let site = start_site("idle-raised", 2_000);
    let mut caller = site.daemon.caller();
    assert_eq!(status(&mut caller, "a1"), 200);
    set_plan(&site, &plan(2, 10_000));
    thread::sleep(Duration::from_secs(4));
    assert_eq!(status(&mut caller, "a2"), 200);
}

/// A limit that is lowered while a connection is idle applies from its next request on.
#[test]
fn an_idle_connection_keeps_its_limit_when_that_is_lowered() {
    let site = start_site("idle-lowered", 10_000);
    let mut caller = site.daemon.caller();
    assert_eq!(status(&mut caller, "a1"), 200);
    set_plan(&site, &plan(2, 1_000));
    thread::sleep(Duration::from_secs(3));
    assert_eq!(status(&mut caller, "a2"), 200);
}

#[test]
fn a_reduced_idle_limit_applies_after_the_next_request() {
    let site = start_site("idle-lowered-after", 25_000);
    let mut caller = site.daemon.caller();
    assert_eq!(status(&mut caller, "a1"), 200);
    set_plan(&site, &plan(2, 1_000));
    assert_eq!(status(&mut caller, "a2"), 200);
    assert!(http::closes_within(
        &mut caller.socket,
        Duration::from_secs(10)
    ));
}

#[test]
fn a_raised_head_limit_applies_to_open_connections() {
    let site = start_site("head-raised", 15_000);
    let mut caller = site.daemon.caller();
    assert_eq!(status(&mut caller, "a1"), 200);
    let mut longer = plan(2, 15_000);
    longer["limits"]["max-header-bytes"] = 40_000.into();
    set_plan(&site, &longer);
    let long = "x".repeat(30_000);
    let fields = [("Request-Id", "a2"), ("X-Long", long.as_str())];
    let response = caller.send_and_read("GET /read/1", &fields, b"");
    assert_eq!(response.status(), 200);
}

/// The time in which a head has to arrive may be raised while it arrives.
#[test]
fn a_raised_head_timeout_applies_to_open_connections() {
    let site = start_site("head-time-raised", 15_000);
    let mut caller = site.daemon.caller();
    let mut slower = plan(2, 15_000);
    slower["limits"]["header-timeout-ms"] = 10_000.into();
    set_plan(&site, &slower);
    http::send(&mut caller.socket, b"GET /read/1 HTTP/1.1\r\nhost: shop.");
    thread::sleep(Duration::from_secs(3));
    http::send(&mut caller.socket, b"example\r\nrequest-id: a1\r\n\r\n");
    assert_eq!(caller.read().status(), 200);
}

/// A caller that reads slowly, but all the time, is not idle.
#[test]
fn a_reading_caller_gets_its_whole_answer() {
    let long = vec![b'x'; LONG_ANSWER];
    let replica = Replica::start("i-1", move |request| {
        Action::Send(signed_answer(request, 200, &long))
    });
    let plan = plan(1, 1_500);
    let site = Site::start_with_plan("reads-slowly", &plan, &[(&replica, "app", "")]);
    let mut caller = site.daemon.caller();
    caller.start_request("GET /read/1", &headers("a1"), b"");
    let mut part = vec![0; LONG_ANSWER / READING_STEPS];
    for step in 0..READING_STEPS {
        thread::sleep(READING_PAUSE);
        let read = caller.socket.read_exact(&mut part);
        assert!(read.is_ok(), "step {step}: {read:?}");
    }
}

/// The limit of an idle connection, or of a head, passes while the daemon is stopped; the request, or the rest of its
/// head, arrives before that.
#[rstest]
#[case::whole_request(1_500, "")]
#[case::rest_of_a_head(15_000, "GET /read/1 HTTP/1.1\r\nhost: sh")]
fn a_request_that_arrived_while_the_daemon_stood_still_is_answered(
    #[case] idle_ms: u64,
    #[case] begun: &str,
) {
    let whole = "GET /read/1 HTTP/1.1\r\nhost: shop.example\r\nrequest-id: r1\r\n\r\n";
    let site = start_site(&format!("stopped-{idle_ms}"), idle_ms);
    for round in 0..ROUNDS {
        let mut callers: Vec<Caller> = (0..8).map(|_| site.daemon.caller()).collect();
        for caller in &mut callers {
            assert_eq!(status(caller, "a1"), 200);
        }
        thread::sleep(Duration::from_millis(600));
        for caller in &mut callers {
            http::send(&mut caller.socket, begun.as_bytes());
        }
        thread::sleep(Duration::from_millis(400));
        site.daemon.signal(Signal::STOP);
        thread::sleep(Duration::from_millis(100));
        for caller in &mut callers {
            http::send(&mut caller.socket, &whole.as_bytes()[begun.len()..]);
        }
        thread::sleep(Duration::from_millis(800));
        site.daemon.signal(Signal::CONT);
        for caller in &mut callers {
            assert_eq!(caller.read().status(), 200, "round {round}");
        }
    }
}

#[test]
fn a_raised_idle_limit_applies_to_a_body_that_arrives() {
    let site = start_site("body-raised", 1_500);
    let mut caller = site.daemon.caller();
    assert_eq!(status(&mut caller, "a1"), 200);
    let head = "POST /book/1 HTTP/1.1\r\nhost: shop.example\r\nrequest-id: r1\r\ncontent-length: 2\r\n\r\nx";
    http::send(&mut caller.socket, head.as_bytes());
    thread::sleep(Duration::from_millis(300));
    set_plan(&site, &plan(2, 10_000));
    thread::sleep(Duration::from_millis(1_700));
    http::send(&mut caller.socket, b"x");
    assert_eq!(caller.read().status(), 200);
}

#[test]
fn a_body_that_arrived_while_the_daemon_stood_still_is_read() {
    const HALF: usize = 45_000;
    let site = start_site("stopped-body", 1_500);
    let mut caller = site.daemon.caller();
    assert_eq!(status(&mut caller, "a1"), 200);
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nhost: shop.example\r\nrequest-id: r1\r\ncontent-length: {}\r\n\r\n",
        2 * HALF
    );
    let half = vec![b'x'; HALF];
    http::send(&mut caller.socket, &[head.as_bytes(), &half].concat());
    thread::sleep(Duration::from_millis(400));
    site.daemon.signal(Signal::STOP);
    thread::sleep(Duration::from_millis(100));
    http::send(&mut caller.socket, &half);
    thread::sleep(Duration::from_millis(1_300));
    site.daemon.signal(Signal::CONT);
    assert_eq!(caller.read().status(), 200);
}
