//! Eras of the store: it came back from a copy, and its versions and entries are older than what is known.

mod common;

use std::time::Duration;

use ident::Time;
use relay::epoch::Epoch;
use relay::evacuation::Evacuations;
use relay::evacuation::InForce;
use relay::pool::Pool;
use relay::replica::Birth;
use relay::replica::Delta;
use relay::replica::Replica;
use relay::replica::Snapshot;
use relay::replica::Source;
use relay::replica::Update;
use relay::revision::Revision;
use rstest::rstest;

const START: Time = Time::from_millis(100_000);
/// Version before the drill, and the lower one after it.
const BEFORE: Revision = Revision::new(1, 40);
const AFTER: Revision = Revision::new(2, 31);

fn at(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

fn entry(id: &str, writes: u64, draining: bool) -> Replica {
    Replica {
        writes,
        draining,
        ..common::replica(id, "app", None, 4)
    }
}

fn ready(id: &str) -> Replica {
    entry(id, 1, false)
}

fn list(version: Revision, replicas: Vec<Replica>) -> Snapshot {
    Snapshot {
        version,
        ..common::snapshot(0, replicas)
    }
}

fn changes(since: Revision, version: Revision, replicas: Vec<Replica>, gone: &[&str]) -> Delta {
    Delta {
        since,
        version,
        replicas,
        gone: gone.iter().map(|id| (*id).to_owned()).collect(),
        ..Delta::default()
    }
}

/// A pool that has read `replicas` before the drill.
fn pool(replicas: Vec<Replica>) -> Pool {
    let mut pool = Pool::new();
    pool.apply(START, &list(BEFORE, replicas)).unwrap();
    pool
}

/// Ids of the replicas that may be chosen at `now`, in order.
fn chosen(pool: &Pool, now: Time) -> Vec<String> {
    let mut tried = Vec::new();
    while let Some(key) = pool.choose(now, &common::criteria("app", None, &tried, None), || 0.0) {
        tried.push(key);
    }
    let ids = tried.iter().filter_map(|key| pool.get(*key));
    let mut ids: Vec<String> = ids.map(|server| server.replica.id.clone()).collect();
    ids.sort_unstable();
    ids
}

#[test]
fn a_lower_version_of_a_later_era_is_not_taken_for_outdated() {
    let mut pool = pool(vec![ready("one")]);
    let newer = list(AFTER, vec![ready("one"), ready("two")]);
    assert!(pool.apply(at(10), &newer).is_some());
    assert_eq!(pool.version(), AFTER);
    let older = list(Revision::new(1, 90), vec![ready("one")]);
    assert!(pool.apply(at(20), &older).is_none());
    assert_eq!(chosen(&pool, at(20)), ["one", "two"]);
}

/// Its base has changes that the receiver does not know, although the versions fit.
#[rstest]
#[case::base_of_the_last_era(Revision::new(1, 30), Revision::new(2, 50))]
#[case::base_of_the_new_era(Revision::new(2, 30), Revision::new(2, 50))]
#[case::outdated(Revision::new(0, 30), Revision::new(0, 50))]
fn changes_over_two_eras_are_refused(#[case] since: Revision, #[case] version: Revision) {
    let mut pool = pool(vec![ready("one")]);
    let delta = changes(since, version, vec![ready("two")], &[]);
    assert!(pool.apply_delta(at(10), &delta).is_none());
    assert_eq!(chosen(&pool, at(10)), ["one"]);
}

#[test]
fn a_peer_with_a_list_of_an_earlier_era_gets_the_whole_list() {
    let mut reader = pool(vec![ready("one")]);
    reader
        .apply(at(10), &list(AFTER, vec![ready("one")]))
        .unwrap();
    let update = reader.update_for_peer(at(20), BEFORE, 0).unwrap();
    assert!(matches!(update, Update::All(_)));
    let ahead = Revision::new(3, 1);
    assert!(reader.update_for_peer(at(20), ahead, 0).is_none());
}

/// What follows equal lists of two eras differs.
#[test]
fn an_equal_list_of_another_era_confirms_nothing() {
    let mut pool = pool(vec![ready("one")]);
    assert!(!pool.confirm(at(10), AFTER));
    assert!(!pool.confirm(at(10), Revision::new(0, 90)));
    assert_eq!(pool.version(), BEFORE);
    assert!(pool.confirm(at(10), Revision::new(1, 41)));
}

#[test]
fn replicas_that_the_copy_lacks_are_used_until_they_had_time_to_write_again() {
    let mut pool = pool(vec![ready("old"), ready("new"), entry("leaving", 2, true)]);
    pool.apply(at(100), &list(AFTER, vec![ready("old")]))
        .unwrap();
    assert_eq!(chosen(&pool, at(1_999)), ["new", "old"]);
    assert_eq!(chosen(&pool, at(2_000)), ["old"]);
    assert!(!pool.servers().any(|server| server.replica.id == "leaving"));
    let back = changes(
        AFTER,
        Revision::new(2, 32),
        vec![entry("new", 2, false)],
        &[],
    );
    pool.apply_delta(at(1_500), &back).unwrap();
    assert_eq!(chosen(&pool, at(5_000)), ["new", "old"]);
}

/// A list that a daemon reads first has nothing that could be missing.
#[test]
fn a_departure_just_after_the_start_is_not_taken_for_an_entry_lost_with_the_copy() {
    let mut pool = pool(vec![ready("one"), ready("two")]);
    let left = changes(BEFORE, Revision::new(1, 41), vec![], &["one"]);
    pool.apply_delta(at(100), &left).unwrap();
    assert_eq!(chosen(&pool, at(100)), ["two"]);
}

/// A daemon that hears of the new era late must not use replicas that left long ago.
#[rstest]
#[case::early(100, &["new", "old"])]
#[case::late(3_000, &["old"])]
fn the_grace_of_a_list_from_a_peer_ends_with_that_of_the_peer(
    #[case] asked_ms: u64,
    #[case] expected: &[&str],
) {
    let mut reader = pool(vec![ready("old")]);
    reader
        .apply(at(0), &list(AFTER, vec![ready("old")]))
        .unwrap();
    let mut asker = pool(vec![ready("old"), ready("new")]);
    let update = reader.update_for_peer(at(asked_ms), BEFORE, asker.digest());
    asker
        .apply_update(at(asked_ms), Source::Peer, &update.unwrap())
        .unwrap();
    assert_eq!(chosen(&asker, at(asked_ms)), expected);
    assert_eq!(chosen(&asker, at(3_000)), ["old"]);
}

#[rstest]
#[case::of_the_copy(entry("one", 1, false), false)]
#[case::as_often_written(entry("one", 2, false), false)]
#[case::newer(entry("one", 3, false), true)]
#[case::new_incarnation(Replica { birth: Some(Birth(8)), ..ready("one") }, true)]
fn a_draining_replica_is_not_ready_again_by_an_entry_of_the_copy(
    #[case] listed: Replica,
    #[case] expected: bool,
) {
    let draining = Replica {
        birth: listed.birth.map(|_| Birth(7)),
        ..entry("one", 2, true)
    };
    let mut pool = pool(vec![draining]);
    for version in [31, 32] {
        let list = list(Revision::new(2, version), vec![listed.clone()]);
        pool.apply(at(version), &list).unwrap();
        assert_eq!(!chosen(&pool, at(version)).is_empty(), expected);
    }
}

/// The daemon that reads the copy has not read the departure, and its peer has.
#[test]
fn a_departure_that_a_peer_knows_is_not_taken_back_by_the_copy() {
    let mut pool = pool(vec![ready("one")]);
    pool.apply(at(10), &list(AFTER, vec![ready("one")]))
        .unwrap();
    let known = Update::All(list(AFTER, vec![entry("one", 2, true)]));
    pool.apply_update(at(20), Source::Peer, &known).unwrap();
    pool.apply(at(30), &list(AFTER, vec![ready("one")]))
        .unwrap();
    assert!(chosen(&pool, at(30)).is_empty());
}

/// Within one era an entry replaces the one before, however it is numbered.
#[test]
fn a_replica_may_be_ready_again_within_an_era() {
    let mut pool = pool(vec![entry("one", 1, true)]);
    let again = changes(BEFORE, Revision::new(1, 41), vec![ready("one")], &[]);
    pool.apply_delta(at(10), &again).unwrap();
    assert_eq!(chosen(&pool, at(10)), ["one"]);
}

#[rstest]
#[case::of_the_copy(entry("gone", 1, false), false)]
#[case::as_often_written(entry("gone", 2, false), false)]
#[case::newer(entry("gone", 3, false), true)]
#[case::new_incarnation(Replica { birth: Some(Birth(8)), ..ready("gone") }, true)]
fn a_replica_known_as_gone_does_not_come_back_by_an_entry_of_the_copy(
    #[case] listed: Replica,
    #[case] expected: bool,
) {
    let known = Replica {
        birth: listed.birth.map(|_| Birth(7)),
        ..entry("gone", 2, false)
    };
    let mut pool = pool(vec![known]);
    let left = changes(BEFORE, Revision::new(1, 41), vec![], &["gone"]);
    pool.apply_delta(at(10), &left).unwrap();
    pool.apply(at(20), &list(AFTER, vec![listed])).unwrap();
    assert_eq!(!chosen(&pool, at(20)).is_empty(), expected);
}

/// An entry that is not renewed is removed by the store; one that is still listed then belongs to a replica that runs,
/// though the copy has it from before an interruption.
#[rstest]
#[case::renewed(&[], true)]
#[case::removed(&["gone"], false)]
fn an_entry_of_the_copy_counts_once_the_store_would_have_removed_it(
    #[case] removed: &[&str],
    #[case] expected: bool,
) {
    let mut pool = pool(vec![ready("gone")]);
    let left = changes(BEFORE, Revision::new(1, 41), vec![], &["gone"]);
    pool.apply_delta(at(10), &left).unwrap();
    pool.apply(at(20), &list(AFTER, vec![ready("gone")]))
        .unwrap();
    let next = Revision::new(2, 32);
    pool.apply_delta(at(5_000), &changes(AFTER, next, vec![], removed));
    assert!(chosen(&pool, at(5_000)).is_empty());
    pool.apply_delta(at(10_020), &changes(next, next, vec![], &[]));
    assert_eq!(!chosen(&pool, at(10_020)).is_empty(), expected);
}

/// The lists would be sent in full each time.
#[test]
fn lists_that_differ_in_the_number_of_writes_alone_are_equal() {
    let (once, twice) = (pool(vec![ready("one")]), pool(vec![entry("one", 2, false)]));
    assert_eq!(once.digest(), twice.digest());
}

#[test]
fn a_fencing_token_of_a_later_era_is_higher() {
    let tokens = [
        Revision::new(0, 41),
        Revision::new(1, 40),
        Revision::new(2, 1),
    ];
    let tokens = tokens.map(Revision::fence);
    assert!(tokens.is_sorted());
    assert_eq!(tokens[0], 41);
}

#[rstest]
#[case::same_era(AFTER, Revision::new(2, 50), true)]
#[case::read_in_a_later_era(Revision::new(3, 31), Revision::new(3, 50), false)]
#[case::over_two_eras(AFTER, Revision::new(3, 50), false)]
fn a_record_of_the_only_version_does_not_hold_in_a_later_era(
    #[case] since: Revision,
    #[case] version: Revision,
    #[case] expected: bool,
) {
    let epoch = Epoch::new("v1".to_owned(), AFTER);
    let changes = changes(since, version, vec![], &[]);
    assert_eq!(epoch.holds_after("app", &changes), expected);
}

fn evacuations(version: Revision, names: &[&str]) -> Evacuations {
    Evacuations::new(version, names.iter().map(|name| (*name).to_owned()))
}

fn in_force(evacuations: &InForce) -> Vec<&str> {
    evacuations.names().collect()
}

#[test]
fn an_evacuation_that_the_copy_lacks_ends_only_after_the_operator_had_time_to_write_it_again() {
    let mut known = InForce::default();
    known.update(START, &evacuations(BEFORE, &["kept", "lost", "written"]));
    let changes = known.update(at(0), &evacuations(AFTER, &["kept", "new"]));
    assert_eq!(changes.len(), 1);
    assert!(changes[0].begins && changes[0].data_centre == "new");
    let again = evacuations(Revision::new(2, 32), &["kept", "new", "written"]);
    assert!(known.update(at(1_000), &again).is_empty());
    assert!(known.update(at(1_999), &Evacuations::default()).is_empty());
    assert_eq!(in_force(&known), ["kept", "new", "written", "lost"]);
    let changes = known.update(at(2_000), &Evacuations::default());
    assert_eq!(changes.len(), 1);
    assert!(!changes[0].begins && changes[0].data_centre == "lost");
    assert_eq!(in_force(&known), ["kept", "new", "written"]);
}

#[test]
fn an_evacuation_at_a_lower_version_of_a_later_era_comes_into_force() {
    let mut known = InForce::default();
    known.update(START, &evacuations(BEFORE, &[]));
    known.update(START, &evacuations(AFTER, &["a"]));
    known.update(START, &evacuations(Revision::new(1, 90), &[]));
    assert_eq!(in_force(&known), ["a"]);
}
