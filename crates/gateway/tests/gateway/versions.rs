//! Streams while replicas of several software versions serve side by side.

use rstest::rstest;
use serde_json::json;

use crate::common::daemon::wait_until;
use crate::common::http::answer;
use crate::common::replica::Replica;
use crate::common::store;
use crate::site::Site;
use crate::site::start_generation;
use crate::version_site::EVENTS;
use crate::version_site::Engine;
use crate::version_site::PATH;
use crate::version_site::begin_stream;
use crate::version_site::event_texts;
use crate::version_site::start_stream;
use crate::version_site::wait_until_known;

/// Start time of a replica, in Unix milliseconds.
const START_MS: u64 = 1_780_000_000_000;

/// Guards against joining events of two software versions in one answer.
#[rstest]
#[case::newer_beside("v1", "v1.1")]
#[case::older_beside("v1.1", "v1")]
fn a_broken_stream_goes_on_at_the_version_that_began_it(
    #[case] version: &'static str,
    #[case] other_version: &'static str,
) {
    let first = Engine::start("i-first", version);
    let (site, mut stream) = start_stream("goes-on-at-version", &first);
    let same = Engine::start("i-same", version);
    let other = Engine::start("i-other", other_version);
    same.list(&site, "there");
    other.list(&site, "here");
    wait_until_known(&site.daemon, &["i-same", "i-other"]);
    first.end(&site);
    let answer = stream.read();
    assert_eq!((same.runs(), other.runs()), (1, 0));
    assert!(answer.complete, "{answer:?}");
    assert_eq!(
        String::from_utf8_lossy(&answer.body),
        event_texts(1, EVENTS)
    );
}

/// Guards against going on at any version rather than breaking off the answer.
#[test]
fn a_broken_stream_ends_where_only_other_versions_are_left() {
    let first = Engine::start("i-first", "v1");
    let (site, mut stream) = start_stream("ends-at-version", &first);
    let other = Engine::start("i-other", "v1.1");
    other.list(&site, "here");
    wait_until_known(&site.daemon, &["i-other"]);
    first.end(&site);
    assert!(!stream.read().complete);
    assert_eq!(other.runs(), 0);
}

/// Guards against events of a replica that restarted under its id, with another version than the list shows.
#[rstest]
#[case::with_reservations(2_000)]
#[case::without_reservations(0)]
fn a_stream_goes_on_at_no_later_incarnation_of_a_listed_replica(#[case] reservation_ms: u64) {
    let mut plan = store::config(1, 4_000, 1_000);
    plan["services"][1]["engine"]["hold-ms"] = reservation_ms.into();
    let first = Engine::start("i-first", "v1");
    let site = Site::start_with_plan("later-incarnation", &plan, &[]);
    first.list(&site, "here");
    site.daemon.wait_until_ready();
    let mut stream = begin_stream(&site);
    let restarted = Engine::start("i-restarted", "v1");
    restarted.replica.set_call_handler(|call| {
        let body = match call.path() {
            "/api/hold-take" => json!({"hold": "h1", "born": START_MS + 1}),
            "/api/report" => json!({"busy": false, "seq": 0, "born": START_MS + 1}),
            _ => return None,
        };
        Some(answer(200, &[], body.to_string().as_bytes()))
    });
    let mut row = restarted.replica.row("llm", "decode");
    row["born"] = START_MS.into();
    site.store.put("servers", "i-restarted", &row);
    wait_until_known(&site.daemon, &["i-restarted"]);
    first.end(&site);
    assert!(!stream.read().complete);
    assert_eq!(restarted.runs(), 0);
}

/// Guards against streams that other daemons cannot resume: a daemon that has met a new incarnation before the list shows
/// it does not know its version, and has nothing to record.
#[test]
fn a_stream_that_may_be_resumed_begins_at_no_incarnation_that_is_not_listed() {
    let site = Site::start("unlisted-incarnation", &[]);
    let engine = Engine::start("i-restarted", "v1.1");
    let report = json!({"hold": "h1", "born": START_MS + 1}).to_string();
    engine.replica.set_call_handler(move |call| {
        (call.path() == "/api/hold-take").then(|| answer(200, &[], report.as_bytes()))
    });
    let mut row = engine.replica.row("llm", "decode");
    row["born"] = START_MS.into();
    site.store.put("servers", "i-restarted", &row);
    site.daemon.wait_until_ready();
    wait_until_known(&site.daemon, &["i-restarted"]);
    let early = start_generation(&site.daemon, PATH, "a1").read();
    assert_eq!((early.status(), engine.runs()), (503, 0));
    row["born"] = (START_MS + 1).into();
    row["version"] = "v1.1".into();
    site.store.put("servers", "i-restarted", &row);
    wait_until("the stream begins", || {
        start_generation(&site.daemon, PATH, "a2").read().complete
    });
}

/// Guards against a KV cache that one version wrote and another one reads.
#[test]
fn a_prompt_is_prefilled_by_the_version_that_answers() {
    let prefill = Replica::start_prefill("i-prefill");
    let decode = Engine::start("i-decode", "v1");
    let site = Site::start("prefill-version", &[]);
    let mut row = prefill.row("llm", "prefill");
    row["version"] = "v1.1".into();
    site.store.put("servers", &prefill.id, &row);
    decode.list(&site, "here");
    wait_until_known(&site.daemon, &["i-prefill", "i-decode"]);
    site.daemon.wait_until_ready();
    assert!(start_generation(&site.daemon, PATH, "a1").read().complete);
    assert!(prefill.requests().is_empty());
}
