//! Start and stop of the daemon, its settings, metrics and log.

use std::fs;
use std::io::Read;
use std::process;
use std::process::Command;
use std::time::Duration;

use rstest::rstest;
use rustix::process::Signal;
use socket2::SockRef;

use crate::common::daemon::wait_until;
use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::events;
use crate::common::replica::signed_answer;
use crate::common::replica::stream_head;
use crate::common::store;
use crate::site::Site;
use crate::site::start_generation;

#[test]
fn a_stop_finishes_requests_in_progress() {
    let replica = Replica::start("i-1", |request| {
        let answer = signed_answer(request, 200, b"late");
        Action::SendSlowly(vec![answer], Duration::from_millis(1_500))
    });
    let mut site = Site::start("stopped", &[(&replica, "app", "")]);
    let mut caller = site.daemon.caller();
    caller.start_request("POST /book/1", &crate::site::headers("a1"), b"");
    wait_until("the call arrives", || replica.requests().len() == 1);
    site.daemon.signal(Signal::TERM);
    wait_until("the daemon is not ready", || site.daemon.readiness() == 503);
    let response = caller.read();
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (200, b"late".as_slice())
    );
    assert_eq!(response.header("connection"), Some("close"));
    assert!(site.daemon.wait_for_exit().success());
    wait_until("the end is logged", || {
        !site.daemon.logged("stopped").is_empty()
    });
}

/// An answer is in progress until its last byte has left, also if its caller reads slowly.
#[test]
fn a_stop_waits_for_an_answer_that_is_read_slowly() {
    const LENGTH: usize = 7_000_000;
    const RECEIVE_BUFFER: usize = 16 * 1024;
    let replica = Replica::start("i-1", |request| {
        Action::Send(signed_answer(request, 200, &vec![b'x'; LENGTH]))
    });
    let mut site = Site::start("stopped-slow", &[(&replica, "app", "")]);
    let mut caller = site.daemon.caller();
    // Keeps most of the answer from the buffers of the system.
    SockRef::from(&caller.socket)
        .set_recv_buffer_size(RECEIVE_BUFFER)
        .unwrap();
    caller.start_request("GET /read/1", &crate::site::headers("a1"), b"");
    caller.socket.read_exact(&mut [0]).unwrap();
    site.daemon.signal(Signal::TERM);
    std::thread::sleep(Duration::from_millis(4_200));
    let read = caller.socket.read_exact(&mut vec![0; LENGTH]);
    assert!(read.is_ok(), "{read:?}");
    assert!(site.daemon.wait_for_exit().success());
}

/// A stream accepted late after SIGTERM could be cut at the end of the grace period.
#[test]
fn a_stopping_daemon_accepts_no_stream_that_it_may_have_to_cut() {
    let decode = Replica::start("i-d", |request| {
        let rest = [events(2, 2), chunk(b"")].concat();
        let parts = vec![[stream_head(request), events(1, 1)].concat(), rest];
        Action::SendSlowly(parts, Duration::from_millis(1_900))
    });
    let mut site = Site::start("late-stream", &[(&decode, "llm", "decode")]);
    let mut early = start_generation(&site.daemon, "/draft/1", "a1");
    wait_until("the request arrives", || decode.requests().len() == 1);
    let mut slow = site.allow_long_streams();
    site.daemon.signal(Signal::TERM);
    std::thread::sleep(Duration::from_millis(2_900));
    let late = slow.send_and_read("POST /draft/1", &crate::site::headers("a2"), b"prompt");
    assert_eq!(late.status(), 503);
    assert!(late.header("retry-after").is_some());
    assert!(early.read().complete);
    assert!(site.daemon.wait_for_exit().success());
}

#[test]
fn sighup_reloads_the_settings_without_loss_of_requests() {
    let replica = Replica::start("i-1", |request| {
        Action::Send(signed_answer(request, 200, b"x"))
    });
    let site = Site::start("reloaded", &[(&replica, "app", "")]);
    site.daemon.signal(Signal::HUP);
    wait_until("the reload is logged", || {
        !site.daemon.logged("nothing changed").is_empty()
    });
    fs::write(site.daemon.settings_path(), "instance: [").unwrap();
    site.daemon.signal(Signal::HUP);
    wait_until("the failed reload is logged", || {
        !site
            .daemon
            .logged("the current ones stay in force")
            .is_empty()
    });
    assert_eq!(site.send_and_read("GET /read/1", "a1").status(), 200);
}

