//! API keys: they identify the customer of a request and never leave the daemon.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;

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
use crate::site::config;

const KEY: &str = "asnmgkcuyj8pjbvk9m68";
const OTHER_KEY: &str = "k7b2ex5wa5xwyhks8nbk";
const NEW_KEY: &str = "p3w8c6ndv5yt2rjq9hxz";

/// A configuration with two customers.
fn with_customers(version: u64) -> Value {
    let mut config = config(version);
    config["tenants"] = json!([
        {"name": "krmiva", "api-keys": [KEY], "priority": 3},
        {"name": "farma", "api-keys": [OTHER_KEY], "priority": 1},
    ]);
    config
}

/// Starts a daemon in front of `replicas` whose callers need keys.
fn start(name: &str, replicas: &[(&Replica, &str, &str)]) -> Site {
    let site = Site::start(name, replicas);
    put_plan(&site, &with_customers(2));
    site
}

/// Writes `config` to the store and waits until it is in force.
fn put_plan(site: &Site, config: &Value) {
    site.store.put("op", "config", config);
    let version_field = format!("\"version\":{}", config["version"]);
    wait_until("the plan is in force", || {
        let plans = site.daemon.logged("\"a plan is in force\"");
        plans.iter().any(|plan| plan.contains(&version_field))
    });
}

fn echo(id: &str) -> Replica {
    Replica::start(id, |request| {
        Action::Send(signed_answer(request, 200, b"x"))
    })
}

fn send_and_read(site: &Site, line: &str, id: &str, key: &str) -> Message {
    let headers = [
        ("Request-Id", id),
        ("Deadline-Ms", "4000"),
        ("X-Api-Key", key),
    ];
    site.daemon.caller().send_and_read(line, &headers, b"")
}

#[test]
fn a_replica_receives_the_customer_and_not_the_key() {
    let replica = echo("i-1");
    let site = start("keys-told", &[(&replica, "app", "")]);
    let sent = [
        ("Request-Id", "a1"),
        ("X-Api-Key", KEY),
        // Headers that only the daemon may set.
        ("Tenant", "farma"),
        ("Request-Priority", "0"),
        ("Connection", "keep-alive, X-Api-Key, Tenant"),
    ];
    let response = site
        .daemon
        .caller()
        .send_and_read("POST /read/1", &sent, b"{}");
    assert_eq!(response.status(), 200);
    let received = replica.requests().remove(0);
    assert_eq!(received.header("tenant"), Some("krmiva"));
    assert_eq!(received.header("request-priority"), Some("3"));
    assert_eq!(received.header("x-api-key"), None);
    let tenants = received.headers.iter().filter(|(name, _)| name == "tenant");
    assert_eq!(tenants.count(), 1);
}

#[test]
fn prefill_and_decode_requests_name_the_customer() {
    let prefill = Replica::start_prefill("i-p");
    let decode = Replica::start("i-d", |request| {
        Action::Send([stream_head(request), events(1, 2), chunk(b"")].concat())
    });
    let replicas = [(&prefill, "llm", "prefill"), (&decode, "llm", "decode")];
    let site = start("keys-stages", &replicas);
    let sent = [
        ("Request-Id", "a1"),
        ("Token-Counts", "100,20"),
        ("Prompt-Prefix", "5c1e07a2:100"),
        ("X-Api-Key", OTHER_KEY),
        ("Transfer-Encoding", "chunked"),
        ("Trailer", "X-Api-Key, Tenant"),
    ];
    let mut caller = site.daemon.caller();
    caller.start_request("POST /draft/1", &sent, b"");
    let body = format!("2\r\nhi\r\n0\r\nX-Api-Key: {KEY}\r\nTenant: krmiva\r\n\r\n");
    crate::common::http::send(&mut caller.socket, body.as_bytes());
    assert!(caller.read().complete);
    for received in [prefill.requests().remove(0), decode.requests().remove(0)] {
        assert_eq!(
            received.header("tenant"),
            Some("farma"),
            "{}",
            received.line
        );
        assert_eq!(received.header("x-api-key"), None);
        assert!(!format!("{received:?}").contains(KEY));
    }
}

