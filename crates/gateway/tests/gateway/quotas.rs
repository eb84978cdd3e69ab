//! Quotas of customers, which all daemons share.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::common::daemon::Daemon;
use crate::common::daemon::wait_until;
use crate::common::http::Message;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::not_run_answer;
use crate::common::replica::signed_answer;
use crate::site::Site;
use crate::site::config;

const KEY: &str = "asnmgkcuyj8pjbvk9m68";
/// Tokens of each request of these tests.
const TOKENS: u64 = 100;

/// A configuration with one customer whose quota is `per_s` tokens per second with this burst.
fn with_quota(version: u64, per_s: f64, burst: u64) -> Value {
    let mut config = config(version);
    config["tenants"] = json!([{"name": "krmiva", "api-keys": [KEY], "unit": "token_count",
        "plain-tokens": TOKENS, "rate-per-s": per_s, "burst": burst}]);
    config
}

/// Starts a daemon in front of `replica` with this quota in force.
fn start(name: &str, replica: &Replica, per_s: f64, burst: u64) -> Site {
    let site = Site::start(name, &[(replica, "app", "")]);
    put_plan(&site, &with_quota(2, per_s, burst));
    site
}

fn put_plan(site: &Site, config: &Value) {
    site.store.put("op", "config", config);
    wait_until_in_force(&site.daemon, config);
}

fn wait_until_in_force(daemon: &Daemon, config: &Value) {
    let version_field = format!("\"version\":{}", config["version"]);
    wait_until("the plan is in force", || {
        let plans = daemon.logged("\"a plan is in force\"");
        plans.iter().any(|plan| plan.contains(&version_field))
    });
}

fn echo(id: &str) -> Replica {
    Replica::start(id, |request| {
        Action::Send(signed_answer(request, 200, b"x"))
    })
}

fn send_and_read(daemon: &Daemon, id: &str) -> Message {
    let headers = [
        ("Request-Id", id),
        ("Deadline-Ms", "4000"),
        ("X-Api-Key", KEY),
    ];
    daemon.caller().send_and_read("POST /book/1", &headers, b"")
}

#[test]
fn requests_beyond_the_quota_are_refused_until_tokens_are_available() {
    let replica = echo("i-1");
    let site = start("quota-one", &replica, 50.0, 2 * TOKENS);
    // The bucket of a newly started daemon holds only the tokens added since the start.
    wait_until("the quota is used up", || {
        send_and_read(&site.daemon, "fill").status() == 429
    });
    let ran = replica.requests().len();
    let response = send_and_read(&site.daemon, "a1");
    assert_eq!(response.status(), 429);
    assert_eq!(replica.requests().len(), ran);
    let seconds: f64 = response.header("retry-after").unwrap().parse().unwrap();
    assert!(seconds > 0.0, "{seconds}");
    thread::sleep(Duration::from_secs_f64(seconds));
    assert_eq!(send_and_read(&site.daemon, "a2").status(), 200);
    let metrics = site.daemon.metrics();
    assert!(
        metrics.contains("customer_requests_total{customer=\"krmiva\",outcome=\"answered\"}"),
        "{metrics}"
    );
    assert!(!site.daemon.logged("beyond the customer").is_empty());
}

#[test]
fn a_request_that_did_not_run_returns_its_tokens() {
    let full = Arc::new(AtomicBool::new(false));
    let is_full = Arc::clone(&full);
    let replica = Replica::start("i-1", move |request| {
        let full = is_full.load(Ordering::SeqCst);
        Action::Send(if full {
            not_run_answer(request)
        } else {
            signed_answer(request, 200, b"x")
        })
    });
    let site = start("quota-back", &replica, 100.0, TOKENS);
    wait_until("the quota has tokens", || {
        send_and_read(&site.daemon, "fill").status() == 200
    });
    thread::sleep(Duration::from_millis(1_200));
    full.store(true, Ordering::SeqCst);
    assert_eq!(send_and_read(&site.daemon, "a1").status(), 503);
    full.store(false, Ordering::SeqCst);
    assert_eq!(send_and_read(&site.daemon, "a2").status(), 200);
}

#[test]
fn daemons_share_one_quota() {
    let replica = echo("i-1");
    let site = start("quota-shared", &replica, 200.0, 4 * TOKENS);
    let other = site.start_another("quota-shared-2", true);
    wait_until("the daemons know each other", || {
        let both = "waxwing_gateway_members 2";
        other.metrics().contains(both) && site.daemon.metrics().contains(both)
    });
    wait_until_in_force(&other, &with_quota(2, 200.0, 4 * TOKENS));
    // Until the membership settles, each daemon may take the other one for the keeper.
    thread::sleep(Duration::from_secs(4));
    let started = Instant::now();
    let statuses: Vec<u16> = (0..12)
        .map(|number| {
            let daemon = [&site.daemon, &other][number % 2];
            send_and_read(daemon, &format!("a{number}")).status()
        })
        .collect();
    let ran = statuses.iter().filter(|status| **status == 200).count();
    let refused = statuses.iter().filter(|status| **status == 429).count();
    // Four at once, those whose tokens were added since, and one for the tokens added while the last request waits.
    let free = 4 + (started.elapsed().as_secs_f64() * 2.0) as usize + 1;
    assert!((4..=free).contains(&ran), "{statuses:?}");
    assert_eq!(ran + refused, statuses.len(), "{statuses:?}");
    assert_eq!(replica.requests().len(), ran);
}

#[test]
fn a_lowered_quota_applies_at_once() {
    let replica = echo("i-1");
    let site = start("quota-lower", &replica, 100_000.0, 100_000);
    wait_until("the quota has tokens", || {
        send_and_read(&site.daemon, "fill").status() == 200
    });
    for number in 0..5 {
        assert_eq!(
            send_and_read(&site.daemon, &format!("a{number}")).status(),
            200
        );
    }
    put_plan(&site, &with_quota(3, 1.0, TOKENS));
    let statuses: Vec<u16> = (0..5)
        .map(|number| send_and_read(&site.daemon, &format!("b{number}")).status())
        .collect();
    assert_eq!(statuses, [200, 429, 429, 429, 429]);
}

#[test]
fn a_daemon_that_reaches_no_keeper_refuses_requests() {
    let replica = echo("i-1");
    let site = start("quota-cut", &replica, 100_000.0, 100_000);
    let mut others: Vec<Daemon> = (2..=3)
        .map(|number| site.start_another(&format!("quota-cut-{number}"), true))
        .collect();
    wait_until("the daemons know each other", || {
        site.daemon.metrics().contains("waxwing_gateway_members 3")
    });
    for other in &mut others {
        other.kill();
    }
    wait_until("the other daemons count as lost", || {
        site.daemon.metrics().contains("waxwing_gateway_members 1")
    });
    // The others may be running behind a network partition, and no request beyond the quota is tolerated.
    let response = send_and_read(&site.daemon, "a1");
    assert_eq!(response.status(), 503);
    assert!(response.header("retry-after").is_some());
    assert!(replica.requests().is_empty());
}
