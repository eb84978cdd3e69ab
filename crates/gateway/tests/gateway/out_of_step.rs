//! Streams that callers resume at a daemon whose view of the replicas, or of the stream, is older than the stream.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rustix::process::Signal;

use crate::common::daemon::Daemon;
use crate::common::daemon::new_ip;
use crate::common::daemon::wait_until;
use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::store;
use crate::resumptions::resume;
use crate::site::Site;
use crate::site::config;
use crate::site::start_generation;
use crate::version_site::EVENTS;
use crate::version_site::Engine;
use crate::version_site::PATH;
use crate::version_site::begin_stream;
use crate::version_site::event_texts;
use crate::version_site::wait_until_known;
use crate::version_site::wait_until_members;

/// Time for which a replica is silent before it closes the connection: longer than an instance without news counts as a
/// member.
const SILENCE: Duration = Duration::from_millis(2_500);

/// A site whose only daemon knows no other one and starts for the first time, with `engine` listed.
fn first_site(name: &str, engine: &Engine) -> Site {
    let (store, store_address) = store::Store::start("127.0.0.1");
    store.put("op", "config", &config(1));
    let ip = new_ip();
    let site = Site {
        daemon: Daemon::first_start(name, &ip, store_address),
        store,
        store_address,
        ip,
    };
    engine.list(&site, "here");
    site.daemon.wait_until_ready();
    wait_until_known(&site.daemon, &[&engine.replica.id]);
    site
}

/// Guards against taking the version of a list that is older than the resumption for the only one: the other daemon is
/// cut off from the store and from the one that began the stream at a version that was listed meanwhile.
#[test]
fn a_daemon_that_is_cut_off_does_not_resume_a_stream_at_the_only_version_it_knows() {
    let old = Engine::start("i-old", "v1");
    let new = Engine::start("i-new", "v1.1");
    let cut_off = first_site("cut-off", &old);
    let site = first_site("in-step", &old);
    cut_off.store.set_down(true);
    new.list(&site, "here");
    site.store.remove("servers", &old.replica.id);
    wait_until_known(&site.daemon, &["i-new"]);
    wait_until("the old version is gone", || {
        let changes = site.daemon.logged("a replica changed");
        changes
            .iter()
            .any(|line| line.contains("Gone") && line.contains("i-old"))
    });
    let stream = begin_stream(&site);
    assert_eq!((old.runs(), new.runs()), (0, 1));
    drop(stream);
    let answer = resume(&cut_off.daemon, "a2", "a1", "1");
    assert_eq!((answer.status(), old.runs()), (503, 0));
}

/// Guards against taking the version that a stream was sent to for the one that began it, when nobody answers.
#[test]
fn an_unanswered_question_does_not_make_a_send_the_begin_of_a_stream() {
    let first = Replica::start("i-first", |_| Action::SendAndReset(Vec::new(), SILENCE));
    let plan = store::config(1, 20_000, 8_000);
    let mut site = Site::start_with_plan("sent-alone", &plan, &[(&first, "llm", "decode")]);
    let another = site.start_another("sent-alone-too", true);
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
    wait_until("the begin is saved", || {
        !site.store.keys("begins").is_empty()
    });
    site.daemon.kill();
    drop(stream);
    another.signal(Signal::CONT);
    let same = Engine::start("i-same", "v1");
    same.list(&site, "here");
    wait_until_known(&another, &["i-began", "i-same"]);
    let answer = resume(&another, "a2", "a1", "1");
    assert_eq!((began.runs(), same.runs()), (2, 0));
    assert_eq!(
        String::from_utf8_lossy(&answer.body),
        event_texts(2, EVENTS)
    );
}

/// Guards against going on at a replica whose entry shows another version by the time of the send: without a start in its
/// entry, it has not restarted.
#[test]
fn a_stream_goes_on_at_no_replica_whose_entry_has_changed_its_version_since_the_choice() {
    let plan = store::config(1, 20_000, 8_000);
    let first = Engine::start("i-first", "v1");
    let site = Site::start_with_plan("changed-since-the-choice", &plan, &[]);
    first.list(&site, "here");
    site.daemon.wait_until_ready();
    let mut stream = begin_stream(&site);
    let is_changed = Arc::new(AtomicBool::new(false));
    let waits_for = Arc::clone(&is_changed);
    let prefill = Replica::start("i-prefill", move |_| {
        while !waits_for.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        let body = br#"{"kv-handle":"k1","tokens":1460,"version":1}"#;
        let headers = [("content-type", "application/json")];
        Action::Send(answer(200, &headers, body))
    });
    let changed = Engine::start("i-changed", "v1");
    changed.list(&site, "here");
    let row = prefill.row("llm", "prefill");
    site.store.put("servers", "i-prefill", &row);
    wait_until_known(&site.daemon, &["i-changed", "i-prefill"]);
    first.end(&site);
    wait_until("the prompt is prefilled", || !prefill.requests().is_empty());
    let mut row = changed.replica.row("llm", "decode");
    row["version"] = "v1.1".into();
    site.store.put("servers", "i-changed", &row);
    let later = Engine::start("i-later", "v1.1");
    later.list(&site, "here");
    wait_until_known(&site.daemon, &["i-later"]);
    is_changed.store(true, Ordering::SeqCst);
    assert!(!stream.read().complete);
    assert_eq!((changed.runs(), later.runs()), (0, 0));
}