#[rstest]
#[case::missing("keys-missing", &[])]
#[case::unknown("keys-unknown", &[NEW_KEY])]
#[case::empty("keys-empty", &[""])]
#[case::doubled("keys-doubled", &[KEY, KEY])]
#[case::two("keys-two", &[KEY, OTHER_KEY])]
#[case::listed("keys-listed", &["asnmgkcuyj8pjbvk9m68,k7b2ex5wa5xwyhks8nbk"])]
#[case::not_ascii("keys-not-ascii", &["asnmgkcuyj8pjbvk9m6\u{e9}"])]
#[case::of_other_case("keys-case", &["ASNMGKCUYJ8PJBVK9M68"])]
#[case::over_long("keys-long", &["asnmgkcuyj8pjbvk9m68asnmgkcuyj8pjbvk9m68asnmgkcuyj8pjbvk9m68asnmgkcuyj8pjbvk9m68asnmgkcuyj8pjbvk9m68"])]
fn a_request_without_one_valid_key_is_rejected(#[case] name: &str, #[case] keys: &[&str]) {
    let replica = echo("i-1");
    let site = start(name, &[(&replica, "app", "")]);
    let mut sent = vec![("Request-Id", "a1")];
    sent.extend(keys.iter().map(|key| ("X-Api-Key", *key)));
    let response = site
        .daemon
        .caller()
        .send_and_read("GET /read/1", &sent, b"");
    assert_eq!(response.status(), 401);
    assert!(String::from_utf8_lossy(&response.body).contains("X-Api-Key"));
    assert!(replica.requests().is_empty());
}

#[test]
fn a_public_route_needs_no_key() {
    let replica = echo("i-1");
    let site = start("keys-public", &[(&replica, "app", "")]);
    let mut public = with_customers(3);
    public["routes"][0]["public"] = true.into();
    put_plan(&site, &public);
    let sent = [("Request-Id", "a1"), ("Tenant", "krmiva")];
    let response = site
        .daemon
        .caller()
        .send_and_read("GET /read/1", &sent, b"");
    assert_eq!(response.status(), 200);
    assert_eq!(replica.requests()[0].header("tenant"), None);
    assert_eq!(
        send_and_read(&site, "GET /read/1", "a2", NEW_KEY).status(),
        200
    );
    assert_eq!(replica.requests()[1].header("x-api-key"), None);
}

#[test]
fn key_headers_are_forwarded_without_customers() {
    let replica = echo("i-1");
    let site = Site::start("keys-none", &[(&replica, "app", "")]);
    assert_eq!(send_and_read(&site, "GET /read/1", "a1", KEY).status(), 200);
    assert_eq!(replica.requests()[0].header("x-api-key"), Some(KEY));
}

#[test]
fn a_key_listed_for_two_customers_is_valid_for_neither() {
    let replica = echo("i-1");
    let site = start("keys-claimed", &[(&replica, "app", "")]);
    let mut claimed = with_customers(3);
    claimed["tenants"][1]["api-keys"] = json!([OTHER_KEY, KEY]);
    put_plan(&site, &claimed);
    assert_eq!(send_and_read(&site, "GET /read/1", "a1", KEY).status(), 401);
    assert_eq!(
        send_and_read(&site, "GET /read/1", "a2", OTHER_KEY).status(),
        200
    );
    assert_eq!(site.daemon.logged("another customer's as well").len(), 1);
}

#[test]
fn keys_are_revoked_and_added_on_open_connections() {
    let replica = echo("i-1");
    let site = start("keys-revoked", &[(&replica, "app", "")]);
    let mut caller = site.daemon.caller();
    let mut send_and_read = |id: &str, key: &str| {
        let sent = [("Request-Id", id), ("X-Api-Key", key)];
        caller.send_and_read("GET /read/1", &sent, b"").status()
    };
    assert_eq!(
        (send_and_read("a1", KEY), send_and_read("a2", NEW_KEY)),
        (200, 401)
    );
    let mut changed = with_customers(3);
    changed["tenants"][0]["api-keys"] = json!([NEW_KEY]);
    put_plan(&site, &changed);
    assert_eq!(
        (send_and_read("a3", KEY), send_and_read("a4", NEW_KEY)),
        (401, 200)
    );
    // An older version changes nothing, wherever it comes from.
    site.store.put("op", "config", &with_customers(2));
    site.store.put("op", "config", &json!({"version": 9}));
    wait_until("the unreadable plan is logged", || {
        !site.daemon.logged("cannot be read").is_empty()
    });
    assert_eq!(
        (send_and_read("a5", KEY), send_and_read("a6", NEW_KEY)),
        (401, 200)
    );
}

