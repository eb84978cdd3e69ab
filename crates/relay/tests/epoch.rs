//! Records that one software version alone served, and what they allow after a start.

mod common;

use std::time::Duration;

use ident::Time;
use relay::epoch::Epoch;
use relay::pool::Pool;
use relay::replica::Birth;
use relay::replica::Delta;
use relay::replica::Replica;
use relay::replica::Snapshot;
use relay::replica::Stage;
use relay::revision::Revision;
use rstest::rstest;

const LIFETIME: Duration = Duration::from_secs(30);
const SERVICE: &str = "llm";
/// Version of the store at which the records of these tests were made.
const RECORDED: u64 = 50;

fn at(seconds: u64) -> Time {
    Time::ZERO + Duration::from_secs(1_000 + seconds)
}

fn replica(id: &str, service: &str, software: Option<&str>) -> Replica {
    Replica {
        software: software.map(str::to_owned),
        ..common::replica(id, service, Some(Stage::Decode), 8)
    }
}

/// A replica that reports its start.
fn born(id: &str, birth: u64) -> Replica {
    Replica {
        birth: Some(Birth(birth)),
        ..replica(id, SERVICE, Some("v1"))
    }
}

fn snapshot(version: u64, software: &[&str]) -> Snapshot {
    let ids = ["i-1", "i-2", "i-3"].into_iter().zip(software);
    let replicas = ids.map(|(id, software)| replica(id, SERVICE, Some(software)));
    common::snapshot(version, replicas.collect())
}

fn changes(since: u64, replicas: Vec<Replica>, gone: &[&str]) -> Delta {
    Delta {
        since: Revision::new(0, since),
        version: Revision::new(0, RECORDED + 9),
        replicas,
        gone: gone.iter().map(|id| (*id).to_owned()).collect(),
        ..Delta::default()
    }
}

#[rstest]
#[case::nothing_changed(changes(RECORDED, vec![], &[]), true)]
#[case::the_same_version(changes(RECORDED, vec![replica("i-4", SERVICE, Some("v1"))], &[]), true)]
#[case::another_service(changes(RECORDED, vec![replica("i-5", "other", Some("v7"))], &[]), true)]
#[case::another_version(changes(RECORDED, vec![replica("i-4", SERVICE, Some("v2"))], &[]), false)]
#[case::an_unknown_version(changes(RECORDED, vec![replica("i-4", SERVICE, None)], &[]), false)]
#[case::a_listed_replica_left(changes(RECORDED, vec![], &["i-1"]), true)]
#[case::another_replica_came_and_left(changes(RECORDED, vec![], &["i-1", "i-9"]), false)]
#[case::the_same_incarnation(changes(RECORDED, vec![born("i-2", 7)], &[]), true)]
#[case::a_restart_under_the_same_id(changes(RECORDED, vec![born("i-2", 8)], &[]), false)]
#[case::a_later_replica_that_may_have_restarted(changes(RECORDED, vec![born("i-4", 8)], &[]), false)]
#[case::a_replica_that_may_have_restarted_left(changes(RECORDED, vec![], &["i-2"]), false)]
#[case::a_gap_in_the_history(changes(RECORDED + 1, vec![], &[]), false)]
fn a_record_holds_until_another_version_may_have_served(
    #[case] changes: Delta,
    #[case] expected: bool,
) {
    let listed = [replica("i-1", SERVICE, Some("v1")), born("i-2", 7)];
    let epoch = Epoch::new("v1".to_owned(), Revision::new(0, RECORDED)).with_listed(listed.iter());
    assert_eq!(epoch.holds_after(SERVICE, &changes), expected);
}

/// A record has to fit into a row of the store.
#[test]
fn a_record_of_a_large_fleet_lists_no_replicas() {
    let ids = (0..5_000).map(|number| format!("i-{number}"));
    let listed: Vec<Replica> = ids.map(|id| replica(&id, SERVICE, Some("v1"))).collect();
    let epoch = Epoch::new("v1".to_owned(), Revision::new(0, RECORDED)).with_listed(listed.iter());
    assert_eq!(
        epoch,
        Epoch::new("v1".to_owned(), Revision::new(0, RECORDED))
    );
    assert!(epoch.holds_after(SERVICE, &changes(RECORDED, vec![], &[])));
    assert!(!epoch.holds_after(SERVICE, &changes(RECORDED, vec![], &["i-1"])));
}

#[test]
fn a_record_stands_for_the_time_before_a_start() {
    let mut pool = Pool::new();
    pool.apply(at(0), &snapshot(60, &["v1", "v1"])).unwrap();
    assert_eq!(pool.only_version(at(1), SERVICE, LIFETIME), None);
    pool.vouch_version(at(1), SERVICE, "v1".to_owned());
    assert_eq!(pool.only_version(at(1), SERVICE, LIFETIME), Some("v1"));
    assert_eq!(pool.only_version(at(1), "other", LIFETIME), None);
    // Another version comes.
    let both = snapshot(61, &["v1", "v1", "v2"]);
    pool.apply(at(1), &both).unwrap();
    assert_eq!(pool.only_version(at(1), SERVICE, LIFETIME), None);
}

#[test]
fn a_record_of_another_version_than_the_listed_one_does_not_count() {
    let mut pool = Pool::new();
    pool.apply(at(0), &snapshot(60, &["v2"])).unwrap();
    pool.vouch_version(at(1), SERVICE, "v1".to_owned());
    assert_eq!(pool.only_version(at(1), SERVICE, LIFETIME), None);
}

/// A frozen daemon, or one that was cut off, may have missed a version that came and went.
#[test]
fn a_record_does_not_outlast_a_gap_in_following_the_list() {
    let mut pool = Pool::new();
    pool.apply(at(0), &snapshot(60, &["v1"])).unwrap();
    pool.vouch_version(at(1), SERVICE, "v1".to_owned());
    pool.apply(at(1), &snapshot(61, &["v1"])).unwrap();
    assert_eq!(pool.only_version(at(2), SERVICE, LIFETIME), Some("v1"));
    pool.apply(at(7), &snapshot(62, &["v1"])).unwrap();
    assert_eq!(pool.only_version(at(7), SERVICE, LIFETIME), None);
}

#[test]
fn no_stream_began_before_the_first_start_of_the_whole_system() {
    let mut pool = Pool::new();
    pool.note_first_start();
    pool.apply(at(0), &snapshot(60, &["v1"])).unwrap();
    assert_eq!(pool.only_version(at(1), SERVICE, LIFETIME), Some("v1"));
    pool.apply(at(8), &snapshot(61, &["v1"])).unwrap();
    assert_eq!(pool.only_version(at(8), SERVICE, LIFETIME), None);
}

/// The store confirms the first start after the list may have been read.
#[test]
fn a_first_start_that_is_confirmed_late_hides_no_gap() {
    let mut pool = Pool::new();
    pool.apply(at(0), &snapshot(60, &["v1"])).unwrap();
    pool.note_first_start();
    assert_eq!(pool.only_version(at(1), SERVICE, LIFETIME), Some("v1"));
    let mut pool = Pool::new();
    pool.apply(at(0), &snapshot(60, &["v1"])).unwrap();
    pool.apply(at(8), &snapshot(61, &["v1"])).unwrap();
    pool.note_first_start();
    assert_eq!(pool.only_version(at(8), SERVICE, LIFETIME), None);
}