#[test]
fn a_request_appears_in_the_metrics_and_the_log() {
    let replica = Replica::start("i-1", |request| {
        Action::Send(signed_answer(request, 200, b"x"))
    });
    let site = Site::start("measured", &[(&replica, "app", "")]);
    site.send_and_read("GET /read/1", "a-77");
    let metrics = site.daemon.metrics();
    assert!(metrics.contains("waxwing_gateway_requests_total{outcome=\"answered\"} 1"));
    assert!(metrics.contains("waxwing_gateway_plan_version 1"));
    wait_until("the request is logged", || {
        site.daemon.logged("a-77").len() >= 2
    });
}

/// When the daemon's standard output is not read, log lines are dropped and counted, and requests do not wait.
#[test]
fn requests_do_not_wait_for_unread_logs() {
    let replica = Replica::start("i-1", |request| {
        Action::Send(signed_answer(request, 200, b"x"))
    });
    let site = Site::start_with_unread_output("unread", &[(&replica, "app", "")]);
    let mut caller = site.daemon.caller();
    for number in 0..3_000 {
        let id = format!("{number:0>200}");
        assert_eq!(
            caller
                .send_and_read("GET /read/1", &crate::site::headers(&id), b"")
                .status(),
            200
        );
    }
    let metrics = site.daemon.metrics();
    let dropped = metrics
        .lines()
        .find(|line| line.starts_with("waxwing_gateway_log_lines_dropped "));
    let count: u64 = dropped
        .unwrap()
        .rsplit(' ')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    assert!(count > 0, "{metrics}");
}

#[test]
fn invalid_requests_do_not_fill_the_logs() {
    let site = Site::start("flooded", &[]);
    wait_until("the readiness endpoint answers", || {
        site.daemon.readiness() != 0
    });
    let started = std::time::Instant::now();
    let mut caller = site.daemon.caller();
    for _ in 0..1_000 {
        assert_eq!(caller.send_and_read("GET /read/1", &[], b"").status(), 400);
    }
    let seconds = started.elapsed().as_secs() as usize + 2;
    assert!(site.daemon.logged("rejected").len() <= 50 * seconds);
}

#[test]
fn changed_settings_come_into_force_without_a_signal() {
    let replica = Replica::start("i-1", |request| {
        Action::Send(signed_answer(request, 500, b"x"))
    });
    let other = Replica::start("i-2", |request| {
        Action::Send(signed_answer(request, 500, b"x"))
    });
    let site = Site::start("changed", &[(&replica, "app", ""), (&other, "app", "")]);
    assert_eq!(site.send_and_read("GET /read/1", "a1").status(), 500);
    assert_eq!(replica.requests().len() + other.requests().len(), 2);
    site.change_settings("ratio: 0.2, slack: 50", "ratio: 0.0, slack: 0");
    // Without a retry budget a failed call is not retried.
    assert_eq!(site.send_and_read("GET /read/1", "a2").status(), 500);
    assert_eq!(replica.requests().len() + other.requests().len(), 3);
}

#[test]
fn a_changed_data_centre_applies_at_the_next_start() {
    let replica = Replica::start("i-1", |request| {
        Action::Send(signed_answer(request, 200, b"x"))
    });
    let site = Site::start("moved", &[(&replica, "app", "")]);
    let text = fs::read_to_string(site.daemon.settings_path()).unwrap();
    let text = text.replace("data_centre: here", "data_centre: there");
    fs::write(site.daemon.settings_path(), text).unwrap();
    site.daemon.signal(Signal::HUP);
    wait_until("the postponed change is logged", || {
        !site.daemon.logged("at the next start").is_empty()
    });
    assert_eq!(site.send_and_read("GET /read/1", "a1").status(), 200);
}

