//! Request limits that replicas set for all daemons together.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use crate::common::daemon::Daemon;
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
use crate::site::send_and_read;
use crate::site::start_generation;
use crate::site::unanswered_replicas;

/// Tolerance of the checks: a factor on the requests that a limit allows, and a number of requests on top.
const TOLERANCE_FACTOR: f64 = 1.5;
const TOLERANCE_REQUESTS: f64 = 5.0;

/// Starts a replica that sends a limit of `rate` requests per second while `is_limited` is true.
fn limited_replica(id: &str, rate: f64, is_limited: &Arc<AtomicBool>) -> Replica {
    let is_limited = Arc::clone(is_limited);
    Replica::start(id, move |request| {
        Action::Send(if is_limited.load(Ordering::SeqCst) {
            limited_answer(request, rate)
        } else {
            signed_answer(request, 200, b"x")
        })
    })
}

fn limited_answer(request: &Message, rate: f64) -> Vec<u8> {
    let id = request.header("request-id").unwrap_or_default();
    let rate = rate.to_string();
    let headers = [
        ("request-id", id),
        ("response-seal", "s.1"),
        ("server-limit", &rate),
    ];
    answer(200, &headers, b"x")
}

fn unlimited_replica(id: &str) -> Replica {
    Replica::start(id, |request| {
        Action::Send(signed_answer(request, 200, b"x"))
    })
}

fn enabled() -> Arc<AtomicBool> {
    Arc::new(AtomicBool::new(true))
}

/// Sends requests to `daemons` in turn for `seconds`; returns the statuses and the elapsed seconds.
fn send_requests(daemons: &[&Daemon], path: &str, seconds: f64) -> (Vec<u16>, f64) {
    let started = Instant::now();
    let mut statuses = Vec::new();
    while started.elapsed().as_secs_f64() < seconds {
        let number = statuses.len();
        let daemon = daemons[number % daemons.len()];
        statuses.push(send_and_read(daemon, path, &format!("p{number}")).status());
        thread::sleep(Duration::from_millis(20));
    }
    (statuses, started.elapsed().as_secs_f64())
}

fn max_requests(rate: f64, seconds: f64) -> usize {
    (rate * seconds * TOLERANCE_FACTOR + TOLERANCE_REQUESTS) as usize
}

/// Guards against sending a replica more requests than its limit allows.
#[rstest]
#[case::repeatable("GET /read/1")]
#[case::not_repeatable("POST /book/1")]
fn a_replica_gets_no_more_requests_than_its_limit(#[case] path: &str) {
    let limited = limited_replica("i-limited", 2.0, &enabled());
    let other = unlimited_replica("i-open");
    let site = Site::start("limit", &[(&limited, "app", ""), (&other, "app", "")]);
    let (statuses, seconds) = send_requests(&[&site.daemon], path, 4.0);
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    let received = limited.requests().len();
    assert!(
        received <= max_requests(2.0, seconds),
        "{received} in {seconds} s"
    );
    // The replica must still receive requests within its limit.
    assert!(received >= 3, "{received} in {seconds} s");
    assert!(
        !site
            .daemon
            .logged("replica request limit changed")
            .is_empty()
    );
}

/// Guards against daemons that apply the limit without counting the requests of the others.
#[test]
fn daemons_share_the_limit_of_a_replica() {
    let limited = limited_replica("i-limited", 2.0, &enabled());
    let other = unlimited_replica("i-open");
    let site = Site::start("limit-1", &[(&limited, "app", ""), (&other, "app", "")]);
    let others = [2, 3, 4].map(|number| site.start_another(&format!("limit-{number}"), true));
    let daemons: Vec<&Daemon> = std::iter::once(&site.daemon).chain(&others).collect();
    for daemon in &daemons {
        wait_until("the daemons know each other", || {
            daemon.metrics().contains("waxwing_gateway_members 4")
        });
    }
    // Daemons use the list as the membership until the membership has settled.
    thread::sleep(Duration::from_secs(4));
    // Every daemon must receive the limit before requests are counted.
    send_requests(&daemons, "GET /read/1", 1.0);
    let before = limited.requests().len();
    let (statuses, seconds) = send_requests(&daemons, "GET /read/1", 5.0);
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    let received = limited.requests().len() - before;
    assert!(
        received <= max_requests(2.0, seconds),
        "{received} in {seconds} s"
    );
}

