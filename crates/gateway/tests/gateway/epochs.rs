//! Resumed streams after all daemons have ended: the store has a record of the only software version.

use serde_json::Value;
use serde_json::json;

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

/// Settings with which versions are recorded.
const WITH_RECORDS: &str = "version_records: true\n";
/// The same of the first daemon of the system, which records at once.
const FIRST_WITH_RECORDS: &str = "version_records: true\nfirst_start: true\n";

/// A plan whose streams can be resumed for a short time only.
fn short_plan() -> Value {
    store::config(1, 500, 300)
}

/// A site whose only daemon has recorded that the version of `engine` alone has served, and was killed.
fn killed_site(name: &str, engine: &Engine) -> Site {
    let mut site = Site::start_with_settings(name, &short_plan(), &[], FIRST_WITH_RECORDS);
    engine.list(&site, "here");
    site.daemon.wait_until_ready();
    wait_until("the version is recorded", || {
        site.store.has("versions", "llm")
    });
    site.daemon.kill();
    site
}

/// Kills the only daemon, and removes the begins of streams that it saved, so that only the record can tell their version.
fn kill_without_saved_begins(site: &mut Site) {
    site.daemon.kill();
    for key in site.store.keys("begins") {
        site.store.remove("begins", &key);
    }
}

/// Starts a daemon that knows no other one.
fn start_another(site: &Site, name: &str) -> Daemon {
    Daemon::start_with_settings(name, &new_ip(), site.store_address, &[], WITH_RECORDS)
}

/// Guards against refusing every resumption after a common start, when nobody knows what served before.
#[test]
fn a_stream_is_resumed_after_all_daemons_were_killed() {
    let one = Engine::start("i-one", "v1");
    let site = killed_site("recorded", &one);
    let another = start_another(&site, "recorded-too");
    another.wait_until_ready();
    let answer = resume(&another, "a2", "a1", "18");
    let expected = event_texts(19, EVENTS);
    assert_eq!(String::from_utf8_lossy(&answer.body), expected);
}

/// Guards against trusting a record while another version may have begun the stream.
#[test]
fn a_record_does_not_hold_after_another_version_was_listed() {
    let one = Engine::start("i-one", "v1");
    let other = Engine::start("i-other", "v1.1");
    let site = killed_site("recorded-before", &one);
    other.list(&site, "here");
    let another = start_another(&site, "recorded-before-too");
    another.wait_until_ready();
    assert_eq!(resume(&another, "a2", "a1", "18").status(), 503);
    assert_eq!((one.runs(), other.runs()), (0, 0));
}

#[test]
fn a_record_does_not_hold_after_a_replica_has_left() {
    let one = Engine::start("i-one", "v1");
    let other = Engine::start("i-other", "v1.1");
    let site = killed_site("recorded-left", &one);
    other.list(&site, "here");
    other.end(&site);
    let another = start_another(&site, "recorded-left-too");
    another.wait_until_ready();
    assert_eq!(resume(&another, "a2", "a1", "18").status(), 503);
    assert_eq!(one.runs(), 0);
}

#[test]
fn an_unreadable_record_is_ignored_and_logged() {
    let one = Engine::start("i-one", "v1");
    let site = killed_site("recorded-badly", &one);
    site.store.put("versions", "llm", &json!({"software": 7}));
    let another = start_another(&site, "recorded-badly-too");
    another.wait_until_ready();
    assert_eq!(resume(&another, "a2", "a1", "18").status(), 503);
    // The log is read while the answer comes.
    wait_until("the unreadable record is logged", || {
        !another
            .logged("record of the only version cannot")
            .is_empty()
    });
}

/// A store with one engine, and the first daemon of the system, which has recorded the version of the engine.
fn first_daemon(name: &str, engine: &Engine) -> Site {
    let (store, store_address) = store::Store::start("127.0.0.1");
    store.put("op", "config", &config(1));
    store.put(
        "servers",
        &engine.replica.id,
        &engine.replica.row("llm", "decode"),
    );
    let ip = new_ip();
    let daemon = Daemon::first_start(name, &ip, store_address);
    daemon.wait_until_ready();
    wait_until("the version is recorded", || store.has("versions", "llm"));
    Site {
        store,
        store_address,
        daemon,
        ip,
    }
}

