//! Order within a customer's quota.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::common::daemon::Daemon;
use crate::common::daemon::wait_until;
use crate::common::http::Message;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::signed_answer;
use crate::site::Site;
use crate::site::config;

const KEY: &str = "asnmgkcuyj8pjbvk9m68";
/// Name of the customer.
pub const CUSTOMER: &str = "krmiva";
/// Tokens of each request.
const TOKENS: u64 = 100;
/// How long two ranks compete.
const CROWD: Duration = Duration::from_secs(6);

/// A plan whose routes `read` and `book` have these ranks, and one customer.
pub fn plan(ranks: [u8; 2], tokens_per_s: f64) -> Value {
    let mut plan = config(2);
    let routes = plan["routes"].as_array_mut().unwrap();
    for (number, route) in routes.iter_mut().enumerate() {
        route["priority"] = ranks[number.min(1)].into();
    }
    plan["tenants"] = json!([{"name": CUSTOMER, "api-keys": [KEY], "unit": "token_count",
        "plain-tokens": TOKENS, "rate-per-s": tokens_per_s, "burst": tokens_per_s}]);
    plan
}

/// Starts a daemon in front of `replica` with `plan`.
pub fn start(name: &str, replica: &Replica, plan: &Value) -> Site {
    Site::start_with_plan(name, plan, &[(replica, "app", "")])
}

/// A replica that serves everything.
pub fn echo() -> Replica {
    Replica::start("i-1", |request| {
        Action::Send(signed_answer(request, 200, b"x"))
    })
}

/// Sends a call of the customer to `route` and reads the answer.
pub fn send(daemon: &Daemon, route: &str, id: &str, deadline_ms: &str) -> Message {
    let headers = [
        ("Request-Id", id),
        ("Deadline-Ms", deadline_ms),
        ("X-Api-Key", KEY),
    ];
    let line = format!("POST /{route}/1");
    daemon.caller().send_and_read(&line, &headers, b"")
}

/// Answers served and refused.
#[derive(Debug, Default)]
struct Count {
    served: u32,
    refused: u32,
}

impl Count {
    fn share(&self) -> f64 {
        f64::from(self.served) / f64::from((self.served + self.refused).max(1))
    }
}

/// Sends to `route` until `ends`, with this pause between two requests.
fn keep_sending(daemon: &Daemon, route: &str, pause: Duration, ends: &AtomicBool) -> Count {
    let mut count = Count::default();
    while !ends.load(Ordering::SeqCst) {
        let response = send(daemon, route, route, "4000");
        match response.status() {
            200 => count.served += 1,
            429 => {
                count.refused += 1;
                let seconds: f64 = response.header("retry-after").unwrap().parse().unwrap();
                assert!(seconds > 0.0);
            }
            status => panic!("{status}"),
        }
        thread::sleep(pause);
    }
    count
}

#[test]
fn urgent_requests_of_a_customer_beyond_its_quota_are_served_first() {
    let replica = echo();
    let site = start("order-ranks", &replica, &plan([0, 5], 400.0));
    let daemon = &site.daemon;
    wait_until("the quota has tokens", || {
        send(daemon, "read", "fill", "4000").status() == 200
    });
    let ends = AtomicBool::new(false);
    let [urgent, other] = thread::scope(|scope| {
        let urgent =
            scope.spawn(|| keep_sending(daemon, "read", Duration::from_millis(100), &ends));
        let other = scope.spawn(|| keep_sending(daemon, "book", Duration::ZERO, &ends));
        thread::sleep(CROWD);
        ends.store(true, Ordering::SeqCst);
        [urgent.join().unwrap(), other.join().unwrap()]
    });
    assert!(urgent.share() > 3.0 * other.share(), "{urgent:?} {other:?}");
    assert!(other.refused > 0, "{other:?}");
    let has_fields = |line: &String| line.contains("\"rank\":5") && !line.contains("\"ahead\":0,");
    assert!(
        daemon
            .logged("asked for a quota decision")
            .iter()
            .any(has_fields)
    );
    let is_told =
        |line: &String| line.contains("\"retry_after_ms\":") && line.contains("\"rank\":5");
    assert!(daemon.logged("beyond the customer").iter().any(is_told));
    let metrics = daemon.metrics();
    let refused = "quota_decisions_total{decision=\"refused\",rank=\"5\",returned=\"no\"}";
    assert!(metrics.contains(refused), "{metrics}");
}
