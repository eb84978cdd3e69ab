//! A daemon asks another one whether its list of replicas is up to date, and names the list by a hash. A list that it
//! took from a third daemon before the answer came was confirmed instead of the one that was asked about, with the
//! version of the teller's: changes between the two were then never asked for.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gateway::gossip;
use gateway::metrics::Metrics;
use gateway::settings::Settings;
use gateway::shared::Shared;
use logs::queue::Count;
use platform::replica;
use relay::replica::Snapshot;
use relay::replica::Source;
use relay::replica::Update;
use serde_json::json;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::common::daemon::new_ip;

/// Port of each of the daemons; each has an address of its own.
const PORT: u16 = 7_005;
/// Time that the question gets.
const PATIENCE: Duration = Duration::from_secs(10);

/// The state of a daemon at `ip` that knows nothing yet.
fn shared(ip: &str) -> Rc<Shared> {
    let listen = ["callers", "addresses", "readiness", "metrics", "peers"];
    let listen = listen.map(|name| format!("{name}: \"{ip}:{PORT}\""));
    let settings = format!(
        "instance: {ip}\ndata_centre: here\nlisten: {{{}}}\nstore: \"{ip}:1\"\nretry: {{ratio: 0.2, slack: 50, window_s: 10}}\ngrace_s: 8\n",
        listen.join(", ")
    );
    let metrics = Metrics::new(Arc::new(Count::default())).unwrap();
    Rc::new(Shared::new(Settings::parse(&settings).unwrap(), metrics))
}

/// A list of one replica.
fn list() -> Update {
    let entry = json!({"service": "app", "addr": "127.0.0.1:9", "zone": "here", "version": "v1", "slots": 8,
        "state": "ready", "cold-left-ms": 0, "seq": 1});
    let replica = replica::read("i-1", entry.to_string().as_bytes()).unwrap();
    Update::All(Snapshot {
        version: 12,
        replicas: vec![replica],
        lapsing: Vec::new(),
    })
}

/// Asks a daemon whose list is the same as the asker's, which takes another one meanwhile if `changes`; whether the
/// answer confirms the asker's list.
async fn is_confirmed(changes: bool) -> bool {
    let (asker, teller) = (shared(&new_ip()), new_ip());
    tokio::task::spawn_local(gossip::run(Rc::clone(&asker)));
    tokio::task::spawn_local(gossip::run(shared(&teller)));
    let address = SocketAddr::new(teller.parse().unwrap(), PORT);
    while gossip::request_status(&asker, address, PATIENCE / 100)
        .await
        .is_none()
    {}
    let change = async {
        if changes {
            asker.apply_replicas(Source::Peer, asker.clock.now(), &list());
        }
    };
    // The question is on its way before the list is taken.
    let (news, ()) = tokio::join!(gossip::request_status(&asker, address, PATIENCE), change);
    news.unwrap().same
}

#[test]
fn an_answer_confirms_the_list_that_was_asked_about_and_no_other() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let local = LocalSet::new();
    assert!(local.block_on(&runtime, is_confirmed(false)));
    assert!(!local.block_on(&runtime, is_confirmed(true)));
}
