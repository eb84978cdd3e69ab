//! Rows that the store has lost, since it came back from a copy, are written again by the daemons.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use gateway::quarantine::storage::missing_rows;
use gateway::watch::rewriting;
use platform::store::Edit;
use relay::fingerprint::Fingerprint;
use relay::quarantine::record::End;
use relay::quarantine::record::Record;
use relay::quarantine::record::SERVED_GRACE;
use relay::quarantine::record::UnixMs;
use rstest::rstest;
use rustix::process::Signal;
use serde_json::Value;

use crate::common::daemon::Daemon;
use crate::common::daemon::new_ip;
use crate::common::daemon::wait_until;
use crate::common::http::Message;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::signed_answer;
use crate::common::store;
use crate::resumptions::resume;
use crate::site::Site;
use crate::site::config;
use crate::site::send_and_read;
use crate::version_site::EVENTS;
use crate::version_site::Engine;
use crate::version_site::begin_stream;
use crate::version_site::event_texts;

/// Transactions per second that the store takes in one part.
const PART_WRITES_PER_S: f64 = 300.0;
/// Replicas that may end under a request before it is quarantined.
const QUARANTINE_THRESHOLD: usize = 3;

/// Settings with which versions are recorded.
const WITH_RECORDS: &str = "version_records: true\n";
/// Interval between two records of a version, less a part of a second.
const RECORD_PERIOD: Duration = Duration::from_millis(4_700);

/// A record of `ends` replicas that ended under the content.
fn record(ends: u64) -> Record {
    let mut record = Record::new(Fingerprint(7));
    record.ends.extend((0..ends).map(|number| End {
        replica: number,
        at: UnixMs(1_000 + number),
    }));
    record
}

fn keys(rows: &[Edit]) -> BTreeSet<String> {
    rows.iter().map(|row| row.key().to_owned()).collect()
}

/// Guards against a store that refuses the writes of a large fleet, since all instances make them at once.
#[rstest]
#[case::large(985)]
#[case::larger(2_000)]
fn a_large_fleet_writes_its_rows_again_below_the_rate_of_the_store(#[case] members: usize) {
    let rate = members as f64 / rewriting::spread(members).as_secs_f64();
    assert!(rate < PART_WRITES_PER_S / 2.0, "{rate} writes per second");
}

#[rstest]
#[case(1)]
#[case(7)]
#[case(400)]
fn a_small_fleet_writes_its_rows_again_within_seconds(#[case] members: usize) {
    assert!(rewriting::spread(members) < Duration::from_secs(5));
}

#[test]
fn the_rows_of_a_suspect_record_that_the_table_lacks_are_written_again() {
    let all = missing_rows(&BTreeSet::new(), &record(3));
    assert_eq!(all.len(), 3);
    assert_eq!(missing_rows(&keys(&all[..1]), &record(3)), all[1..]);
    assert_eq!(missing_rows(&keys(&all), &record(3)), []);
    // The rows of another content do not count.
    let mut other = record(3);
    other.fingerprint = Fingerprint(8);
    assert_eq!(missing_rows(&keys(&all), &other).len(), 3);
}

/// Guards against a table that grows by rows that were never in it: when many replicas end together, thousands of harmless
/// requests have a record.
#[test]
fn a_record_that_was_never_stored_is_not_written() {
    assert_eq!(missing_rows(&BTreeSet::new(), &record(1)), []);
    let served = Record::served(Fingerprint(7), UnixMs(5_000));
    assert_eq!(missing_rows(&BTreeSet::new(), &served), []);
}

/// Guards against a copy from before the request was served: it would be quarantined again after a start of all daemons.
#[test]
fn the_time_of_service_is_written_again_if_the_copy_has_the_ends() {
    let stored = keys(&missing_rows(&BTreeSet::new(), &record(3)));
    let served_at = UnixMs(1_000).plus(SERVED_GRACE);
    let served = Record::served(Fingerprint(7), served_at);
    let missing = missing_rows(&stored, &served);
    let expected = Edit::Write {
        key: format!("{}.served", Fingerprint(7)),
        value: served_at.0.to_string().into_bytes(),
    };
    assert_eq!(missing, [expected]);
}

fn start_replica(id: &str) -> Replica {
    Replica::start(id, |request| {
        Action::Send(signed_answer(request, 200, b"x"))
    })
}

/// A site in an era of the store with a second daemon, both listed and members of each other's fleet.
fn start_pair(name: &str, replica: &Replica) -> (Site, Daemon) {
    let site = Site::start(name, &[(replica, "app", "")]);
    site.store.set_era(1);
    let second = site.start_another(&format!("{name}-2"), true);
    second.wait_until_ready();
    wait_until("both daemons are listed", || {
        site.store.keys("instances").len() == 2
    });
    for (daemon, other) in [(&site.daemon, &second), (&second, &site.daemon)] {
        wait_until("each daemon advertises the other one", || {
            daemon.addresses().contains(&other.callers.to_string())
        });
    }
    (site, second)
}

/// Guards against instances that are not listed for minutes, since only the poller reads the list often.
#[test]
fn each_instance_writes_its_row_again_when_the_copy_lacks_it() {
    let replica = start_replica("i-1");
    let (site, _second) = start_pair("relisted", &replica);
    for key in site.store.keys("instances") {
        site.store.remove("instances", &key);
    }
    let without_rows = site.store.back_up();
    site.store.restore(&without_rows);
    wait_until("both rows are written again", || {
        site.store.keys("instances").len() == 2
    });
}