#[test]
fn a_retry_is_not_sent_for_a_revoked_key() {
    // The first replica holds the request until the key is revoked, and answers that it has not run it.
    let site = Arc::new(Mutex::new(None::<Site>));
    let held = Arc::clone(&site);
    let revoking = move |request: &Message| {
        if let Some(site) = held.lock().unwrap().as_ref() {
            let mut revoked = with_customers(3);
            revoked["tenants"][0]["api-keys"] = json!([]);
            put_plan(site, &revoked);
        }
        Action::Send(not_run_answer(request))
    };
    let one = Replica::start("i-1", revoking.clone());
    let two = Replica::start("i-2", revoking);
    let replicas = [(&one, "app", ""), (&two, "app", "")];
    let started = start("keys-retry", &replicas);
    let mut caller = started.daemon.caller();
    *site.lock().unwrap() = Some(started);
    let sent = [("Request-Id", "a1"), ("X-Api-Key", KEY)];
    let response = caller.send_and_read("GET /read/1", &sent, b"");
    assert_eq!(response.status(), 401);
    assert_eq!(one.requests().len() + two.requests().len(), 1);
    // The threads of the replicas outlast the test and would keep the daemon running.
    drop(site.lock().unwrap().take());
}

#[test]
fn a_running_stream_continues_when_its_key_is_revoked() {
    let decode = Replica::start("i-d", |request| {
        let parts = vec![
            [stream_head(request), events(1, 1)].concat(),
            events(2, 2),
            [events(3, 3), chunk(b"")].concat(),
        ];
        Action::SendSlowly(parts, Duration::from_millis(700))
    });
    let site = start("keys-stream", &[(&decode, "llm", "decode")]);
    let mut caller = site.daemon.caller();
    let sent = [
        ("Request-Id", "a1"),
        ("Token-Counts", "100,20"),
        ("X-Api-Key", KEY),
    ];
    caller.start_request("POST /draft/1", &sent, b"prompt");
    wait_until("the stream runs", || !decode.requests().is_empty());
    let mut revoked = with_customers(3);
    revoked["tenants"][0]["api-keys"] = json!([]);
    put_plan(&site, &revoked);
    let response = caller.read();
    assert!(response.complete);
    assert!(String::from_utf8_lossy(&response.body).contains("id: 3\n"));
}

#[test]
fn no_key_is_logged_or_sent() {
    let prefill = Replica::start_prefill("i-p");
    let failing = Replica::start("i-1", |request| Action::Send(not_run_answer(request)));
    let decode = Replica::start("i-d", |_| Action::Send(answer(200, &[], b"")));
    let replicas = [
        (&failing, "app", ""),
        (&prefill, "llm", "prefill"),
        (&decode, "llm", "decode"),
    ];
    let site = start("keys-hidden", &replicas);
    let other = site.start_another("keys-hidden-2", true);
    other.wait_until_ready();
    let mut answers = Vec::new();
    for (id, key) in [("a1", KEY), ("a2", NEW_KEY)] {
        answers.push(send_and_read(&site, "GET /read/1", id, key));
        answers.push(send_and_read(&site, "POST /book/1", id, key));
        answers.push(send_and_read(&site, "POST /draft/1", id, key));
        answers.push(send_and_read(&site, "GET /nowhere/1", id, key));
    }
    wait_until("all requests are logged", || {
        site.daemon.logged("\"a2\"").len() >= 4
    });
    let mut output = site.daemon.logged("");
    output.extend(other.logged(""));
    output.push(site.daemon.metrics());
    output.push(other.metrics());
    output.push(format!("{answers:?}"));
    let instances = site.store.keys("instances").into_iter();
    output.extend(instances.map(|name| format!("{:?}", site.store.get("instances", &name))));
    let received = [&failing, &prefill, &decode].map(|replica| format!("{:?}", replica.requests()));
    output.extend(received);
    let leaked = output
        .iter()
        .find(|text| text.contains(KEY) || text.contains(NEW_KEY));
    assert_eq!(leaked, None);
}
