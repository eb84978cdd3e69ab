//! Resumed streams after all daemons have ended while several software versions serve: the store has which version began
//! each stream.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use serde_json::Value;

use crate::common::daemon::Daemon;
use crate::common::daemon::new_ip;
use crate::common::daemon::wait_until;
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

/// Settings with which begins of streams are saved.
const WITH_RECORDS: &str = "version_records: true\n";
/// The same of the first daemon of the system, which knows what has served.
const FIRST_WITH_RECORDS: &str = "version_records: true\nfirst_start: true\n";
/// Counts the writes of saved begins.
const WRITES: &str = "waxwing_gateway_store_calls_total{step=\"writing\",table=\"begins\"} ";
/// Minimum interval between two writes of an instance that is alone, while one version serves.
const MIN_INTERVAL: Duration = Duration::from_secs(2);
/// Time for a write.
const WRITE_TIME: Duration = Duration::from_millis(500);

/// A plan whose streams can be resumed for a second only.
fn short_plan() -> Value {
    store::config(1, 500, 300)
}

/// A site with `plan` in front of `engines`, with a daemon that saves the begins of streams.
fn start(name: &str, plan: &Value, engines: &[Engine]) -> Site {
    start_with_settings(name, plan, engines, WITH_RECORDS)
}

/// The same with `settings`.
fn start_with_settings(name: &str, plan: &Value, engines: &[Engine], settings: &str) -> Site {
    let site = Site::start_with_settings(name, plan, &[], settings);
    for engine in engines {
        engine.list(&site, "here");
    }
    let ids: Vec<&str> = engines.iter().map(|e| e.replica.id.as_str()).collect();
    wait_until_known(&site.daemon, &ids);
    site.daemon.wait_until_ready();
    site
}

/// Two replicas of different versions.
fn two_versions() -> [Engine; 2] {
    [
        Engine::start("i-one", "v1"),
        Engine::start("i-other", "v1.1"),
    ]
}

fn has_saved(site: &Site) -> bool {
    !site.store.keys("begins").is_empty()
}

/// Starts a daemon that knows no other one, and waits until it knows `engines`.
fn start_another(site: &Site, name: &str, engines: &[Engine]) -> Daemon {
    let another =
        Daemon::start_with_settings(name, &new_ip(), site.store_address, &[], WITH_RECORDS);
    let ids: Vec<&str> = engines.iter().map(|e| e.replica.id.as_str()).collect();
    wait_until_known(&another, &ids);
    another.wait_until_ready();
    another
}

/// Guards against refusing all resumptions after a common start while several versions serve, and against guessing.
#[test]
fn a_stream_goes_on_at_its_version_after_all_daemons_were_killed() {
    let engines = two_versions();
    let mut site = start("saved", &config(1), &engines);
    let stream = begin_stream(&site);
    wait_until("the begin is saved", || has_saved(&site));
    site.daemon.kill();
    drop(stream);
    let runs = || engines.each_ref().map(Engine::runs);
    let before = runs();
    let another = start_another(&site, "saved-too", &engines);
    let unknown = resume(&another, "b2", "b1", "1");
    assert_eq!((unknown.status(), runs()), (503, before));
    // Longer than the pause between two readings of the store.
    thread::sleep(Duration::from_millis(400));
    let answer = resume(&another, "a2", "a1", "1");
    assert_eq!(
        String::from_utf8_lossy(&answer.body),
        event_texts(2, EVENTS)
    );
    assert_eq!(runs(), before.map(|runs| 2 * runs));
}

