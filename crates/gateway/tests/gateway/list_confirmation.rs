//! Guards against confirming the wrong list of replicas. A daemon asks a peer whether its list, named by a hash, is up to
//! date. If it takes another list before the answer arrives, and the answer confirms that one at the peer's version, the
//! changes between the two are never requested.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gateway::gossip;
use gateway::metrics::Metrics;
use gateway::settings::Settings;
use gateway::shared::Shared;
use logs::queue::LineCounters;
use platform::replica;
use relay::replica::Snapshot;
use relay::replica::Source;
use relay::replica::Update;
use relay::revision::Revision;
use serde_json::json;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::common::daemon::new_ip;

/// Gossip port of every daemon; the daemons differ in their IP address.
const PORT: u16 = 7_005;
/// Time limit of the status request.
const PATIENCE: Duration = Duration::from_secs(10);

/// State of a newly started daemon at `ip`.
fn shared(ip: &str) -> Rc<Shared> {
    let listen = ["callers", "addresses", "readiness", "metrics", "peers"];
    let listen = listen.map(|name| format!("{name}: \"{ip}:{PORT}\""));
    let settings = format!(
        "instance: {ip}\ndata_centre: here\nlisten: {{{}}}\nstore: \"{ip}:1\"\nretry: {{ratio: 0.2, slack: 50, window_s: 10}}\ngrace_s: 8\n",
        listen.join(", ")
    );
    let metrics = Metrics::new(Arc::new(LineCounters::default())).unwrap();
    Rc::new(Shared::new(Settings::parse(&settings).unwrap(), metrics))
}

/// A list of one replica.
fn list() -> Update {
    let entry = json!({"service": "app", "addr": "127.0.0.1:9", "zone": "here", "version": "v1", "slots": 8,
        "state": "ready", "cold-left-ms": 0, "seq": 1});
    let replica = replica::read("i-1", entry.to_string().as_bytes()).unwrap();
    Update::All(Snapshot {
        version: Revision::new(0, 12),
        replicas: vec![replica],
        lapsing: Vec::new(),
        grace: Duration::ZERO,
    })
}

/// Returns whether the answer of a daemon with the same list confirms the list of the asker. With `changes`, the asker
/// takes another list before the answer arrives.
async fn is_confirmed(changes: bool) -> bool {
    let (asker, responder) = (shared(&new_ip()), new_ip());
    tokio::task::spawn_local(gossip::run(Rc::clone(&asker)));
    tokio::task::spawn_local(gossip::run(shared(&responder)));
    let address = SocketAddr::new(responder.parse().unwrap(), PORT);
    while gossip::request_status(&asker, address, PATIENCE / 100)
        .await
        .is_none()
    {}
    let change = async {
        if changes {
            asker.apply_replicas(Source::Peer, asker.clock.now(), &list());
        }
    };
    // The status request is sent before the list changes.
    let (news, ()) = tokio::join!(gossip::request_status(&asker, address, PATIENCE), change);
    news.unwrap().same
}

#[test]
fn an_answer_confirms_only_the_list_that_it_was_requested_for() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let local = LocalSet::new();
    assert!(local.block_on(&runtime, is_confirmed(false)));
    assert!(!local.block_on(&runtime, is_confirmed(true)));
}
