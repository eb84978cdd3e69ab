//! Evacuated data centres: which reading is in force, and which replicas are chosen.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use ident::Time;
use ident::Zone;
use relay::evacuation::Change;
use relay::evacuation::Evacuations;
use relay::evacuation::InForce;
use relay::plan::ColdStart;
use relay::pool::Pool;
use relay::replica::Replica;
use relay::revision::Revision;
use rstest::rstest;

const START: Time = Time::from_millis(100_000);
const COLD_START: ColdStart = ColdStart {
    duration: Duration::from_secs(3),
    max_rate: 5.0,
};

fn evacuations(version: u64, names: &[&str]) -> Evacuations {
    Evacuations::new(
        Revision::new(0, version),
        names.iter().map(|name| (*name).to_owned()),
    )
}

fn change(name: &str, begins: bool, version: u64) -> Change {
    Change {
        data_centre: name.to_owned(),
        begins,
        version: Revision::new(0, version),
    }
}

fn zones(names: &[&str]) -> BTreeSet<Zone> {
    names.iter().map(|name| Zone::new(name)).collect()
}

#[rstest]
#[case::newer(evacuations(6, &["b"]), &["b"])]
#[case::newer_without_any(evacuations(6, &[]), &[])]
#[case::older(evacuations(4, &["b"]), &["a"])]
#[case::same(evacuations(5, &["b"]), &["a"])]
#[case::unread(Evacuations::default(), &["a"])]
fn only_a_newer_reading_comes_into_force(#[case] other: Evacuations, #[case] expected: &[&str]) {
    let mut known = InForce::default();
    known.update(START, &evacuations(5, &["a"]));
    known.update(START, &other);
    assert_eq!(known.names().collect::<Vec<_>>(), expected);
}

#[test]
fn begins_and_ends_are_returned() {
    let mut known = InForce::default();
    known.update(START, &evacuations(5, &["a", "b"]));
    let changes = known.update(START, &evacuations(6, &["b", "c"]));
    assert_eq!(changes, [change("c", true, 6), change("a", false, 6)]);
    assert!(known.update(START, &evacuations(7, &["b", "c"])).is_empty());
    assert_eq!(known.reading().version(), Revision::new(0, 7));
}

/// A watch of the store may start before the reading that a peer sent. Its older changes must not
/// revert that reading.
#[rstest]
#[case::newer_changes(9, &[change("a", false, 8), change("b", true, 9)], &["b"])]
#[case::older_change(9, &[change("a", false, 4)], &["a"])]
#[case::begun_and_ended(9, &[change("b", true, 7), change("b", false, 8)], &["a"])]
#[case::none(9, &[], &["a"])]
fn changes_apply_to_the_known_reading(
    #[case] version: u64,
    #[case] changes: &[Change],
    #[case] expected: &[&str],
) {
    let known = evacuations(5, &["a"]);
    let after = known.after(Revision::new(0, version), changes);
    assert_eq!(after, evacuations(version, expected));
}

fn replica(id: &str, data_centre: &str) -> Replica {
    Replica {
        data_centre: Zone::new(data_centre),
        ..common::replica(id, "app", None, 4)
    }
}

fn is_chosen(pool: &Pool) -> bool {
    let criteria = common::criteria("app", None, &[], None);
    pool.choose(START, &criteria, || 0.0).is_some()
}

#[test]
fn replicas_of_an_evacuated_data_centre_are_not_chosen() {
    let mut pool = common::pool(START, vec![replica("one", "a")]);
    let criteria = common::criteria("app", None, &[], None);
    let key = pool.choose(START, &criteria, || 0.0).unwrap();
    pool.set_evacuated(START, zones(&["a"]));
    assert!(!is_chosen(&pool));
    // Requests that were assigned before are not sent either.
    assert!(!pool.get(key).unwrap().may_receive(START));
    pool.set_evacuated(START, zones(&["b"]));
    assert!(is_chosen(&pool));
    assert!(pool.get(key).unwrap().may_receive(START));
}

