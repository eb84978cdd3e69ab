//! Guards against a clock that does not count the time for which the machine is suspended. A daemon with such a clock
//! takes outdated state for fresh after a suspension: it sends requests to replicas that have left, keeps a claim that
//! another daemon has taken over, and grants callers and replicas time that has already passed.
//!
//! The tests pause the clock of the timers while real time passes.

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
use logs::queue::LineCounters;
use prometheus::IntCounterVec;
use prometheus::Opts;
use serde_json::json;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::task::yield_now;

use crate::common::daemon::new_ip;
use crate::common::http;

/// Gossip port of every daemon; the daemons differ in their IP address.
const PEER_PORT: u16 = 7_005;
/// How long the machine is suspended.
const SUSPENDED: Duration = Duration::from_millis(300);
/// Length of a suspension during a call; longer than the time limits of calls to the store and to peers.
const LONG_SUSPENDED: Duration = Duration::from_millis(1_200);

#[tokio::test(start_paused = true)]
async fn the_clock_counts_suspended_time() {
    let clock = Clock::new();
    let before = clock.now();
    thread::sleep(SUSPENDED);
    assert!(clock.now().since(before) >= SUSPENDED);
}

#[tokio::test(start_paused = true)]
async fn a_time_limit_expires_during_a_suspension() {
    let clock = Clock::new();
    let limit = clock.instant(clock.now() + SUSPENDED / 2);
    thread::sleep(SUSPENDED);
    assert!(limit.elapsed() >= SUSPENDED / 4);
}

/// Guards against using a store answer that was sent before a suspension: it is delivered afterwards, seconds out of date,
/// and the time limit of the call does not reject it, since its timer was stopped.
#[tokio::test(start_paused = true)]
async fn a_store_answer_from_before_a_suspension_is_read_again() {
    let progress = Arc::new(Progress::default());
    let own = Arc::clone(&progress);
    let address = http::serve("127.0.0.1", move |socket| serve_versions(socket, &own));
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
    assert_eq!(read.unwrap().revision.version, 2);
}

/// Progress of the test with a stand-in for the store.
#[derive(Default)]
struct Progress {
    /// Calls received so far.
    asked: AtomicU64,
    /// Whether the calling side has been suspended.
    suspended: AtomicBool,
}

/// Stand-in for the store that answers once the calling side is suspended; the version in each answer is its number.
fn serve_versions(socket: &mut TcpStream, progress: &Progress) {
    while let Ok(Some(_)) = http::read(socket) {
        let version = progress.asked.fetch_add(1, Ordering::SeqCst) + 1;
        while !progress.suspended.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        let rows = json!({"rows": [], "has-more": false, "ver": version, "now-ms": 1});
        http::send(socket, &http::answer(200, &[], rows.to_string().as_bytes()));
    }
}

/// State of a newly started daemon at `ip`.
fn shared(ip: &str) -> Rc<Shared> {
    let listen = ["callers", "addresses", "readiness", "metrics", "peers"];
    let listen = listen.map(|name| format!("{name}: \"{ip}:{PEER_PORT}\""));
    let settings = format!(
        "instance: {ip}\ndata_centre: here\nlisten: {{{}}}\nstore: \"{ip}:1\"\nretry: {{ratio: 0.2, slack: 50, window_s: 10}}\ngrace_s: 8\n",
        listen.join(", ")
    );
    let metrics = Metrics::new(Arc::new(LineCounters::default())).unwrap();
    Rc::new(Shared::new(Settings::parse(&settings).unwrap(), metrics))
}

/// Runs the gossip of a daemon in a separate thread, which is not suspended, until the process ends; returns its address.
fn start_peer() -> SocketAddr {
    let ip = new_ip();
    let address = SocketAddr::new(ip.parse().unwrap(), PEER_PORT);
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, gossip::run(shared(&ip)))
    });
    address
}

/// Guards against confirming an outdated list: a peer sends the age of its list at the time of its answer, which is too
/// low if the answer is read seconds later.
#[tokio::test(start_paused = true)]
async fn a_peer_answer_from_before_a_suspension_counts_as_older() {
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
