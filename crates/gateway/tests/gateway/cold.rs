//! Cold replicas get no more requests than they tolerate, from all daemons together.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::common::daemon::Daemon;
use crate::common::daemon::wait_until;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::signed_answer;
use crate::site::Site;
use crate::site::config;
use crate::site::send_and_read;

/// Requests per second that the replicas tolerate while cold.
const COLD_RATE: f64 = 2.0;
/// Tolerance that the platform's rules allow in one second: a factor, and a number of requests.
const TOLERANCE_FACTOR: f64 = 1.5;
const TOLERANCE_REQUESTS: f64 = 5.0;

/// A site with one replica of a service whose cold replicas tolerate `COLD_RATE`.
fn start(name: &str, replica: &Replica, is_cold: bool) -> Site {
    let site = Site::start(name, &[]);
    let mut plan = config(2);
    plan["services"][0]["cold-start-s"] = 3.0.into();
    plan["services"][0]["cold-per-s"] = COLD_RATE.into();
    site.store.put("op", "config", &plan);
    let mut row = replica.row("app", "");
    row["cold-left-ms"] = if is_cold { 3_000.0 } else { 0.0 }.into();
    site.store.put("servers", &replica.id, &row);
    wait_until("the plan is in force", || {
        !site.daemon.logged("\"version\":2").is_empty()
    });
    site.daemon.wait_until_ready();
    site
}

fn echo(id: &str) -> Replica {
    Replica::start(id, |request| {
        Action::Send(signed_answer(request, 200, b"x"))
    })
}

/// Sends requests to `daemons` in turn for a second; returns how many `replica` received, and how
/// many it may receive in that time.
fn send_for_a_second(replica: &Replica, daemons: &[&Daemon]) -> (usize, usize) {
    let before = replica.requests().len();
    let started = Instant::now();
    let mut sent = 0;
    while started.elapsed() < Duration::from_secs(1) {
        let daemon = daemons[sent % daemons.len()];
        send_and_read(daemon, "GET /read/1", &format!("c{sent}"));
        sent += 1;
        thread::sleep(Duration::from_millis(5));
    }
    let allowed = COLD_RATE * started.elapsed().as_secs_f64() * TOLERANCE_FACTOR;
    let allowed = (allowed + TOLERANCE_REQUESTS) as usize;
    (replica.requests().len() - before, allowed)
}

/// Guards against daemons that crash a cold replica with the requests of all of them together.
#[test]
fn a_cold_replica_gets_no_more_requests_than_it_tolerates() {
    let replica = echo("i-cold");
    let site = start("cold", &replica, true);
    let others = [2, 3].map(|number| site.start_another(&format!("cold-{number}"), true));
    let daemons: Vec<&Daemon> = std::iter::once(&site.daemon).chain(&others).collect();
    for daemon in &daemons {
        daemon.wait_until_ready();
        wait_until("the daemons know each other", || {
            daemon.metrics().contains("waxwing_gateway_members 3")
        });
    }
    // Daemons use the list as the membership until the membership has settled.
    thread::sleep(Duration::from_secs(4));
    for _ in 0..3 {
        let (received, allowed) = send_for_a_second(&replica, &daemons);
        assert!(received <= allowed, "{received} of {allowed}");
    }
    assert!(replica.requests().len() >= 3, "no requests are served");
    // It gets all requests once it is warm.
    site.store
        .put("servers", &replica.id, &replica.row("app", ""));
    wait_until("the replica is warm", || {
        let (received, allowed) = send_for_a_second(&replica, &daemons);
        received > allowed
    });
}

/// Guards against a rush on replicas that became cold shortly before their data centre returned:
/// their entries in the list may not show it yet.
#[test]
fn replicas_get_few_requests_shortly_after_an_evacuation() {
    let replica = echo("i-back");
    let site = start("cold-return", &replica, false);
    let evacuated = "waxwing_gateway_evacuated{data_centre=\"here\"} 1";
    let is_evacuated = || site.daemon.metrics().contains(evacuated);
    site.store.put_bytes("op", "evacuate/here", b"{}");
    wait_until("the evacuation is in force", is_evacuated);
    site.store.remove("op", "evacuate/here");
    wait_until("the data centre is back", || !is_evacuated());
    let (received, allowed) = send_for_a_second(&replica, &[&site.daemon]);
    assert!((1..=allowed).contains(&received), "{received} of {allowed}");
    wait_until("all requests are served", || {
        let (received, allowed) = send_for_a_second(&replica, &[&site.daemon]);
        received > allowed
    });
}
