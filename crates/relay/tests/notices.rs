//! What replicas say of their own availability in answers.

mod common;

use std::time::Duration;

use ident::Time;
use relay::pool::Pool;
use relay::replica::Birth;
use relay::replica::Delta;
use relay::replica::Replica;
use relay::replica::Snapshot;
use relay::replica_state::ReplicaState;
use relay::revision::Revision;
use relay::server::Key;
use rstest::rstest;

const START: Time = Time::from_millis(100_000);

fn after(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

fn replica(birth: Option<u64>) -> Replica {
    Replica {
        birth: birth.map(Birth),
        ..common::replica("one", "app", None, 4)
    }
}

fn snapshot(version: u64, birth: Option<u64>) -> Snapshot {
    common::snapshot(version, vec![replica(birth)])
}

fn chosen(pool: &Pool, now: Time) -> Option<Key> {
    let criteria = common::criteria("app", None, &[], None);
    pool.choose(now, &criteria, || 0.0)
}

/// A pool with a replica, and its key.
fn pool(birth: Option<u64>) -> (Pool, Key) {
    let pool = common::pool(START, vec![replica(birth)]);
    let key = chosen(&pool, START).unwrap();
    (pool, key)
}

#[test]
fn a_replica_that_says_that_it_drains_is_not_chosen() {
    let (mut pool, key) = pool(None);
    let change = pool.note_draining(START, key).unwrap();
    assert_eq!(change.now, ReplicaState::Draining);
    assert!(pool.note_draining(START, key).is_none());
    assert_eq!(chosen(&pool, START), None);
    assert_eq!(pool.unplanned_loss(key), None);
}

/// Guards against sending a request long after the first answer that says so, though later answers
/// repeat it.
#[test]
fn assigned_requests_are_sent_only_during_the_grace_period() {
    let (mut pool, key) = pool(None);
    pool.note_draining(START, key);
    pool.note_draining(after(200), key);
    assert!(pool.get(key).unwrap().may_receive(after(250)));
    assert!(!pool.get(key).unwrap().may_receive(after(251)));
}

/// Guards against a list that takes back what the replica itself has said.
#[rstest]
#[case::snapshot(true)]
#[case::delta(false)]
fn a_newer_list_does_not_return_a_replica_that_said_that_it_drains(#[case] is_snapshot: bool) {
    let (mut pool, key) = pool(None);
    pool.note_draining(START, key);
    for (version, is_draining) in [(2, true), (3, false)] {
        let mut list = snapshot(version, None);
        list.replicas[0].draining = is_draining;
        let applied = if is_snapshot {
            pool.apply(after(1_000), &list)
        } else {
            let delta = Delta {
                since: Revision::new(0, version - 1),
                version: Revision::new(0, version),
                replicas: list.replicas,
                ..Delta::default()
            };
            pool.apply_delta(after(1_000), &delta)
        };
        assert!(applied.is_some());
    }
    assert_eq!(chosen(&pool, after(9_000)), None);
    assert!(!pool.get(key).unwrap().may_receive(after(9_000)));
}

/// Guards against using a replica that drains for two more seconds after an outage of the store.
#[test]
fn a_replica_that_said_that_it_drains_does_not_lapse() {
    let mut pool = common::pool(Time::from_millis(95_000), vec![replica(None)]);
    let key = chosen(&pool, START).unwrap();
    pool.note_outage(START);
    pool.note_draining(START, key);
    let changes = pool
        .apply(after(100), &common::snapshot(2, vec![]))
        .unwrap();
    assert_eq!(changes[0].now, ReplicaState::Gone);
}

#[test]
fn a_later_incarnation_of_a_draining_replica_is_used() {
    let (mut pool, key) = pool(Some(1));
    pool.note_draining(START, key);
    pool.apply(START, &snapshot(2, Some(2))).unwrap();
    let next = chosen(&pool, START).unwrap();
    // A late answer of the earlier incarnation.
    assert!(pool.note_draining(START, key).is_none());
    assert_eq!(chosen(&pool, START), Some(next));
}

#[test]
fn a_replica_that_asked_for_no_requests_is_not_chosen_until_the_end_of_that_time() {
    let (mut pool, key) = pool(None);
    assert!(pool.back_off(START, key, Duration::from_secs(3)));
    assert_eq!(chosen(&pool, after(2_999)), None);
    assert!(!pool.get(key).unwrap().may_receive(after(2_999)));
    let remaining =
        pool.exclusion_remaining(after(1_000), &common::criteria("app", None, &[], None));
    assert_eq!(remaining, Some(Duration::from_secs(2)));
    assert_eq!(chosen(&pool, after(3_000)), Some(key));
    assert!(pool.get(key).unwrap().may_receive(after(3_000)));
}

/// Guards against ending the time early.
#[rstest]
#[case::a_shorter_time(|pool: &mut Pool, key| { pool.back_off(START, key, Duration::from_secs(1)); })]
#[case::a_success(|pool: &mut Pool, key| pool.record_result(START, key, false))]
#[case::the_end_of_a_limit(|pool: &mut Pool, key| {
    pool.set_limit(key, Some(1.0));
    pool.throttle(key, START);
    pool.set_limit(key, None);
})]
#[case::a_changed_entry(|pool: &mut Pool, _| {
    let mut list = snapshot(2, None);
    list.replicas[0].slots = 9;
    pool.apply(START, &list).unwrap();
})]
fn the_time_without_requests_is_not_ended_by(#[case] event: fn(&mut Pool, Key)) {
    let (mut pool, key) = pool(None);
    pool.back_off(START, key, Duration::from_secs(3));
    event(&mut pool, key);
    assert_eq!(chosen(&pool, after(2_999)), None);
}

