//! Resumed streams after all daemons have ended while several software versions serve: the store has which version began
//! each stream.

use std::thread;
use std::time::Duration;

use serde_json::Value;

use crate::common::daemon::Daemon;
use crate::common::daemon::new_ip;
use crate::common::daemon::wait_until;
use crate::common::store;
use crate::resumptions::resume;
use crate::site::Site;
use crate::site::config;
use crate::version_site::EVENTS;
use crate::version_site::Engine;
use crate::version_site::begin_stream;
use crate::version_site::event_texts;
use crate::version_site::wait_until_known;

/// Settings with which begins of streams are saved.
const WITH_RECORDS: &str = "version_records: true\n";
/// The same of the first daemon of the system, which knows what has served.
const FIRST_WITH_RECORDS: &str = "version_records: true\nfirst_start: true\n";
/// Longer than the interval between two writes of the store.
const WRITE_TIME: Duration = Duration::from_millis(1_200);

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
    assert!(!has_saved(&site));
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

/// Guards against writes for each stream where one record for all of them is enough.
#[test]
fn no_stream_is_saved_while_one_version_serves() {
    let engine = Engine::start("i-one", "v1");
    let engines = std::slice::from_ref(&engine);
    let site = start_with_settings("not-saved", &short_plan(), engines, FIRST_WITH_RECORDS);
    begin_stream(&site).read();
    thread::sleep(WRITE_TIME);
    assert!(!has_saved(&site));
}

/// Guards against a table that grows with each restart of a daemon.
#[test]
fn the_rows_of_ended_daemons_are_removed() {
    let engines = two_versions();
    let mut site = start("removed", &short_plan(), &engines);
    begin_stream(&site).read();
    wait_until("the begin is saved", || has_saved(&site));
    site.daemon.kill();
    let _another = start_another(&site, "removed-too", &engines);
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