/// Guards against exceeding the limit, and against a wrong `retry-after`, when every replica is at its limit.
#[test]
fn a_request_is_refused_with_retry_after_when_all_limits_are_used_up() {
    let limited = limited_replica("i-limited", 0.5, &enabled());
    let site = Site::start("limit-full", &[(&limited, "app", "")]);
    wait_until("the limit is reached", || {
        site.send_and_read("POST /book/1", "fill").status() == 503
    });
    let received = limited.requests().len();
    let refusal = site.send_and_read("POST /book/1", "a1");
    assert_eq!(refusal.status(), 503);
    assert_eq!(limited.requests().len(), received);
    let seconds: f64 = refusal.header("retry-after").unwrap().parse().unwrap();
    assert!((0.01..=4.0).contains(&seconds), "{seconds}");
    wait_until("the replica accepts requests again", || {
        site.send_and_read("POST /book/1", "again").status() == 200
    });
}

/// Guards against a limit that stays in force after the replica has stopped sending it.
#[test]
fn a_limit_is_lifted_when_the_replica_stops_sending_it() {
    let is_limited = enabled();
    let limited = limited_replica("i-limited", 1.0, &is_limited);
    let site = Site::start("limit-lifted", &[(&limited, "app", "")]);
    wait_until("the limit is reached", || {
        site.send_and_read("GET /read/1", "fill").status() == 503
    });
    is_limited.store(false, Ordering::SeqCst);
    wait_until("the replica accepts requests again", || {
        site.send_and_read("GET /read/1", "again").status() == 200
    });
    for number in 0..10 {
        assert_eq!(
            site.send_and_read("GET /read/1", &format!("a{number}"))
                .status(),
            200
        );
    }
}

/// Guards against an unsigned answer without the header that lifts the limit.
#[test]
fn a_rejection_does_not_lift_a_limit() {
    let is_rejecting = Arc::new(AtomicBool::new(false));
    let rejects = Arc::clone(&is_rejecting);
    let limited = Replica::start("i-limited", move |request| {
        Action::Send(if rejects.load(Ordering::SeqCst) {
            not_run_answer(request)
        } else {
            limited_answer(request, 1.0)
        })
    });
    let site = Site::start("limit-rejects", &[(&limited, "app", "")]);
    assert_eq!(site.send_and_read("GET /read/1", "a0").status(), 200);
    is_rejecting.store(true, Ordering::SeqCst);
    let (_, seconds) = send_requests(&[&site.daemon], "GET /read/1", 3.0);
    let received = limited.requests().len();
    assert!(
        received <= max_requests(1.0, seconds),
        "{received} in {seconds} s"
    );
}

/// Guards against sending a decode replica more generations than its limit allows, and against refusals because of the
/// limit while the other replica answers.
#[test]
fn a_decode_replica_gets_no_more_generations_than_its_limit() {
    let stream = |request: &Message, limit: &str| {
        let head = String::from_utf8(stream_head(request)).unwrap();
        let head = head.replacen("\r\n", &format!("\r\n{limit}"), 1);
        [head.as_bytes(), &events(1, 2), &chunk(b"")].concat()
    };
    let limited = Replica::start("i-limited", move |request| {
        Action::Send(stream(request, "server-limit: 1.0\r\n"))
    });
    let other = Replica::start("i-open", move |request| Action::Send(stream(request, "")));
    let prefill = Replica::start_prefill("i-p");
    let site = Site::start_with_prefill("limit-decode", &prefill, &[&limited, &other]);
    let started = Instant::now();
    let mut statuses = Vec::new();
    while started.elapsed() < Duration::from_secs(4) {
        let id = format!("g{}", statuses.len());
        statuses.push(
            start_generation(&site.daemon, "/draft/1", &id)
                .read()
                .status(),
        );
    }
    let received = limited.requests().len();
    let seconds = started.elapsed().as_secs_f64();
    for (number, status) in statuses.iter().enumerate() {
        let unanswered = match status {
            200 => continue,
            _ => unanswered_replicas(&site.daemon, &format!("g{number}")),
        };
        let is_excused = *status == 503 && unanswered.contains(&other.id);
        assert!(is_excused, "g{number}: {unanswered:?}, {statuses:?}");
    }
    assert!(
        received <= max_requests(1.0, seconds),
        "{received} in {seconds} s"
    );
}