/// Removes the only replica from the list and lists it again with `birth`.
fn relist(pool: &mut Pool, birth: Option<u64>) {
    let changes = pool
        .apply(after(100), &common::snapshot(2, vec![]))
        .unwrap();
    assert_eq!(changes[0].now, ReplicaState::Gone);
    pool.apply(after(200), &snapshot(3, birth)).unwrap();
}

/// Guards against forgetting a notice while the entry of the replica is missing for a time.
#[rstest]
#[case::draining(|pool: &mut Pool, key| { pool.note_draining(START, key); })]
#[case::backoff(|pool: &mut Pool, key| { pool.back_off(START, key, Duration::from_secs(3)); })]
fn a_notice_stays_in_force_when_the_replica_is_listed_again(
    #[case] notice: fn(&mut Pool, Key),
    #[values(None, Some(1))] birth: Option<u64>,
) {
    let (mut pool, key) = pool(birth);
    notice(&mut pool, key);
    relist(&mut pool, birth);
    assert_eq!(chosen(&pool, after(2_999)), None);
}

/// Guards against dropping a notice in the answer to a request whose replica lost its entry meanwhile.
#[rstest]
#[case::draining(|pool: &mut Pool, key| { pool.note_draining(after(150), key); })]
#[case::backoff(|pool: &mut Pool, key| { pool.back_off(after(150), key, Duration::from_secs(3)); })]
#[case::limit(|pool: &mut Pool, key| { pool.set_limit(key, Some(2.0)); })]
fn a_notice_that_arrives_without_an_entry_applies_to_the_next_one(
    #[case] notice: fn(&mut Pool, Key),
    #[values(None, Some(1))] birth: Option<u64>,
    #[values(false, true)] is_listed_again: bool,
) {
    let (mut pool, key) = pool(birth);
    pool.apply(after(100), &common::snapshot(2, vec![]))
        .unwrap();
    if is_listed_again {
        pool.apply(after(120), &snapshot(3, birth)).unwrap();
    }
    notice(&mut pool, key);
    if !is_listed_again {
        pool.apply(after(200), &snapshot(3, birth)).unwrap();
    }
    let key = chosen(&pool, after(2_999));
    let limit = key.and_then(|key| pool.request_limit(after(2_999), key));
    assert!(key.is_none() || limit == Some(2.0));
}

/// Guards against applying a late answer to another incarnation of the replica.
#[rstest]
fn a_notice_that_arrives_without_an_entry_does_not_apply_to_a_later_incarnation(
    #[values(false, true)] is_listed_again: bool,
) {
    let (mut pool, key) = pool(Some(1));
    pool.apply(after(100), &common::snapshot(2, vec![]))
        .unwrap();
    if is_listed_again {
        pool.apply(after(120), &snapshot(3, Some(2))).unwrap();
    }
    assert!(pool.note_draining(after(150), key).is_none());
    if !is_listed_again {
        pool.apply(after(200), &snapshot(3, Some(2))).unwrap();
    }
    assert!(chosen(&pool, after(300)).is_some());
}

/// Guards against a request beyond its limit to a replica whose entry was missing for a time.
#[test]
fn a_limit_stays_in_force_when_the_replica_is_listed_again() {
    let (mut pool, key) = pool(None);
    pool.set_limit(key, Some(2.0));
    relist(&mut pool, None);
    let key = chosen(&pool, after(300)).unwrap();
    assert_eq!(pool.request_limit(after(300), key), Some(2.0));
}

#[test]
fn a_notice_does_not_apply_to_a_later_incarnation_that_is_listed_again() {
    let (mut pool, key) = pool(Some(1));
    pool.note_draining(START, key);
    relist(&mut pool, Some(2));
    assert!(chosen(&pool, after(300)).is_some());
}

/// Guards against refusing callers for the time of one replica while another one is only full.
#[test]
fn callers_are_kept_away_only_if_all_replicas_ask_for_no_requests() {
    let replicas = ["one", "two"].map(|id| common::replica(id, "app", None, 4));
    let mut pool = common::pool(START, replicas.to_vec());
    let criteria = common::criteria("app", None, &[], None);
    let first = chosen(&pool, START).unwrap();
    pool.back_off(START, first, Duration::from_secs(3));
    assert_eq!(pool.exclusion_remaining(START, &criteria), None);
    let second = chosen(&pool, START).unwrap();
    pool.back_off(START, second, Duration::from_secs(1));
    let remaining = pool.exclusion_remaining(START, &criteria);
    assert_eq!(remaining, Some(Duration::from_secs(1)));
}
