//! Orders to engines to change their stage.

use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use crate::common::daemon::Daemon;
use crate::common::daemon::new_ip;
use crate::common::daemon::wait_until;
use crate::common::http::Message;
use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::store;
use crate::resumptions::resume;
use crate::site::Site;
use crate::site::config;
use crate::version_site::EVENTS;
use crate::version_site::Engine;
use crate::version_site::begin_stream;
use crate::version_site::event_texts;

const PREFILL_REPLICAS: usize = 20;
const DECODE_REPLICAS: usize = 4;
/// Orders sent at once: a quarter of the replicas.
const ORDERS_AT_ONCE: usize = 6;
/// Time that a store takes to answer with a part of a table.
const SLOW_PAGE: Duration = Duration::from_millis(500);

fn engines() -> Vec<Replica> {
    engines_answering_after(Duration::ZERO)
}

/// Engines that take `delay` to answer an order.
fn engines_answering_after(delay: Duration) -> Vec<Replica> {
    let accept = move |_: &Message| Action::SendSlowly(vec![answer(202, &[], b"")], delay);
    let names = (0..PREFILL_REPLICAS + DECODE_REPLICAS).map(|number| format!("i-{number}"));
    names.map(|name| Replica::start(&name, accept)).collect()
}

fn start_with_prefill_share(name: &str, engines: &[Replica]) -> Site {
    let stages = engines.iter().enumerate().map(|(number, engine)| {
        let stage = if number < PREFILL_REPLICAS {
            "prefill"
        } else {
            "decode"
        };
        (engine, "llm", stage)
    });
    let site = Site::start(name, &stages.collect::<Vec<_>>());
    site.change_settings("grace_s: 8", "grace_s: 8\nprefill_share: 0.1");
    site
}

fn orders(engine: &Replica) -> Vec<Value> {
    let received = engine.requests();
    let orders = received
        .iter()
        .filter(|received| received.path() == "/api/order");
    orders
        .map(|order| serde_json::from_slice(&order.body).unwrap())
        .collect()
}

/// Guards against stage changes one after another: a shortage of decode replicas would then last some seconds for each
/// missing replica.
#[test]
fn several_engines_change_their_stage_at_once_and_each_gets_one_order() {
    let engines = engines();
    let site = start_with_prefill_share("stages", &engines);
    let given = || -> usize { engines.iter().map(|engine| orders(engine).len()).sum() };
    wait_until("the orders are sent", || given() >= ORDERS_AT_ONCE);
    // Longer than the stages must be out of proportion before orders are sent, shorter than the pause after a change.
    thread::sleep(Duration::from_millis(2_500));
    let received: Vec<Vec<Value>> = engines.iter().map(orders).collect();
    assert!(
        received.iter().all(|orders| orders.len() <= 1),
        "{received:?}"
    );
    let received: Vec<Value> = received.into_iter().flatten().collect();
    assert_eq!(received.len(), ORDERS_AT_ONCE);
    let fences: BTreeSet<u64> = received
        .iter()
        .filter_map(|o| o["fence"].as_u64())
        .collect();
    assert_eq!(fences.len(), 1, "all orders belong to one claim");
    for order in &received {
        assert_eq!(order["op"], "stage");
        assert_eq!(order["stage"], "decode");
        assert_eq!(order["holder"], "stages");
        assert_eq!(order["expected"], 0);
    }
    assert!(site.store.has("orders", "llm"));
}

/// Guards against a claim that blocks the orders for a service forever.
#[rstest]
#[case::in_the_future(json!({"holder": "other", "at_ms": u64::MAX}))]
#[case::mistyped(json!({"holder": 1, "at_ms": -1}))]
#[case::not_a_claim(json!([[[]]]))]
fn orders_are_sent_beside_an_odd_claim(#[case] claim: Value) {
    let engines = engines();
    let site = start_with_prefill_share("odd-claim", &engines);
    site.store.put("orders", "llm", &claim);
    let given = || -> usize { engines.iter().map(|engine| orders(engine).len()).sum() };
    wait_until("the orders are sent", || given() >= ORDERS_AT_ONCE);
}

/// Time for which an order of a daemon that does not tell how old a claim is must not follow it; shorter than a claim may hold.
const CLAIM_TIME: Duration = Duration::from_secs(8);

