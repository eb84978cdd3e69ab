//! Requests of routes and customers with home regions are served only there.

use std::time::Duration;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use crate::common::daemon::Daemon;
use crate::common::daemon::new_ip;
use crate::common::daemon::wait_until;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::events;
use crate::common::replica::signed_answer;
use crate::common::replica::stream_head;
use crate::common::store::Store;
use crate::site::config;
use crate::site::send_and_read;
use crate::site::start_generation;

/// Data centres of the daemon and of the replicas, with their regions.
const REGIONS: &str = "regions: {here: east, there: west}\n";
const REQUESTS: usize = 10;

fn echo(id: &str) -> Replica {
    Replica::start(id, |request| {
        Action::Send(signed_answer(request, 200, b"x"))
    })
}

fn engine(id: &str) -> Replica {
    Replica::start(id, |request| {
        let parts = [stream_head(request), events(1, 2), chunk(b"")];
        Action::Send(parts.concat())
    })
}

/// A daemon in region `east` with `plan` and replicas, each with service, stage and data centre.
fn start(name: &str, plan: &Value, replicas: &[(&Replica, &str, &str, &str)]) -> (Store, Daemon) {
    let (store, address) = Store::start("127.0.0.1");
    store.put("op", "config", plan);
    for (replica, service, stage, data_centre) in replicas {
        let mut row = replica.row(service, stage);
        row["zone"] = (*data_centre).into();
        store.put("servers", &replica.id, &row);
    }
    let daemon = Daemon::start_with_settings(name, &new_ip(), address, &[], REGIONS);
    daemon.wait_until_ready();
    (store, daemon)
}

#[rstest]
#[case::east(&["east"], 200, true)]
#[case::west(&["west"], 200, false)]
#[case::neither(&["north"], 503, false)]
fn calls_go_to_home_regions_only(
    #[case] homes: &[&str],
    #[case] status: u16,
    #[case] is_near: bool,
) {
    let (near, far) = (echo("i-near"), echo("i-far"));
    let mut plan = config(1);
    plan["routes"][1]["home-regions"] = json!(homes);
    let replicas = [(&near, "app", "", "here"), (&far, "app", "", "there")];
    let (_store, daemon) = start("homes-calls", &plan, &replicas);
    for number in 0..REQUESTS {
        let response = send_and_read(&daemon, "POST /book/1", &format!("h{number}"));
        assert_eq!(response.status(), status);
    }
    let served = if status == 200 { REQUESTS } else { 0 };
    let expected = if is_near { (served, 0) } else { (0, served) };
    assert_eq!((near.requests().len(), far.requests().len()), expected);
}

/// Prompts are prefilled in the homes, too: a prefill replica elsewhere is not used although it is
/// the only one.
#[test]
fn generations_are_prefilled_and_decoded_in_home_regions_only() {
    let (near, far) = (engine("i-near"), engine("i-far"));
    let prefill = Replica::start_prefill("i-prefill");
    let mut plan = config(1);
    plan["routes"][2]["home-regions"] = json!(["west"]);
    let replicas = [
        (&near, "llm", "decode", "here"),
        (&prefill, "llm", "prefill", "here"),
        (&far, "llm", "decode", "there"),
    ];
    let (_store, daemon) = start("homes-llm", &plan, &replicas);
    for number in 0..REQUESTS {
        let mut caller = start_generation(&daemon, "/draft/1", &format!("h{number}"));
        assert_eq!(caller.read().status(), 200);
    }
    assert!(near.requests().is_empty());
    assert!(prefill.requests().is_empty());
    assert_eq!(far.requests().len(), REQUESTS);
}

#[test]
fn a_stream_is_resumed_in_its_home_regions_only() {
    let cut = Replica::start("i-cut", |request| {
        let start = [stream_head(request), events(1, 2)].concat();
        Action::SendAndReset(start, Duration::from_millis(50))
    });
    let near = engine("i-near");
    let mut plan = config(1);
    plan["routes"][3]["home-regions"] = json!(["west"]);
    let replicas = [
        (&cut, "llm", "decode", "there"),
        (&near, "llm", "decode", "here"),
    ];
    let (_store, daemon) = start("homes-resume", &plan, &replicas);
    let response = start_generation(&daemon, "/resume/1", "h1").read();
    assert!(!response.complete);
    assert!(near.requests().is_empty());
}

#[test]
fn the_homes_of_a_customer_bind_beside_those_of_the_route() {
    let (near, far) = (echo("i-near"), echo("i-far"));
    let mut plan = config(1);
    plan["routes"][1]["home-regions"] = json!(["east", "west"]);
    let customer = |name: &str, homes: &[&str]| json!({"name": name, "api-keys": [format!("key-{name}")], "home-regions": homes});
    plan["tenants"] = json!([customer("far", &["west"]), customer("none", &["north"])]);
    let replicas = [(&near, "app", "", "here"), (&far, "app", "", "there")];
    let (_store, daemon) = start("homes-customer", &plan, &replicas);
    let send = |id: &str, key: &str| {
        let headers = [
            ("Request-Id", id),
            ("Deadline-Ms", "4000"),
            ("X-Api-Key", key),
        ];
        let response = daemon.caller().send_and_read("POST /book/1", &headers, b"");
        response.status()
    };
    assert_eq!(send("h1", "key-far"), 200);
    assert_eq!(send("h2", "key-none"), 503);
    assert!(near.requests().is_empty());
    assert_eq!(far.requests().len(), 1);
}

/// Callers of a host with home regions are not sent to instances that are neither in their own
/// region nor in a home.
#[rstest]
#[case::home(&["east"], "east", &["east"])]
#[case::home_and_own(&["east"], "west", &["east", "west"])]
#[case::outside(&["west"], "north", &["west"])]
#[case::anywhere(&[], "north", &["east", "west"])]
fn addresses_follow_home_regions(
    #[case] homes: &[&str],
    #[case] region: &str,
    #[case] expected: &[&str],
) {
    let replica = echo("i-1");
    let mut plan = config(1);
    plan["routes"][1]["home-regions"] = json!(homes);
    let (store, address) = Store::start("127.0.0.1");
    store.put("op", "config", &plan);
    store.put("servers", &replica.id, &replica.row("app", ""));
    let ips = [new_ip(), new_ip()];
    let start = |name: &str, ip: &str, data_centre: &str| {
        Daemon::start_in(data_centre, name, ip, address, &[&ips[0]], REGIONS)
    };
    let east = start("homes-east", &ips[0], "here");
    let west = start("homes-west", &ips[1], "there");
    for daemon in [&east, &west] {
        wait_until("the daemons know each other", || {
            daemon.metrics().contains("waxwing_gateway_members 2")
        });
    }
    let listed = east.addresses_for(region, "nowhere");
    let is_listed = |ip: &String| listed.contains(&format!("\"{ip}:"));
    assert_eq!(is_listed(&ips[0]), expected.contains(&"east"), "{listed}");
    assert_eq!(is_listed(&ips[1]), expected.contains(&"west"), "{listed}");
}
