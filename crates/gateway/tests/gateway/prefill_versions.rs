//! KV caches and the software versions of the replicas that write and read them, where one of them changes its version
//! meanwhile.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::common::daemon::wait_until;
use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::store;
use crate::site::Site;
use crate::site::start_generation;
use crate::version_site::EVENTS;
use crate::version_site::Engine;
use crate::version_site::PATH;
use crate::version_site::event_texts;
use crate::version_site::wait_until_known;

/// Start time of a replica that reports it.
const START_MS: u64 = 1_780_000_000_000;

/// A prefill replica that answers once the flag is set; its answers name the start time `born`.
fn start_waiting_prefill(born: Option<u64>) -> (Replica, Arc<AtomicBool>) {
    let is_released = Arc::new(AtomicBool::new(false));
    let waits_for = Arc::clone(&is_released);
    let replica = Replica::start("i-prefill", move |_| {
        while !waits_for.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        let mut body = json!({"kv-handle": "k1", "tokens": 1460, "version": 1});
        if let Some(born) = born {
            body["born"] = born.into();
        }
        let headers = [("content-type", "application/json")];
        Action::Send(answer(200, &headers, body.to_string().as_bytes()))
    });
    (replica, is_released)
}

/// A site with long objectives in front of `prefill` and `decode`, both of the same version.
fn start_site(name: &str, prefill: &Replica, decode: &Engine) -> Site {
    let plan = store::config(1, 20_000, 8_000);
    let replicas = [(prefill, "llm", "prefill")];
    let site = Site::start_with_plan(name, &plan, &replicas);
    decode.list(&site, "here");
    wait_until_known(&site.daemon, &["i-prefill", "i-decode"]);
    site
}

/// Starts a stream, runs `change` while its prompt is prefilled, and checks that the decode replica prefills it itself.
fn assert_cache_is_not_used(
    site: &Site,
    (prefill, is_released): &(Replica, Arc<AtomicBool>),
    decode: &Engine,
    change: impl FnOnce(),
) {
    let mut stream = start_generation(&site.daemon, PATH, "a1");
    wait_until("the prompt is sent", || !prefill.requests().is_empty());
    change();
    is_released.store(true, Ordering::SeqCst);
    let response = stream.read();
    let requests = decode.replica.requests();
    assert!(requests.iter().all(|r| r.header("kv-source").is_none()));
    assert_eq!(
        String::from_utf8_lossy(&response.body),
        event_texts(1, EVENTS)
    );
}

/// Lists `replica` with another version, and waits until a replica that is listed after it is known.
fn change_version(site: &Site, replica: &Replica, stage: &str) {
    let mut row = replica.row("llm", stage);
    row["version"] = "v1.1".into();
    site.store.put("servers", &replica.id, &row);
    let later = Replica::start("i-later", |_| Action::Send(Vec::new()));
    site.store.put("servers", "i-later", &later.row("app", ""));
    wait_until_known(&site.daemon, &["i-later"]);
}

/// Guards against a KV cache of one version that another one reads: without a start in its entry, the decode replica has
/// not restarted.
#[test]
fn a_cache_is_not_read_by_a_decode_replica_that_has_changed_its_version() {
    let prefill = start_waiting_prefill(None);
    let decode = Engine::start("i-decode", "v1");
    let site = start_site("decode-changed", &prefill.0, &decode);
    assert_cache_is_not_used(&site, &prefill, &decode, || {
        change_version(&site, &decode.replica, "decode");
    });
}

#[test]
fn a_cache_is_not_read_if_its_prefill_replica_has_changed_its_version() {
    let prefill = start_waiting_prefill(None);
    let decode = Engine::start("i-decode", "v1");
    let site = start_site("prefill-changed", &prefill.0, &decode);
    assert_cache_is_not_used(&site, &prefill, &decode, || {
        change_version(&site, &prefill.0, "prefill");
    });
}

/// Guards against the cache of an incarnation whose version the list does not show yet.
#[test]
fn a_cache_is_not_read_if_its_prefill_replica_has_restarted() {
    let prefill = start_waiting_prefill(Some(START_MS + 1));
    let decode = Engine::start("i-decode", "v1");
    let site = start_site("prefill-restarted", &prefill.0, &decode);
    let mut row = prefill.0.row("llm", "prefill");
    row["born"] = START_MS.into();
    site.store.put("servers", "i-prefill", &row);
    thread::sleep(Duration::from_secs(1));
    assert_cache_is_not_used(&site, &prefill, &decode, || {});
}