/// Guards against two holders at once: a claim that a daemon cannot read, or whose time it cannot tell, may be another
/// one's.
#[rstest]
#[case::in_the_future(json!({"holder": "other", "at_ms": u64::MAX}))]
#[case::mistyped(json!({"holder": 1, "at_ms": -1}))]
fn no_orders_are_sent_while_a_claim_of_unknown_age_may_hold(#[case] claim: Value) {
    let engines = engines();
    let stages = engines.iter().map(|engine| (engine, "llm", "prefill"));
    let site = Site::start("unknown-claim", &stages.collect::<Vec<_>>());
    site.store.put("orders", "llm", &claim);
    site.change_settings("grace_s: 8", "grace_s: 8\nprefill_share: 0.1");
    wait_until("a change of stage is tried", || {
        !site.daemon.logged("\"kind\":\"order\"").is_empty()
    });
    thread::sleep(CLAIM_TIME);
    assert!(engines.iter().all(|engine| orders(engine).is_empty()));
}

/// Guards against orders by a claim that bears the time of a reading of long ago: the next holder may have claimed.
#[test]
fn no_orders_are_sent_under_a_claim_that_was_read_long_before() {
    let engines = engines();
    let stages = engines.iter().map(|engine| (engine, "llm", "prefill"));
    let site = Site::start("slow-claim", &stages.collect::<Vec<_>>());
    for service in ["app-1", "app-2", "app-3", "llm"] {
        let claim = json!({"holder": "slow-claim", "at_ms": 1});
        site.store.put("orders", service, &claim);
    }
    site.store.set_slow_table("orders", SLOW_PAGE);
    site.change_settings("grace_s: 8", "grace_s: 8\nprefill_share: 0.1");
    wait_until("a change of stage is tried", || {
        !site.daemon.logged("\"kind\":\"order\"").is_empty()
    });
    assert!(engines.iter().all(|engine| orders(engine).is_empty()));
}

/// Guards against two holders at once where the settings of an earlier start are left as they were: the store may have come
/// back from a copy without the claim of another daemon.
#[test]
fn no_orders_are_sent_at_once_after_a_first_start_that_the_store_does_not_confirm() {
    let engines = engines();
    let (store, store_address) = store::Store::start("127.0.0.1");
    store.set_era(4);
    store.put("op", "config", &config(1));
    store.put("versions", "llm", &json!({"software": "v1", "list": 1}));
    for engine in &engines {
        store.put("servers", &engine.id, &engine.row("llm", "prefill"));
    }
    let settings = "first_start: true\nprefill_share: 0.1\n";
    let daemon = Daemon::start_with_settings("not-first", &new_ip(), store_address, &[], settings);
    wait_until("a change of stage is tried", || {
        !daemon.logged("\"kind\":\"order\"").is_empty()
    });
    assert!(engines.iter().all(|engine| orders(engine).is_empty()));
}

/// Guards against orders one after another within the short life of a claim: engines that answer
/// slowly, but in time, would leave no time for the last ones.
#[test]
fn engines_that_answer_slowly_get_their_orders_under_one_claim() {
    let engines = engines_answering_after(Duration::from_millis(100));
    let _site = start_with_prefill_share("slow-stages", &engines);
    let given = || -> usize { engines.iter().map(|engine| orders(engine).len()).sum() };
    wait_until("the first orders are sent", || given() > 0);
    // Longer than the orders of one claim take, shorter than the pause after a change.
    thread::sleep(Duration::from_millis(2_500));
    assert_eq!(given(), ORDERS_AT_ONCE);
}

/// Guards against further orders while the first ones, which have no answer, may still be carried
/// out: too many engines would change their stage.
#[test]
fn orders_without_an_answer_are_followed_by_the_pause_after_a_change() {
    let engines = engines_answering_after(Duration::from_secs(1));
    let site = start_with_prefill_share("unanswered-stages", &engines);
    let given = || -> usize { engines.iter().map(|engine| orders(engine).len()).sum() };
    wait_until("the first orders are sent", || given() > 0);
    // Longer than the stages must be out of proportion before orders are sent, shorter than the pause after a change.
    thread::sleep(Duration::from_secs(5));
    let claims: BTreeSet<u64> = engines
        .iter()
        .flat_map(orders)
        .filter_map(|order| order["fence"].as_u64())
        .collect();
    assert_eq!(claims.len(), 1, "{:?}", site.daemon.logged("\"order\""));
}

/// Guards against orders that are spaced by the duration of a change which the configuration no longer names.
#[test]
fn a_shorter_change_in_a_new_plan_shortens_the_pause_between_orders() {
    let engines = engines();
    let stages = engines.iter().map(|engine| (engine, "llm", "prefill"));
    let stages: Vec<_> = stages.collect();
    let site = Site::start_with_plan(
        "shorter-change",
        &plan_with_change(1, LONG_CHANGE_SECONDS),
        &stages,
    );
    site.change_settings("grace_s: 8", "grace_s: 8\nprefill_share: 0.1");
    let given = || -> usize { engines.iter().map(|engine| orders(engine).len()).sum() };
    wait_until("the first orders are sent", || given() >= ORDERS_AT_ONCE);
    let changed = plan_with_change(2, SHORT_CHANGE_SECONDS);
    site.store.put("op", "config", &changed);
    wait_until("further orders are sent", || given() > ORDERS_AT_ONCE);
}

