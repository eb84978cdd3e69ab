//! Streams while replicas of several software versions serve side by side.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;

use crate::common::caller::Caller;
use crate::common::daemon::Daemon;
use crate::common::daemon::wait_until;
use crate::common::http::Message;
use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::chunk;
use crate::common::replica::events;
use crate::common::replica::stream_head;
use crate::common::store;
use crate::site::Site;
use crate::site::start_generation;

/// Path of a stream that may be resumed.
const PATH: &str = "/resume/1";
/// Events of a stream, and the pause between two of them.
const EVENTS: u64 = 20;
const PAUSE: Duration = Duration::from_millis(50);

/// Start time of a replica, in Unix milliseconds.
const START_MS: u64 = 1_780_000_000_000;

/// A decode replica of one software version.
struct Engine {
    replica: Replica,
    version: &'static str,
    /// Set to break off its streams.
    is_broken: Arc<AtomicBool>,
}

impl Engine {
    fn start(id: &str, version: &'static str) -> Self {
        let is_broken = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&is_broken);
        let replica = Replica::start(id, move |request| {
            let last = request.header("last-event-id");
            let last: u64 = last.map_or(0, |id| id.parse().unwrap());
            let mut parts = vec![stream_head(request)];
            parts.extend((last + 1..=EVENTS).map(|id| events(id, id)));
            parts.push(chunk(b""));
            Action::SendUntilStopped(parts, PAUSE, Arc::clone(&stopped))
        });
        Self {
            replica,
            version,
            is_broken,
        }
    }

    /// Lists it in `data_centre`.
    fn list(&self, site: &Site, data_centre: &str) {
        let mut row = self.replica.row("llm", "decode");
        row["version"] = self.version.into();
        row["zone"] = data_centre.into();
        site.store.put("servers", &self.replica.id, &row);
    }

    /// Breaks off its streams and removes it from the list.
    fn end(&self, site: &Site) {
        site.store.remove("servers", &self.replica.id);
        self.is_broken.store(true, Ordering::SeqCst);
    }

    fn runs(&self) -> usize {
        self.replica.requests().len()
    }
}

/// A site with one replica, at which the stream `a1` has begun.
fn start_stream(name: &str, first: &Engine) -> (Site, Caller) {
    let site = Site::start(name, &[]);
    first.list(&site, "here");
    site.daemon.wait_until_ready();
    let stream = begin_stream(&site);
    (site, stream)
}

fn begin_stream(site: &Site) -> Caller {
    let stream = start_generation(&site.daemon, PATH, "a1");
    wait_until("the stream has begun", || {
        !site.daemon.logged("the first event").is_empty()
    });
    stream
}

/// Waits until each of `daemons` knows `count` members, itself included.
fn wait_until_members(daemons: &[&Daemon], count: usize) {
    let line = format!("gateway_members {count}\n");
    wait_until("the members are known", || {
        let knows = |daemon: &&Daemon| daemon.metrics().contains(&line);
        daemons.iter().all(knows)
    });
}

/// Waits until `daemon` knows the replicas `ids`.
fn wait_until_known(daemon: &Daemon, ids: &[&str]) {
    wait_until("the replicas are known", || {
        let changes = daemon.logged("a replica changed");
        let is_known = |id: &&str| changes.iter().any(|line| line.contains(*id));
        ids.iter().all(is_known)
    });
}

/// Resumes the stream that the attempt `begun` received its first event of, and returns the answer.
fn resume(daemon: &Daemon, id: &str, begun: &str, last_event: &str) -> Message {
    let headers = [
        ("Request-Id", id),
        ("Deadline-Ms", "4000"),
        ("Token-Counts", "1460,80"),
        ("Last-Event-Id", last_event),
        ("Resumes", begun),
    ];
    let mut caller = daemon.caller();
    caller.send_and_read(&format!("POST {PATH}"), &headers, b"prompt")
}

fn event_texts(from: u64, to: u64) -> String {
    let texts = (from..=to).map(|id| format!("id: {id}\ndata: t{id}\n\n"));
    texts.collect()
}

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