/// Guards against refusing every resumption where the settings do not mention records.
#[test]
fn a_stream_is_resumed_after_all_daemons_were_killed_with_default_settings() {
    let one = Engine::start("i-one", "v1");
    let mut site = first_daemon("by-default", &one);
    drop(begin_stream(&site));
    kill_without_saved_begins(&mut site);
    let another = Daemon::start("by-default-too", &new_ip(), site.store_address, &[]);
    another.wait_until_ready();
    let answer = resume(&another, "a2", "a1", "1");
    assert_eq!(
        String::from_utf8_lossy(&answer.body),
        event_texts(2, EVENTS)
    );
}

/// Guards against streams that nobody recorded between two common starts: a daemon that cannot tell whether one version
/// alone has served records nothing.
#[test]
fn a_stream_is_resumed_after_all_daemons_were_killed_twice() {
    let one = Engine::start("i-one", "v1");
    let mut site = first_daemon("twice", &one);
    site.daemon.kill();
    let recorded = site.store.version("versions", "llm");
    site.daemon = Daemon::start("twice-too", &new_ip(), site.store_address, &[]);
    site.daemon.wait_until_ready();
    wait_until("the version is recorded again", || {
        site.store.version("versions", "llm") > recorded
    });
    drop(begin_stream(&site));
    kill_without_saved_begins(&mut site);
    let another = Daemon::start("twice-three", &new_ip(), site.store_address, &[]);
    another.wait_until_ready();
    let answer = resume(&another, "a2", "a1", "1");
    assert_eq!(
        String::from_utf8_lossy(&answer.body),
        event_texts(2, EVENTS)
    );
}

/// Replaces the replica of `before` by that of `after` in the list, while no daemon runs.
fn release(site: &Site, before: &Engine, after: &Engine) {
    before.end(site);
    after.list(site, "here");
}

/// Guards against passing the present list for all there ever was, where the settings of an earlier start are left as they
/// were.
#[test]
fn a_first_start_that_is_left_in_the_settings_does_not_hide_an_earlier_version() {
    let one = Engine::start("i-one", "v1");
    let other = Engine::start("i-other", "v1.1");
    let mut site = first_daemon("left-in-settings", &one);
    drop(begin_stream(&site));
    kill_without_saved_begins(&mut site);
    site.store.remove("lifetimes", "streams");
    release(&site, &one, &other);
    let another = Daemon::first_start("left-in-settings-too", &new_ip(), site.store_address);
    another.wait_until_ready();
    assert_eq!(resume(&another, "a2", "a1", "1").status(), 503);
    assert_eq!(other.runs(), 0);
}

/// Guards against the same where the earlier start ended before it recorded a version or a stream.
#[test]
fn an_own_row_from_before_the_start_shows_that_it_is_not_the_first_one() {
    let one = Engine::start("i-one", "v1");
    let other = Engine::start("i-other", "v1.1");
    let mut site = first_daemon("own-row", &one);
    drop(begin_stream(&site));
    kill_without_saved_begins(&mut site);
    site.store.remove("versions", "llm");
    site.store.remove("lifetimes", "streams");
    release(&site, &one, &other);
    let again = Daemon::first_start("own-row", &site.ip, site.store_address);
    again.wait_until_ready();
    assert_eq!(resume(&again, "a2", "a1", "1").status(), 503);
    assert_eq!(other.runs(), 0);
}

/// Guards against taking records that could not be read for none.
#[test]
fn a_start_without_an_answer_about_earlier_records_is_not_the_first_one() {
    let one = Engine::start("i-one", "v1");
    let other = Engine::start("i-other", "v1.1");
    let mut site = first_daemon("unread-records", &one);
    drop(begin_stream(&site));
    kill_without_saved_begins(&mut site);
    site.store.remove("lifetimes", "streams");
    release(&site, &one, &other);
    site.store.set_silent_table(Some("versions"));
    let another = Daemon::first_start("unread-records-too", &new_ip(), site.store_address);
    another.wait_until_ready();
    assert_eq!(resume(&another, "a2", "a1", "1").status(), 503);
    assert_eq!(other.runs(), 0);
}