/// Guards against orders to an engine that says with its report that it drains.
#[rstest]
#[case::by_a_header(&[("server-leaving", "1")], r#"{"busy":false,"seq":0}"#)]
#[case::by_its_state(&[], r#"{"busy":false,"seq":0,"state":"draining"}"#)]
fn no_orders_are_sent_to_engines_that_say_that_they_drain(
    #[case] headers: &'static [(&str, &str)],
    #[case] report: &'static str,
) {
    let engines = engines();
    for engine in &engines {
        engine.set_call_handler(move |call| {
            let report = || answer(200, headers, report.as_bytes());
            (call.path() == "/api/report").then(report)
        });
    }
    let stages = engines.iter().map(|engine| (engine, "llm", "prefill"));
    let site = Site::start("draining-stages", &stages.collect::<Vec<_>>());
    site.change_settings("grace_s: 8", "grace_s: 8\nprefill_share: 0.1");
    wait_until("engines say that they drain", || {
        !site.daemon.logged("\"source\":\"answer\"").is_empty()
    });
    thread::sleep(Duration::from_millis(2_500));
    assert!(engines.iter().all(|engine| orders(engine).is_empty()));
}

#[test]
fn no_orders_are_sent_without_a_prefill_share() {
    let engines = engines();
    let stages = engines.iter().map(|engine| (engine, "llm", "prefill"));
    let site = Site::start("no-stages", &stages.collect::<Vec<_>>());
    thread::sleep(Duration::from_millis(2_500));
    assert!(engines.iter().all(|engine| orders(engine).is_empty()));
    assert!(!site.store.has("orders", "llm"));
}

/// Duration of a change of stage, far longer than refused callers are told to wait otherwise.
const CHANGE_SECONDS: f64 = 20.0;

/// Duration of a change of stage that leaves no time for a second order within a test.
const LONG_CHANGE_SECONDS: f64 = 120.0;
/// Duration of a change of stage that leaves time for two orders within a test.
const SHORT_CHANGE_SECONDS: f64 = 0.5;

/// A configuration whose engines change their stage in `seconds`, and whose streams wait far less than
/// [`CHANGE_SECONDS`] for a replica.
fn plan_with_change(version: u64, seconds: f64) -> Value {
    let mut plan = store::config(version, 4_000, 300);
    plan["services"][1]["engine"]["stage-switch-s"] = seconds.into();
    plan
}

/// Lists `replica` with its `stage` and software `version` in `data_centre`.
fn list(site: &Site, replica: &Replica, stage: &str, version: &str, data_centre: &str) {
    let mut row = replica.row("llm", stage);
    row["version"] = version.into();
    row["zone"] = data_centre.into();
    site.store.put("servers", &replica.id, &row);
}

/// A prefill replica that takes orders, and generates like `decode` once it is listed as a decode replica.
fn start_changing_prefill(id: &str) -> Replica {
    Replica::start(id, |request| match request.path() {
        "/api/order" => Action::Send(answer(202, &[], b"")),
        _ if request.header("stage") == Some("prefill") => {
            let body = br#"{"kv-handle":"k1","tokens":1460,"version":1}"#;
            Action::Send(answer(200, &[("content-type", "application/json")], body))
        }
        _ => Engine::generate(request),
    })
}