const GOOD: &str = r#"
instance: edge-1
data_centre: here
listen: {callers: "127.0.0.1:1", addresses: "127.0.0.1:2", readiness: "127.0.0.1:3", metrics: "127.0.0.1:4", peers: "127.0.0.1:5"}
store: "127.0.0.1:6"
retry: {ratio: 0.2, slack: 50, window_s: 10}
grace_s: 8
"#;

#[rstest]
#[case("good", GOOD, 0, "")]
#[case("no-store", &GOOD.replace("store:", "stores:"), 3, "stores")]
#[case("odd-address", &GOOD.replace("127.0.0.1:6", "here"), 3, "store")]
#[case("odd-ratio", &GOOD.replace("ratio: 0.2", "ratio: -1"), 3, "retry.ratio")]
#[case("no-window", &GOOD.replace("window_s: 10", "window_s: 0"), 3, "retry.window_s")]
#[case("no-grace", &GOOD.replace("grace_s: 8", ""), 3, "grace_s")]
#[case("no-yaml", "{", 3, "settings file")]
fn settings_are_checked(
    #[case] name: &str,
    #[case] text: &str,
    #[case] code: i32,
    #[case] expected_error: &str,
) {
    // Concurrent test runs may share the directory.
    let run = process::id();
    let path = format!("{}/check-{name}-{run}.yaml", env!("CARGO_TARGET_TMPDIR"));
    fs::write(&path, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_waxwing-gateway"))
        .args(["--config", &path, "--check"])
        .output()
        .unwrap();
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{error}");
    assert!(error.contains(expected_error), "{error}");
    assert!(code == 0 || error.contains("try:"), "{error}");
}

#[rstest]
#[case(&[], 2)]
#[case(&["--odd"], 2)]
#[case(&["--config", "/nowhere.yaml"], 3)]
#[case(&["--help"], 0)]
#[case(&["--version"], 0)]
fn the_command_line_is_checked(#[case] args: &[&str], #[case] code: i32) {
    let output = Command::new(env!("CARGO_BIN_EXE_waxwing-gateway"))
        .env_remove("WAXWING_SETTINGS")
        .args(args)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(code));
}

/// Grace period of the tests below in seconds.
const SHORT_GRACE_S: u64 = 3;

/// Sets the short grace period.
fn shorten_grace(site: &Site) {
    site.change_settings("grace_s: 8", &format!("grace_s: {SHORT_GRACE_S}"));
}

/// Guards against passing on a call that the end of the grace period may cut off without an answer.
#[test]
fn a_stopping_daemon_with_a_short_grace_period_accepts_no_call_that_it_may_have_to_cut() {
    let replica = Replica::start("i-1", |request| {
        let answer = signed_answer(request, 200, b"late");
        Action::SendSlowly(vec![answer], Duration::from_millis(1_500))
    });
    let mut site = Site::start("late-call", &[(&replica, "app", "")]);
    shorten_grace(&site);
    let mut late = site.daemon.caller();
    site.daemon.signal(Signal::TERM);
    std::thread::sleep(Duration::from_millis(1_600));
    let response = late.send_and_read("POST /book/1", &crate::site::headers("a1"), b"");
    assert_eq!(response.status(), 503);
    assert!(response.header("retry-after").is_some());
    assert!(replica.requests().is_empty());
    assert!(site.daemon.wait_for_exit().success());
}

/// Guards against ending without an answer to a request that waits for a replica.
#[test]
fn a_stopping_daemon_refuses_what_still_waits_at_the_end() {
    let decode = Replica::start("i-d", |_| Action::SendAndHang(Vec::new()));
    decode
        .set_call_handler(|call| (call.path() == "/api/hold-take").then(|| answer(503, &[], b"")));
    // A long objective lets streams wait for longer than the grace period.
    let patient = store::config(1, 14_000, 14_000);
    let mut site = Site::start_with_plan("waits-at-end", &patient, &[(&decode, "llm", "decode")]);
    shorten_grace(&site);
    let mut caller = start_generation(&site.daemon, "/draft/1", "a1");
    wait_until("the stream asks for a place", || {
        decode.connection_count() > 0
    });
    site.daemon.signal(Signal::TERM);
    let response = caller.read();
    assert_eq!(response.status(), 503);
    assert!(site.daemon.wait_for_exit().success());
}
