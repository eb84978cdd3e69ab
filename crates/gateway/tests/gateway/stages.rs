//! Orders to engines to change their stage.

use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;

use rstest::rstest;
use serde_json::Value;

use crate::common::daemon::wait_until;
use crate::common::http::Message;
use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::site::Site;

const PREFILL_REPLICAS: usize = 20;
const DECODE_REPLICAS: usize = 4;
/// Orders sent at once: a quarter of the replicas.
const ORDERS_AT_ONCE: usize = 6;

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