/// Guards against ending all streams of a version whose decode replicas a release has replaced, beside its prefill replicas.
#[test]
fn a_stream_goes_on_at_a_prefill_replica_of_its_version_once_that_has_changed() {
    let settings = "prefill_share: 0.1\n";
    let site = Site::start_with_settings(
        "version-stages",
        &plan_with_change(1, CHANGE_SECONDS),
        &[],
        settings,
    );
    let prefill = ["i-prefill-1", "i-prefill-2"].map(start_changing_prefill);
    let first = Engine::start("i-first", "v1");
    let others = ["i-other-1", "i-other-2"].map(|id| Engine::start(id, "v1.1"));
    for replica in &prefill {
        list(&site, replica, "prefill", "v1", "here");
    }
    first.list(&site, "here");
    site.daemon.wait_until_ready();
    let mut stream = begin_stream(&site);
    for other in &others {
        other.list(&site, "here");
    }
    // Longer than the interval between two checks of the stages.
    thread::sleep(Duration::from_secs(1));
    let mut draining = first.replica.row("llm", "decode");
    draining["state"] = "draining".into();
    site.store.put("servers", "i-first", &draining);
    let ordered = || prefill.iter().filter(|replica| !orders(replica).is_empty());
    wait_until("a prefill replica is ordered to change", || {
        ordered().count() > 0
    });
    first.end(&site);
    drop(stream.read());
    let early = resume(&site.daemon, "a2", "a1", "1");
    assert_eq!(early.status(), 503);
    let retry_after: f64 = early.header("retry-after").unwrap().parse().unwrap();
    let most = CHANGE_SECONDS + 1.5;
    assert!((most / 2.0..=most).contains(&retry_after), "{retry_after}");
    let changed = ordered().next().unwrap();
    assert_eq!(orders(changed)[0]["stage"], "decode");
    list(&site, changed, "decode", "v1", "here");
    thread::sleep(Duration::from_secs(1));
    let answer = resume(&site.daemon, "a3", "a1", "1");
    assert_eq!(
        String::from_utf8_lossy(&answer.body),
        event_texts(2, EVENTS)
    );
    assert_eq!(others.iter().map(Engine::runs).sum::<usize>(), 0);
    assert_eq!(ordered().count(), 1);
}

/// Guards against taking the last decode replica of a version away from its streams to correct the division.
#[test]
fn the_last_decode_replica_of_a_version_keeps_its_stage() {
    let accept = |_: &Message| Action::Send(answer(202, &[], b""));
    let last = Replica::start("i-last", accept);
    let others = ["i-1", "i-2", "i-3"].map(|id| Replica::start(id, accept));
    let site = Site::start_with_settings("last-decode", &config(1), &[], "prefill_share: 0.1\n");
    // The nearest one is preferred for the change.
    list(&site, &last, "decode", "v1", "here");
    for other in &others {
        list(&site, other, "decode", "v1.1", "there");
    }
    site.daemon.wait_until_ready();
    wait_until("an engine is ordered to change", || {
        let all = others.iter().chain([&last]);
        all.flat_map(orders).count() > 0
    });
    assert!(orders(&last).is_empty());
}

/// Regions of the data centres, and a share that lets replicas change their stage.
const REGIONS: &str = "regions: {here: east, there: west}\nprefill_share: 0.1\n";

/// A configuration whose resumable streams may be served in `region` only.
fn plan_with_home(region: &str) -> Value {
    let mut plan = config(1);
    plan["routes"][3]["home-regions"] = json!([region]);
    plan
}

/// Guards against ending all streams of a version whose last decode replica is outside of their home regions.
#[test]
fn a_version_gets_a_decode_replica_in_the_home_region_of_its_streams() {
    let plan = plan_with_home("east");
    let site = Site::start_with_settings("home-stages", &plan, &[], REGIONS);
    let prefill = ["i-near", "i-far"].map(start_changing_prefill);
    list(&site, &prefill[0], "prefill", "v1", "here");
    list(&site, &prefill[1], "prefill", "v1", "there");
    let first = Engine::start("i-first", "v1");
    let abroad = Engine::start("i-abroad", "v1");
    let other = Engine::start("i-other", "v1.1");
    first.list(&site, "here");
    abroad.list(&site, "there");
    other.list(&site, "here");
    site.daemon.wait_until_ready();
    // Longer than the interval between two checks of the stages.
    thread::sleep(Duration::from_secs(1));
    first.end(&site);
    wait_until("the prefill replica at home is ordered to change", || {
        !orders(&prefill[0]).is_empty()
    });
    assert_eq!(orders(&prefill[0])[0]["stage"], "decode");
    assert!(orders(&prefill[1]).is_empty());
}

/// Guards against taking the last decode replica of a version in the home region of its streams to correct the division.
#[test]
fn the_last_decode_replica_of_a_version_in_a_home_region_keeps_its_stage() {
    let accept = |_: &Message| Action::Send(answer(202, &[], b""));
    let [near, last, other] = ["i-near", "i-last", "i-other"].map(|id| Replica::start(id, accept));
    let plan = plan_with_home("west");
    let site = Site::start_with_settings("home-decode", &plan, &[], REGIONS);
    // The nearest one is kept for streams that may be served anywhere.
    list(&site, &near, "decode", "v1", "here");
    list(&site, &last, "decode", "v1", "there");
    list(&site, &other, "decode", "v1.1", "there");
    site.daemon.wait_until_ready();
    wait_until("a change of stage is tried", || {
        !site.daemon.logged("\"kind\":\"order\"").is_empty()
    });
    assert!(orders(&last).is_empty());
}