/// Guards against taking a caller's next attempt for a new stream.
#[test]
fn a_caller_resumes_its_stream_at_the_version_that_began_it() {
    let first = Engine::start("i-first", "v1");
    let (site, mut stream) = start_stream("resumed-by-caller", &first);
    let other = Engine::start("i-other", "v1.1");
    other.list(&site, "here");
    wait_until_known(&site.daemon, &["i-other"]);
    first.end(&site);
    drop(stream.read());
    let same = Engine::start("i-same", "v1");
    same.list(&site, "there");
    wait_until_known(&site.daemon, &["i-same"]);
    let answer = resume(&site.daemon, "a2", "a1", "1");
    assert_eq!((same.runs(), other.runs()), (1, 0));
    assert_eq!(
        String::from_utf8_lossy(&answer.body),
        event_texts(2, EVENTS)
    );
}

/// Guards against forgetting the version with the instance that knew it.
#[rstest]
#[case::while_it_runs(false)]
#[case::after_it_was_killed(true)]
fn a_caller_resumes_its_stream_at_another_instance_at_the_version_that_began_it(
    #[case] is_killed: bool,
) {
    let first = Engine::start("i-first", "v1");
    let mut site = Site::start("resumed-elsewhere", &[]);
    first.list(&site, "here");
    let another = site.start_another("resumed-elsewhere-too", true);
    another.wait_until_ready();
    site.daemon.wait_until_ready();
    wait_until_members(&[&site.daemon, &another], 2);
    let stream = begin_stream(&site);
    if is_killed {
        site.daemon.kill();
    }
    drop(stream);
    let same = Engine::start("i-same", "v1");
    let other = Engine::start("i-other", "v1.1");
    same.list(&site, "there");
    other.list(&site, "here");
    first.end(&site);
    wait_until_known(&another, &["i-same", "i-other"]);
    let answer = resume(&another, "a2", "a1", "1");
    assert_eq!((same.runs(), other.runs()), (1, 0));
    assert_eq!(
        String::from_utf8_lossy(&answer.body),
        event_texts(2, EVENTS)
    );
}

/// Guards against guessing the version of a stream that nobody knows.
#[test]
fn a_resumption_whose_version_is_unknown_is_refused() {
    let one = Engine::start("i-one", "v1");
    let other = Engine::start("i-other", "v1.1");
    let site = Site::start("unknown-version", &[]);
    one.list(&site, "here");
    other.list(&site, "here");
    wait_until_known(&site.daemon, &["i-one", "i-other"]);
    site.daemon.wait_until_ready();
    let answer = resume(&site.daemon, "a2", "a1", "1");
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!((one.runs(), other.runs()), (0, 0));
}

/// A plan whose streams can be resumed for a second only.
fn short_plan() -> Value {
    store::config(1, 500, 300)
}

/// Guards against refusing all resumptions where instances have lost their state, although no other version serves.
#[test]
fn a_resumption_of_an_unknown_stream_is_served_if_only_one_version_has_served_for_long() {
    let one = Engine::start("i-one", "v1");
    let site = Site::start_with_plan("only-version", &short_plan(), &[]);
    one.list(&site, "here");
    site.daemon.wait_until_ready();
    assert_eq!(resume(&site.daemon, "a2", "a1", "18").status(), 503);
    thread::sleep(Duration::from_millis(1_200));
    let answer = resume(&site.daemon, "a3", "a1", "18");
    let expected = event_texts(19, EVENTS);
    assert_eq!(String::from_utf8_lossy(&answer.body), expected);
    // An instance that has just started learns it from the other one.
    let another = site.start_another("only-version-too", true);
    another.wait_until_ready();
    wait_until_members(&[&another], 2);
    let answer = resume(&another, "a4", "a1", "18");
    assert_eq!(String::from_utf8_lossy(&answer.body), expected);
    let other = Engine::start("i-other", "v1.1");
    other.list(&site, "here");
    wait_until_known(&site.daemon, &["i-other"]);
    assert_eq!(resume(&site.daemon, "b2", "b1", "18").status(), 503);
    assert_eq!(other.runs(), 0);
}

