//! A machine may be suspended for seconds. Its steady clock does not count that time, and a daemon that
//! measures with it takes what it knew before for fresh: it sends to replicas that have left, goes on with a claim that
//! another daemon has taken over, and grants callers and replicas time that is gone.
//!
//! Here the clock of the timers is stopped, and time passes all the same.

#[path = "gateway/common/mod.rs"]
#[allow(
    dead_code,
    reason = "shared with the other tests, which use more of it"
)]
mod common;

use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use gateway::clock::Clock;
use gateway::gossip;
use gateway::metrics::Metrics;
use gateway::settings::Settings;
use gateway::shared::Shared;
use gateway::store::Store;
use logs::queue::Count;
use prometheus::IntCounterVec;
use prometheus::Opts;
use serde_json::json;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::task::yield_now;

use crate::common::daemon::new_ip;
use crate::common::http;

/// Port for other daemons; each has an address of its own.
const PEERS: u16 = 7_005;
/// How long the machine is suspended.
const SUSPENDED: Duration = Duration::from_millis(300);
/// The same, where an answer is waited for: longer than the time limits of the store and of peers.
const LONG_SUSPENDED: Duration = Duration::from_millis(1_200);

#[tokio::test(start_paused = true)]
async fn the_time_that_a_machine_was_suspended_counts() {
    let clock = Clock::new();
    let before = clock.now();
    thread::sleep(SUSPENDED);
    assert!(clock.now().since(before) >= SUSPENDED);
}

#[tokio::test(start_paused = true)]
async fn a_limit_that_passed_meanwhile_is_over() {
    let clock = Clock::new();
    let limit = clock.instant(clock.now() + SUSPENDED / 2);
    thread::sleep(SUSPENDED);
    assert!(limit.elapsed() >= SUSPENDED / 4);
}

/// An answer that the store gave before a suspension is there when the machine goes on, and tells what was so
/// seconds ago. The time limit of the call does not end it, since its timer stood.
#[tokio::test(start_paused = true)]
async fn what_the_store_told_before_a_suspension_is_read_again() {
    let progress = Arc::new(Progress::default());
    let own = Arc::clone(&progress);
    let address = http::serve("127.0.0.1", move |socket| tell_versions(socket, &own));
    let calls = IntCounterVec::new(Opts::new("calls", "calls"), &["step", "table"]).unwrap();
    let store = Store::new(address, calls);
    let suspension = async {
        while progress.asked.load(Ordering::SeqCst) == 0 {
            yield_now().await;
        }
        progress.suspended.store(true, Ordering::SeqCst);
        thread::sleep(LONG_SUSPENDED);
    };
    let reading = async { tokio::join!(store.read("servers"), suspension) };
    let (read, ()) = LocalSet::new().run_until(reading).await;
    assert_eq!(read.unwrap().version, 2);
}

/// How far the test with a stand-in for the store is.
#[derive(Default)]
struct Progress {
    /// Questions so far.
    asked: AtomicU64,
    /// Whether the asker is suspended, or was.
    suspended: AtomicBool,
}

/// A stand-in for the store whose version is the number of its answer, and which answers once the asker is suspended.
fn tell_versions(socket: &mut TcpStream, progress: &Progress) {
    while let Ok(Some(_)) = http::read(socket) {
        let version = progress.asked.fetch_add(1, Ordering::SeqCst) + 1;
        while !progress.suspended.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        let rows = json!({"rows": [], "has-more": false, "ver": version, "now-ms": 1});
        http::send(socket, &http::answer(200, &[], rows.to_string().as_bytes()));
    }
}

/// The state of a daemon at `ip` that knows nothing yet.
fn shared(ip: &str) -> Rc<Shared> {
    let listen = ["callers", "addresses", "readiness", "metrics", "peers"];
    let listen = listen.map(|name| format!("{name}: \"{ip}:{PEERS}\""));
    let settings = format!(
        "instance: {ip}\ndata_centre: here\nlisten: {{{}}}\nstore: \"{ip}:1\"\nretry: {{ratio: 0.2, slack: 50, window_s: 10}}\ngrace_s: 8\n",
        listen.join(", ")
    );
    let metrics = Metrics::new(Arc::new(Count::default())).unwrap();
    Rc::new(Shared::new(Settings::parse(&settings).unwrap(), metrics))
}

/// Starts a daemon's gossip in a thread of its own, which is not suspended; ends with the process.
fn start_peer() -> SocketAddr {
    let ip = new_ip();
    let address = SocketAddr::new(ip.parse().unwrap(), PEERS);
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, gossip::run(shared(&ip)))
    });
    address
}

/// The peer tells the age of its list at the moment of its answer. Taken for that of seconds later, a list that is out
/// of date would be confirmed.
#[tokio::test(start_paused = true)]
async fn what_a_peer_told_before_a_suspension_has_become_older() {
    let peer = start_peer();
    let shared = shared(&new_ip());
    let asking = async {
        tokio::task::spawn_local(gossip::run(Rc::clone(&shared)));
        while gossip::request_status(&shared, peer, SUSPENDED)
            .await
            .is_none()
        {}
        let suspension = async { thread::sleep(LONG_SUSPENDED) };
        tokio::join!(gossip::request_status(&shared, peer, SUSPENDED), suspension)
    };
    let (news, ()) = LocalSet::new().run_until(asking).await;
    assert!(
        news.is_none_or(|news| news.age() >= LONG_SUSPENDED),
        "{news:?}"
    );
}