/// Guards against an instance that left and is listed for ever, since the copy has its row.
#[test]
fn the_row_of_an_instance_that_left_since_the_copy_is_removed_again() {
    let replica = start_replica("i-1");
    let (site, mut second) = start_pair("unlisted", &replica);
    let with_both = site.store.back_up();
    second.signal(Signal::TERM);
    second.wait_for_exit();
    wait_until("the row is removed at the stop", || {
        site.store.keys("instances").len() == 1
    });
    site.store.restore(&with_both);
    assert_eq!(site.store.keys("instances").len(), 2);
    wait_until("the row is removed again", || {
        let addresses = site.daemon.addresses();
        assert!(!addresses.contains(&second.callers.to_string()));
        site.store.keys("instances").len() == 1
    });
    assert!(site.store.has("instances", "unlisted"));
}

/// Guards against a request that ends replicas again after a start of all daemons, since the store has lost that it did.
#[test]
fn a_quarantine_is_stored_again_when_the_copy_lacks_it() {
    let script = |request: &Message| match request.path() {
        path if path.contains("crash") => Action::Crash(Vec::new()),
        _ => Action::Send(signed_answer(request, 200, b"x")),
    };
    let ids = (0..2 * QUARANTINE_THRESHOLD).map(|number| format!("i-{number}"));
    let replicas: Vec<Replica> = ids.map(|id| Replica::start(&id, script)).collect();
    let listed: Vec<_> = replicas.iter().map(|r| (r, "app", "")).collect();
    let mut site = Site::start("restored", &listed);
    site.store.set_era(1);
    let before = site.store.back_up();
    wait_until("the request is quarantined", || {
        send_and_read(&site.daemon, "POST /book/crash", "c");
        !site.daemon.logged("\"kind\":\"quarantine\"").is_empty()
    });
    wait_until("the quarantine is stored", || {
        site.store.keys("quarantine").len() >= QUARANTINE_THRESHOLD
    });
    site.store.restore(&before);
    assert!(site.store.keys("quarantine").is_empty());
    wait_until("the quarantine is stored again", || {
        site.store.keys("quarantine").len() >= QUARANTINE_THRESHOLD
    });
    // No running daemon knows of the quarantine any more.
    site.daemon.kill();
    let next = site.start_another("restored-2", false);
    next.wait_until_ready();
    wait_until("the next daemon reads the quarantine", || {
        !next.logged("\"kind\":\"quarantine\"").is_empty()
    });
}

/// A site in an era of the store with `plan`, whose first daemon has recorded that the version of `engine` alone has
/// served.
fn start_recorded_site(name: &str, plan: &Value, engine: &Engine) -> Site {
    let (store, store_address) = store::Store::start("127.0.0.1");
    store.set_era(1);
    store.put("op", "config", plan);
    let row = engine.replica.row("llm", "decode");
    store.put("servers", &engine.replica.id, &row);
    let ip = new_ip();
    let daemon = Daemon::first_start(name, &ip, store_address);
    let site = Site {
        store,
        store_address,
        daemon,
        ip,
    };
    site.daemon.wait_until_ready();
    wait_until("the version is recorded", || recorded_era(&site) == 1);
    site
}

/// Era of the record of the only version; 0 without one.
fn recorded_era(site: &Site) -> u64 {
    let record = site.store.get("versions", "llm");
    record.map_or(0, |record| record["era"].as_u64().unwrap())
}

/// Guards against a stream that goes on at a replica that can't continue it: a version that served between the copy and
/// its return is in no list.
#[test]
fn a_record_of_an_earlier_era_does_not_hold() {
    let one = Engine::start("i-one", "v1");
    let mut site = start_recorded_site("recorded-earlier", &store::config(1, 500, 300), &one);
    site.daemon.kill();
    let copy = site.store.back_up();
    let other = Engine::start("i-other", "v1.1");
    other.list(&site, "here");
    other.end(&site);
    site.store.restore(&copy);
    let another = Daemon::start_with_settings(
        "recorded-earlier-2",
        &new_ip(),
        site.store_address,
        &[],
        WITH_RECORDS,
    );
    another.wait_until_ready();
    assert_eq!(resume(&another, "a2", "a1", "18").status(), 503);
    assert_eq!(one.runs(), 0);
}

/// Guards against streams that can't be resumed after a start of all daemons soon after the store came back: no list shows
/// which versions served between the copy and its return, so that no version can be recorded as the only one.
#[test]
fn a_stream_is_resumed_after_all_daemons_were_killed_soon_after_a_new_era() {
    let one = Engine::start("i-one", "v1");
    let mut site = start_recorded_site("saved-soon", &config(1), &one);
    // A row that is there later was written in the new era.
    assert!(site.store.keys("begins").is_empty());
    let copy = site.store.back_up();
    drop(begin_stream(&site));
    wait_until("the begin is saved", || {
        !site.store.keys("begins").is_empty()
    });
    let restored_at = Instant::now();
    site.store.restore(&copy);
    wait_until("the begin is saved in the new era", || {
        !site.store.keys("begins").is_empty()
    });
    assert!(restored_at.elapsed() < RECORD_PERIOD);
    site.daemon.kill();
    let another = Daemon::start("saved-soon-2", &new_ip(), site.store_address, &[]);
    another.wait_until_ready();
    let answer = resume(&another, "a2", "a1", "1");
    assert_eq!(
        String::from_utf8_lossy(&answer.body),
        event_texts(2, EVENTS)
    );
}
