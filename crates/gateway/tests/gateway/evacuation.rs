//! Evacuated data centres get no requests.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;

use crate::common::daemon::Daemon;
use crate::common::daemon::new_ip;
use crate::common::daemon::wait_until;
use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::events;
use crate::common::replica::signed_answer;
use crate::common::replica::stream_head;
use crate::site::Site;
use crate::site::send_and_read;
use crate::site::start_generation;

/// Requests sent to see which replicas get them.
const REQUESTS: usize = 12;
/// Data centre of the replicas that are evacuated.
const EVACUATED: &str = "there";
const KEY: &str = "evacuate/there";

fn echo(id: &str) -> Replica {
    Replica::start(id, |request| {
        Action::Send(signed_answer(request, 200, b"x"))
    })
}

fn list(site: &Site, replica: &Replica, service: &str, stage: &str, data_centre: &str) {
    let mut row = replica.row(service, stage);
    row["zone"] = data_centre.into();
    site.store.put("servers", &replica.id, &row);
}

/// A site with a replica in the daemons' data centre and one in the evacuated one.
fn start(name: &str, near: &Replica, far: &Replica) -> Site {
    let site = Site::start(name, &[(near, "app", "")]);
    list(&site, far, "app", "", EVACUATED);
    wait_until("both replicas are listed", || {
        !site.daemon.logged(&far.id).is_empty()
    });
    site
}

fn evacuate(site: &Site, daemons: &[&Daemon]) {
    site.store.put("op", KEY, &json!({}));
    for daemon in daemons {
        wait_until("the evacuation is in force", || is_evacuated(daemon));
    }
}

fn is_evacuated(daemon: &Daemon) -> bool {
    let line = format!("waxwing_gateway_evacuated{{data_centre=\"{EVACUATED}\"}} 1");
    daemon.metrics().contains(&line)
}

fn send_requests(daemon: &Daemon, path: &str) {
    for number in 0..REQUESTS {
        let response = send_and_read(daemon, path, &format!("e{number}"));
        assert_eq!(response.status(), 200);
    }
}

#[test]
fn an_evacuated_data_centre_gets_no_requests_until_it_returns() {
    let (near, far) = (echo("i-near"), echo("i-far"));
    let site = start("evacuate", &near, &far);
    // The only replica of the daemon's own data centre leaves, so that the other one is needed.
    let mut leaving = near.row("app", "");
    leaving["state"] = "draining".into();
    site.store.put("servers", &near.id, &leaving);
    wait_until("the draining state is logged", || {
        !site.daemon.logged("Draining").is_empty()
    });
    send_requests(&site.daemon, "POST /book/1");
    let before = far.requests().len();
    assert_eq!(before, REQUESTS);
    evacuate(&site, &[&site.daemon]);
    let refused = site.send_and_read("POST /book/1", "refused");
    assert_eq!(refused.status(), 503);
    assert!(refused.header("retry-after").is_some());
    assert_eq!(far.requests().len(), before);
    site.store.remove("op", KEY);
    wait_until("the data centre is back", || !is_evacuated(&site.daemon));
    send_requests(&site.daemon, "POST /book/1");
    assert_eq!(far.requests().len(), before + REQUESTS);
    let lines = site.daemon.logged("\"kind\":\"evacuation\"");
    assert_eq!(lines.len(), 2, "{lines:?}");
}

#[test]
fn a_daemon_without_the_store_learns_of_evacuations_from_its_peers() {
    let (near, far) = (echo("i-near"), echo("i-far"));
    let site = start("evacuate-peers", &near, &far);
    let (view, address) = site.store.at_another_address("127.0.0.1");
    let other = Daemon::start("evacuate-cut", &new_ip(), address, &[&site.ip]);
    other.wait_until_ready();
    wait_until("the daemons know each other", || {
        other.metrics().contains("waxwing_gateway_members 2")
    });
    view.set_down(true);
    evacuate(&site, &[&site.daemon, &other]);
    site.store.remove("op", KEY);
    wait_until("the data centre is back", || !is_evacuated(&other));
}

#[test]
fn a_daemon_that_starts_during_an_evacuation_knows_it_before_its_first_request() {
    let (near, far) = (echo("i-near"), echo("i-far"));
    let site = start("evacuate-start", &near, &far);
    evacuate(&site, &[&site.daemon]);
    site.store.remove("servers", &near.id);
    wait_until("one replica is left", || {
        site.send_and_read("GET /read/1", "probe").status() == 503
    });
    let before = far.requests().len();
    for (name, seeded) in [("evacuate-alone", false), ("evacuate-seeded", true)] {
        let late = site.start_another(name, seeded);
        late.wait_until_ready();
        assert_eq!(send_and_read(&late, "GET /read/1", "a1").status(), 503);
    }
    // With the store down, peers are the only source.
    site.store.set_down(true);
    let late = site.start_another("evacuate-outage", true);
    late.wait_until_ready();
    assert_eq!(send_and_read(&late, "GET /read/1", "a1").status(), 503);
    assert_eq!(far.requests().len(), before);
}

/// A stream that runs there continues to its end. A generation that waits for its prefill has no
/// output yet and goes elsewhere.
#[test]
fn a_running_stream_ends_and_a_placed_generation_is_placed_anew() {
    let is_released = Arc::new(AtomicBool::new(false));
    let released = Arc::clone(&is_released);
    let prefill = Replica::start("i-prefill", move |request| {
        wait_until("the prefill is released", || {
            released.load(Ordering::SeqCst)
        });
        let id = request.header("request-id").unwrap_or_default();
        let body = br#"{"kv-handle":"k1","tokens":1460,"version":1}"#;
        Action::Send(answer(200, &[("request-id", id)], body))
    });
    let far = Replica::start("i-far", |request| {
        let parts = vec![stream_head(request), events(1, 2), chunk(b"")];
        Action::SendSlowly(parts, Duration::from_millis(900))
    });
    let near = Replica::start("i-near", |request| {
        let parts = [stream_head(request), events(1, 2), chunk(b"")];
        Action::Send(parts.concat())
    });
    let site = Site::start("evacuate-streams", &[]);
    list(&site, &far, "llm", "decode", EVACUATED);
    site.daemon.wait_until_ready();
    let mut running = start_generation(&site.daemon, "/draft/1", "running");
    wait_until("the stream runs", || far.requests().len() == 1);
    list(&site, &prefill, "llm", "prefill", "here");
    wait_until("the prefill replica is listed", || {
        !site.daemon.logged(&prefill.id).is_empty()
    });
    let mut placed = start_generation(&site.daemon, "/draft/1", "placed");
    wait_until("the prefill has started", || !prefill.requests().is_empty());
    list(&site, &near, "llm", "decode", "here");
    evacuate(&site, &[&site.daemon]);
    wait_until("the other decode replica is listed", || {
        !site.daemon.logged(&near.id).is_empty()
    });
    is_released.store(true, Ordering::SeqCst);
    let (running, placed) = (running.read(), placed.read());
    assert_eq!((running.status(), running.complete), (200, true));
    assert_eq!((placed.status(), placed.complete), (200, true));
    assert_eq!((far.requests().len(), near.requests().len()), (1, 1));
}