#[rstest]
#[case::new("two", "a")]
#[case::changed("one", "a")]
fn replicas_listed_during_an_evacuation_are_not_chosen(#[case] id: &str, #[case] at: &str) {
    let mut pool = common::pool(START, vec![replica("one", "b")]);
    pool.set_evacuated(START, zones(&["a"]));
    assert!(is_chosen(&pool));
    pool.apply(START, &common::snapshot(2, vec![replica(id, at)]));
    assert!(!is_chosen(&pool));
}

/// The replicas of an evacuated data centre may have become cold shortly before its return.
#[test]
fn replicas_count_as_cold_after_an_evacuation() {
    let mut pool = common::pool(START, vec![replica("one", "a"), replica("two", "b")]);
    pool.set_cold_start("app", Some(COLD_START));
    let criteria = common::criteria("app", None, &[], None);
    pool.set_evacuated(START, zones(&["b"]));
    let one = pool.choose(START, &criteria, || 0.0).unwrap();
    pool.set_evacuated(START, zones(&["a"]));
    let two = pool.choose(START, &criteria, || 0.0).unwrap();
    let limit = |key, ms| pool.request_limit(START + Duration::from_millis(ms), key);
    assert_eq!(limit(one, 0), None);
    assert_eq!(limit(two, 2_999), Some(5.0));
    assert_eq!(limit(two, 3_000), None);
}

/// Guards against more requests than a cold replica tolerates because its entry was missing when the evacuation ended, or
/// was missing for a time after that.
#[rstest]
#[case::missing_at_the_end(true)]
#[case::missing_later(false)]
fn a_replica_that_is_listed_again_after_an_evacuation_counts_as_cold(#[case] is_early: bool) {
    let mut pool = common::pool(START, vec![replica("one", "a")]);
    pool.set_cold_start("app", Some(COLD_START));
    pool.set_evacuated(START, zones(&["a"]));
    let missing = common::snapshot(2, vec![]);
    if is_early {
        pool.apply(START, &missing).unwrap();
    }
    pool.set_evacuated(START, zones(&[]));
    if !is_early {
        pool.apply(START, &missing).unwrap();
    }
    pool.apply(START, &common::snapshot(3, vec![replica("one", "a")]));
    let criteria = common::criteria("app", None, &[], None);
    let key = pool.choose(START, &criteria, || 0.0).unwrap();
    let limit = |ms| pool.request_limit(START + Duration::from_millis(ms), key);
    assert_eq!(limit(2_999), Some(5.0));
    assert_eq!(limit(3_000), None);
}

#[rstest]
#[case::warm(false, None, None)]
#[case::cold(true, None, Some(5.0))]
#[case::cold_and_limited(true, Some(2.0), Some(2.0))]
#[case::cold_and_less_limited(true, Some(9.0), Some(5.0))]
#[case::limited(false, Some(9.0), Some(9.0))]
fn a_cold_replica_has_a_request_limit(
    #[case] cold: bool,
    #[case] reported: Option<f64>,
    #[case] expected: Option<f64>,
) {
    let mut one = replica("one", "a");
    one.cold = cold;
    let mut pool = common::pool(START, vec![one]);
    pool.set_cold_start("app", Some(COLD_START));
    pool.set_cold_start("other", None);
    let criteria = common::criteria("app", None, &[], None);
    let key = pool.choose(START, &criteria, || 0.0).unwrap();
    pool.set_limit(key, reported);
    assert_eq!(pool.request_limit(START, key), expected);
}

/// An answer without a limit must not lift the pause that the limit of a cold replica requires.
#[test]
fn an_answer_without_a_limit_does_not_end_the_throttling_of_a_cold_replica() {
    let mut one = replica("one", "a");
    one.cold = true;
    let mut pool = common::pool(START, vec![one]);
    pool.set_cold_start("app", Some(COLD_START));
    let criteria = common::criteria("app", None, &[], None);
    let key = pool.choose(START, &criteria, || 0.0).unwrap();
    pool.throttle(key, START + Duration::from_millis(100));
    assert!(!pool.set_limit(key, None));
    assert!(!is_chosen(&pool));
}