/// Guards against announcing nothing of the streams that were running when another version came.
#[test]
fn a_stream_that_began_before_another_version_came_is_resumed_elsewhere() {
    let first = Engine::start("i-first", "v1");
    let plan = store::config(1, 1_500, 500);
    let mut site = Site::start_with_plan("before-release", &plan, &[]);
    first.list(&site, "here");
    let another = site.start_another("before-release-too", true);
    another.wait_until_ready();
    site.daemon.wait_until_ready();
    wait_until_members(&[&site.daemon, &another], 2);
    thread::sleep(Duration::from_millis(3_500));
    let stream = begin_stream(&site);
    let same = Engine::start("i-same", "v1");
    let other = Engine::start("i-other", "v1.1");
    same.list(&site, "there");
    other.list(&site, "here");
    wait_until_known(&site.daemon, &["i-same", "i-other"]);
    wait_until_known(&another, &["i-same", "i-other"]);
    // Time for the announcement.
    thread::sleep(Duration::from_millis(300));
    site.daemon.kill();
    drop(stream);
    first.end(&site);
    let answer = resume(&another, "a2", "a1", "18");
    assert_eq!((same.runs(), other.runs()), (1, 0));
    assert_eq!(
        String::from_utf8_lossy(&answer.body),
        event_texts(19, EVENTS)
    );
}

/// Guards against losing the versions of streams when all instances are stopped one after the other.
#[test]
fn an_instance_that_stops_hands_its_knowledge_of_streams_over() {
    let first = Engine::start("i-first", "v1");
    let other = Engine::start("i-other", "v1.1");
    let mut site = Site::start("handed-over", &[]);
    first.list(&site, "here");
    let mut second = site.start_another("handed-over-2", true);
    second.wait_until_ready();
    site.daemon.wait_until_ready();
    wait_until_members(&[&site.daemon, &second], 2);
    let mut stream = begin_stream(&site);
    other.list(&site, "here");
    let third = site.start_another("handed-over-3", true);
    third.wait_until_ready();
    wait_until_members(&[&second], 3);
    // Only the second one knows the stream besides its own daemon, which is killed.
    site.daemon.kill();
    drop(stream.read());
    wait_until_members(&[&second], 2);
    second.signal(Signal::TERM);
    second.wait_for_exit();
    wait_until_known(&third, &["i-first", "i-other"]);
    let answer = resume(&third, "a2", "a1", "1");
    assert_eq!(
        String::from_utf8_lossy(&answer.body),
        event_texts(2, EVENTS)
    );
    assert_eq!(other.runs(), 0);
}

/// Guards against keeping a caller waiting for a version that is gone.
#[test]
fn a_resumption_is_refused_at_once_if_its_version_has_no_replicas() {
    let first = Engine::start("i-first", "v1");
    let (site, mut stream) = start_stream("version-gone", &first);
    let other = Engine::start("i-other", "v1.1");
    other.list(&site, "here");
    wait_until_known(&site.daemon, &["i-other"]);
    first.end(&site);
    drop(stream.read());
    wait_until("the replica is gone", || {
        !site.daemon.logged("\"belief\":\"Gone\"").is_empty()
    });
    let answer = resume(&site.daemon, "a2", "a1", "1");
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    let lines = site.daemon.logged("\"request\":\"a2\"");
    assert!(!lines.iter().any(|line| line.contains("has room")));
    assert_eq!(other.runs(), 0);
}

/// Guards against refusing resumptions that fit few replicas, while new streams find room at other versions.
#[test]
fn a_resumption_waits_until_a_replica_of_its_version_has_room() {
    let first = Engine::start("i-first", "v1");
    let (site, stream) = start_stream("waits-for-room", &first);
    drop(stream);
    let same = Engine::start("i-same", "v1");
    let other = Engine::start("i-other", "v1.1");
    let full_until = Instant::now() + Duration::from_millis(1_500);
    same.replica.set_call_handler(move |call| {
        let is_full = call.path() == "/api/hold-take" && Instant::now() < full_until;
        is_full.then(|| answer(503, &[], b""))
    });
    same.list(&site, "here");
    other.list(&site, "here");
    wait_until_known(&site.daemon, &["i-same", "i-other"]);
    first.end(&site);
    wait_until("the replica is gone", || {
        !site.daemon.logged("\"belief\":\"Gone\"").is_empty()
    });
    assert!(Instant::now() < full_until);
    let answer = resume(&site.daemon, "a2", "a1", "1");
    assert_eq!((same.runs(), other.runs()), (1, 0));
    assert_eq!(
        String::from_utf8_lossy(&answer.body),
        event_texts(2, EVENTS)
    );
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
