//! Callers that resume streams while replicas of several software versions serve side by side.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;

use crate::common::daemon::Daemon;
use crate::common::daemon::wait_until;
use crate::common::http::Message;
use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::store;
use crate::site::Site;
use crate::site::config;
use crate::site::start_generation;
use crate::version_site::EVENTS;
use crate::version_site::Engine;
use crate::version_site::PATH;
use crate::version_site::begin_stream;
use crate::version_site::event_texts;
use crate::version_site::start_stream;
use crate::version_site::wait_until_known;
use crate::version_site::wait_until_members;

/// Time for which a replica is silent before it closes the connection: longer than an instance without news counts as a
/// member.
const SILENCE: Duration = Duration::from_millis(2_500);

/// Resumes the stream that the attempt `begun` received its first event of, and returns the answer.
pub fn resume(daemon: &Daemon, id: &str, begun: &str, last_event: &str) -> Message {
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

/// Guards against joining two versions at an instance that stood still while the stream, sent to one, began at the other.
#[test]
fn a_stream_is_not_resumed_at_a_version_that_it_was_only_sent_to() {
    let first = Replica::start("i-first", |_| Action::SendAndReset(Vec::new(), SILENCE));
    let plan = store::config(1, 20_000, 8_000);
    let site = Site::start_with_plan("only-sent", &plan, &[(&first, "llm", "decode")]);
    let another = site.start_another("only-sent-too", true);
    another.wait_until_ready();
    site.daemon.wait_until_ready();
    wait_until_members(&[&site.daemon, &another], 2);
    another.signal(Signal::STOP);
    let stream = start_generation(&site.daemon, PATH, "a1");
    wait_until("the stream is sent to the first version", || {
        !first.requests().is_empty()
    });
    let began = Engine::start("i-began", "v1.1");
    began.list(&site, "here");
    wait_until_known(&site.daemon, &["i-began"]);
    wait_until("the stream has begun", || {
        !site.daemon.logged("the first event").is_empty()
    });
    wait_until_members(&[&site.daemon], 1);
    another.signal(Signal::CONT);
    wait_until_members(&[&site.daemon, &another], 2);
    let same = Engine::start("i-same", "v1");
    same.list(&site, "here");
    wait_until_known(&another, &["i-began", "i-same"]);
    drop(stream);
    let answer = resume(&another, "a2", "a1", "1");
    assert_eq!((began.runs(), same.runs()), (2, 0));
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

/// Settings of a daemon at the first start of the whole system: it knows what has served.
const FIRST_START: &str = "first_start: true\n";
/// How long a replica may begin streams after its entry was removed.
const UNLISTED_SERVICE: Duration = Duration::from_secs(30);

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
    // A replica of another version that had left before may still begin streams.
    thread::sleep(Duration::from_millis(1_200));
    assert_eq!(resume(&site.daemon, "c2", "c1", "18").status(), 503);
    thread::sleep(UNLISTED_SERVICE);
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

/// Guards against refusing all resumptions for as long as another writer writes a row that names no replica.
#[test]
fn a_resumption_is_served_beside_a_row_that_names_no_replica_and_is_written_on_and_on() {
    let one = Engine::start("i-one", "v1");
    let site = Site::start_with_plan("beside-a-row", &short_plan(), &[]);
    one.list(&site, "here");
    site.daemon.wait_until_ready();
    let until = Instant::now() + UNLISTED_SERVICE + Duration::from_secs(2);
    while Instant::now() < until {
        site.store.put("servers", "i-odd", &json!({"service": 7}));
        thread::sleep(Duration::from_millis(400));
    }
    let answer = resume(&site.daemon, "a2", "a1", "18");
    let expected = event_texts(19, EVENTS);
    assert_eq!(String::from_utf8_lossy(&answer.body), expected);
    // A replica may have been there before the row was removed.
    site.store.remove("servers", "i-odd");
    thread::sleep(Duration::from_millis(400));
    assert_eq!(resume(&site.daemon, "b2", "b1", "18").status(), 503);
}

/// Guards against announcing nothing of the streams that were running when another version came.
#[test]
fn a_stream_that_began_before_another_version_came_is_resumed_elsewhere() {
    let first = Engine::start("i-first", "v1");
    let plan = store::config(1, 1_500, 500);
    let mut site = Site::start_with_settings("before-release", &plan, &[], FIRST_START);
    first.list(&site, "here");
    let another = site.first_start("before-release-too");
    another.wait_until_ready();
    site.daemon.wait_until_ready();
    wait_until_members(&[&site.daemon, &another], 2);
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

/// Guards against losing the version of a stream that begins while its instance stops: nobody else knows it once another
/// version is listed.
#[test]
fn a_stream_that_begins_while_its_instance_stops_is_handed_over() {
    let late = Replica::start("i-late", |request| {
        thread::sleep(Duration::from_millis(500));
        Engine::generate(request)
    });
    let other = Engine::start("i-other", "v1.1");
    let replicas = [(&late, "llm", "decode")];
    let mut site = Site::start_with_settings("begun-at-a-stop", &config(1), &replicas, FIRST_START);
    let another = site.first_start("begun-at-a-stop-2");
    another.wait_until_ready();
    site.daemon.wait_until_ready();
    wait_until_members(&[&site.daemon, &another], 2);
    let mut stream = start_generation(&site.daemon, PATH, "a1");
    wait_until("the stream is sent", || !late.requests().is_empty());
    site.daemon.signal(Signal::TERM);
    assert!(stream.read().complete);
    site.daemon.wait_for_exit();
    other.list(&site, "here");
    wait_until_known(&another, &["i-late", "i-other"]);
    let answer = resume(&another, "a2", "a1", "1");
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

/// Guards against refusing most of the streams that callers resume, since they wait behind all new ones.
#[test]
fn a_resumption_does_not_wait_until_no_new_stream_waits() {
    let first = Engine::start("i-first", "v1");
    let asked = Arc::new(Mutex::new(Vec::new()));
    let places = Arc::new(AtomicUsize::new(1));
    let (asked_before, free) = (Arc::clone(&asked), Arc::clone(&places));
    first.replica.set_call_handler(move |call| {
        if call.path() != "/api/hold-take" {
            return None;
        }
        asked_before.lock().unwrap().push(call.body.clone());
        let take = |count: usize| count.checked_sub(1);
        let taken = free.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take);
        taken.is_err().then(|| answer(503, &[], b""))
    });
    let plan = store::config(1, 20_000, 20_000);
    let site = Site::start_with_plan("waits-beside-new", &plan, &[]);
    first.list(&site, "here");
    site.daemon.wait_until_ready();
    drop(begin_stream(&site));
    let mut new = start_generation(&site.daemon, PATH, "b1");
    wait_until("the new stream waits", || asked.lock().unwrap().len() > 1);
    let mut resumption = site.daemon.caller();
    let headers = [
        ("Request-Id", "a2"),
        ("Deadline-Ms", "4000"),
        ("Token-Counts", "2460,80"),
        ("Last-Event-Id", "1"),
        ("Resumes", "a1"),
    ];
    resumption.start_request(&format!("POST {PATH}"), &headers, b"prompt");
    wait_until("the resumption asks for a place", || {
        let asked = asked.lock().unwrap();
        asked.iter().any(|body| *body != asked[0])
    });
    places.store(2, Ordering::SeqCst);
    assert_eq!(resumption.read().body, event_texts(2, EVENTS).into_bytes());
    assert_eq!(new.read().body, event_texts(1, EVENTS).into_bytes());
}

/// Guards against refusing new streams beside idle replicas, while resumptions wait for a version without decode replicas.
#[test]
fn a_resumption_that_no_replica_can_serve_does_not_hold_up_new_streams() {
    let first = Engine::start("i-first", "v1");
    let (site, mut stream) = start_stream("holds-up-nobody", &first);
    let prefill = Replica::start_prefill("i-prefill");
    site.store
        .put("servers", "i-prefill", &prefill.row("llm", "prefill"));
    let other = Engine::start("i-other", "v1.1");
    other.list(&site, "here");
    wait_until_known(&site.daemon, &["i-prefill", "i-other"]);
    first.end(&site);
    drop(stream.read());
    let mut resumption = site.daemon.caller();
    let headers = [
        ("Request-Id", "a2"),
        ("Deadline-Ms", "4000"),
        ("Token-Counts", "1460,80"),
        ("Last-Event-Id", "1"),
        ("Resumes", "a1"),
    ];
    resumption.start_request(&format!("POST {PATH}"), &headers, b"prompt");
    wait_until("the resumption waits", || {
        !site.daemon.logged("looked up the software").is_empty()
    });
    assert!(start_generation(&site.daemon, PATH, "b1").read().complete);
    assert_eq!(other.runs(), 1);
    assert_eq!(resumption.read().status(), 503);
}