/// Guards against losing the streams that had begun when a second version came.
#[test]
fn a_stream_that_began_before_another_version_came_is_saved() {
    let engines = two_versions();
    let plan = store::config(1, 1_500, 500);
    let settings = FIRST_WITH_RECORDS;
    let mut site = start_with_settings("saved-before", &plan, &engines[..1], settings);
    let stream = begin_stream(&site);
    engines[1].list(&site, "here");
    wait_until("the begin is saved", || has_saved(&site));
    site.daemon.kill();
    drop(stream);
    let another = start_another(&site, "saved-before-too", &engines);
    let answer = resume(&another, "a2", "a1", "18");
    assert_eq!(
        String::from_utf8_lossy(&answer.body),
        event_texts(19, EVENTS)
    );
    assert_eq!(engines[1].runs(), 0);
}

/// Guards against refusing the streams of one version after all that knew them ended before the next one was listed.
#[test]
fn a_stream_goes_on_after_all_daemons_were_killed_before_another_version_was_listed() {
    let engines = two_versions();
    let plan = store::config(1, 1_500, 500);
    let settings = FIRST_WITH_RECORDS;
    let mut site = start_with_settings("saved-alone", &plan, &engines[..1], settings);
    let mut other = start_another(&site, "saved-alone-other", &engines[..1]);
    wait_until_members(&[&site.daemon, &other], 2);
    let stream = begin_stream(&site);
    wait_until("the begin is saved", || has_saved(&site));
    site.daemon.kill();
    other.kill();
    drop(stream);
    engines[1].list(&site, "here");
    let another = start_another(&site, "saved-alone-too", &engines);
    let answer = resume(&another, "a2", "a1", "18");
    assert_eq!(
        String::from_utf8_lossy(&answer.body),
        event_texts(19, EVENTS)
    );
    assert_eq!(engines[1].runs(), 0);
}

/// Guards against a write for each stream of a busy daemon, and against writes without a new stream.
#[test]
fn streams_that_begin_together_share_writes_of_the_store() {
    const STREAMS: usize = 12;
    let engine = Engine::start("i-one", "v1");
    let engines = std::slice::from_ref(&engine);
    let site = start_with_settings("shared-writes", &short_plan(), engines, FIRST_WITH_RECORDS);
    let started = Instant::now();
    let ids: Vec<String> = (1..=STREAMS).map(|number| format!("a{number}")).collect();
    let streams: Vec<_> = ids
        .iter()
        .map(|id| start_generation(&site.daemon, PATH, id))
        .collect();
    wait_until("the streams have begun", || {
        site.daemon.logged("the first event").len() == STREAMS
    });
    let writes = || site.daemon.metric(WRITES);
    let most = 2.0 + started.elapsed().as_secs_f64() / MIN_INTERVAL.as_secs_f64();
    thread::sleep(MIN_INTERVAL + WRITE_TIME);
    let before = writes();
    assert!(before >= 1.0 && before <= most, "{before} writes, {most}");
    drop(streams);
    thread::sleep(MIN_INTERVAL + WRITE_TIME);
    assert!(writes() <= before, "a write without a new stream");
}

/// Guards against a table that grows with each restart of a daemon.
#[rstest]
#[case::one_version("removed-alone", 1)]
#[case::two_versions("removed", 2)]
fn the_rows_of_ended_daemons_are_removed(#[case] name: &str, #[case] versions: usize) {
    let engines = two_versions();
    let engines = &engines[..versions];
    let mut site = start(name, &short_plan(), engines);
    begin_stream(&site).read();
    wait_until("the begin is saved", || has_saved(&site));
    site.daemon.kill();
    let _another = start_another(&site, "removed-too", engines);
    wait_until("the row is removed", || !has_saved(&site));
}

/// Guards against losing the saved begins with the store's last writes.
#[test]
fn begins_are_saved_again_after_the_store_came_back_from_a_copy() {
    let engines = two_versions();
    let site = start("saved-again", &config(1), &engines);
    site.store.set_era(1);
    let copy = site.store.back_up();
    let _stream = begin_stream(&site);
    wait_until("the begin is saved", || has_saved(&site));
    site.store.restore(&copy);
    assert!(!has_saved(&site));
    wait_until("the begin is saved again", || has_saved(&site));
}
