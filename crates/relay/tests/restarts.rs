//! Replicas that restart under the same id.

mod common;

use std::time::Duration;

use ident::Instance;
use ident::Time;
use relay::claims;
use relay::claims::Claim;
use relay::claims::ClaimUpdate;
use relay::claims::Claims;
use relay::forecast::Curve;
use relay::pool::Pool;
use relay::replica::Birth;
use relay::replica::Delta;
use relay::replica::Lapsing;
use relay::replica::Replica;
use relay::replica::Source;
use relay::replica::Stage;
use relay::replica::Update;
use relay::replica_state::ReplicaState;
use relay::revision::Revision;
use relay::runs::Runs;
use relay::runs::Size;
use relay::server::Key;
use rstest::rstest;

const NOW: Time = Time::from_millis(100_000);
const FIRST: u64 = 1_780_000_000_000;
const SECOND: u64 = FIRST + 700;
const THIRD: u64 = SECOND + 300;
const SIZE: Size = Size {
    prompt: 5_000,
    estimate: 400,
    max_tokens: 1_000,
    generated: 0,
};

fn replica(birth: Option<u64>, stage: Stage) -> Replica {
    Replica {
        birth: birth.map(Birth),
        ..common::replica("i-1", "llm", Some(stage), 4)
    }
}

/// A pool whose list at version 1 has the replica.
fn pool(birth: Option<u64>) -> Pool {
    let mut pool = Pool::new();
    list(&mut pool, 1, birth);
    pool
}

/// Applies a list with only this incarnation and returns the new states.
fn list(pool: &mut Pool, version: u64, birth: Option<u64>) -> Vec<ReplicaState> {
    let snapshot = common::snapshot(version, vec![replica(birth, Stage::Decode)]);
    let changes = pool.apply(NOW, &snapshot).unwrap_or_default();
    changes.into_iter().map(|change| change.now).collect()
}

fn key(pool: &Pool) -> Option<Key> {
    let any = [Stage::Decode, Stage::Prefill].map(|stage| key_of(pool, stage));
    any.into_iter().flatten().next()
}

fn key_of(pool: &Pool, stage: Stage) -> Option<Key> {
    let criteria = common::criteria("llm", Some(stage), &[], None);
    pool.choose(NOW, &criteria, || 0.0)
}

fn birth(pool: &Pool) -> Option<u64> {
    let server = pool.get(key(pool)?)?;
    server.replica.birth.map(|birth| birth.0)
}

#[test]
fn a_later_start_time_means_a_new_incarnation() {
    let mut pool = pool(Some(FIRST));
    let first = key(&pool).unwrap();
    let states = list(&mut pool, 2, Some(SECOND));
    assert_eq!(states, [ReplicaState::Restarted, ReplicaState::Ready]);
    assert!(pool.get(first).is_none());
    assert!(pool.has_restarted(first));
    assert!(!pool.has_restarted(key(&pool).unwrap()));
    assert_eq!(birth(&pool), Some(SECOND));
}

#[test]
fn two_starts_in_one_second_are_distinguished() {
    let mut pool = pool(Some(FIRST));
    let first = key(&pool).unwrap();
    list(&mut pool, 2, Some(SECOND));
    let second = key(&pool).unwrap();
    list(&mut pool, 3, Some(THIRD));
    assert_eq!(birth(&pool), Some(THIRD));
    assert!(pool.has_restarted(first) || pool.get(first).is_none());
    assert!(pool.has_restarted(second));
}

#[test]
fn a_late_entry_of_an_earlier_incarnation_is_ignored() {
    let mut pool = pool(Some(SECOND));
    let second = key(&pool).unwrap();
    assert!(list(&mut pool, 2, Some(FIRST)).is_empty());
    assert_eq!(key(&pool), Some(second));
    assert_eq!(birth(&pool), Some(SECOND));
}

#[test]
fn a_lapse_of_an_earlier_incarnation_is_ignored() {
    let mut pool = pool(Some(SECOND));
    let delta = Delta {
        since: Revision::new(0, 1),
        version: Revision::new(0, 2),
        lapsing: vec![Lapsing {
            replica: replica(Some(FIRST), Stage::Decode),
            left: Duration::from_millis(1),
        }],
        ..Delta::default()
    };
    pool.apply_delta(NOW, &delta).unwrap();
    let later = NOW + Duration::from_secs(1);
    assert!(pool.stage_counts(later, "llm").decode == 1);
}

#[test]
fn a_peer_gets_the_new_incarnation() {
    let mut peer = pool(Some(FIRST));
    let mut sender = pool(Some(FIRST));
    list(&mut sender, 2, Some(SECOND));
    let update = sender
        .update_for_peer(NOW, Revision::new(0, 1), peer.digest())
        .unwrap();
    assert!(matches!(update, Update::Changed(_)));
    peer.apply_update(NOW, Source::Peer, &update).unwrap();
    assert_eq!(birth(&peer), Some(SECOND));
    assert_eq!(peer.digest(), sender.digest());
}

#[rstest]
#[case::no_longer_reported(Some(FIRST), None, Some(FIRST))]
#[case::first_reported(None, Some(FIRST), Some(FIRST))]
#[case::never_reported(None, None, None)]
fn an_entry_without_a_start_time_means_the_same_incarnation(
    #[case] known: Option<u64>,
    #[case] reported: Option<u64>,
    #[case] after: Option<u64>,
) {
    let mut pool = pool(known);
    let before = key(&pool);
    list(&mut pool, 2, reported);
    assert_eq!(key(&pool), before);
    assert_eq!(birth(&pool), after);
}

#[test]
fn an_answer_reveals_a_new_incarnation_before_the_list() {
    let mut pool = pool(Some(FIRST));
    let first = key(&pool).unwrap();
    assert!(pool.update_birth(NOW, first, Some(Birth(FIRST))).is_empty());
    assert!(pool.update_birth(NOW, first, None).is_empty());
    let changes = pool.update_birth(NOW, first, Some(Birth(SECOND)));
    assert_eq!(changes[0].now, ReplicaState::Restarted);
    // The list still has the earlier incarnation.
    assert!(list(&mut pool, 2, Some(FIRST)).is_empty());
    assert_eq!(birth(&pool), Some(SECOND));
    // The new one may run another version than the listed one.
    let software = pool.get(key(&pool).unwrap()).unwrap();
    assert_eq!(software.replica.software, None);
    // A late answer of the earlier incarnation.
    let second = key(&pool).unwrap();
    assert!(
        pool.update_birth(NOW, second, Some(Birth(FIRST)))
            .is_empty()
    );
    assert!(pool.update_birth(NOW, first, Some(Birth(THIRD))).is_empty());
}

#[test]
fn runs_of_an_earlier_incarnation_do_not_count_at_the_new_one() {
    let mut pool = pool(Some(FIRST));
    let mut runs = Runs::new();
    let mut claims = Claims::new();
    runs.begin("llm", key(&pool).unwrap(), SIZE);
    let hash = claims::incarnation_hash("i-1", Some(Birth(FIRST)));
    let claim = Claim::new(hash, 3, 0, 10, &Curve::flat(20_000.0));
    claims.apply(NOW, Instance(7), ClaimUpdate::all(vec![claim]));
    pool.update_all_forecasts(NOW, &runs, &claims);
    list(&mut pool, 2, Some(SECOND));
    pool.update_all_forecasts(NOW, &runs, &claims);
    let new = claims::incarnation_hash("i-1", Some(Birth(SECOND)));
    assert_eq!(claims.peer_usage(NOW, new).runs, 0);
    assert_eq!(claims.peer_usage(NOW, hash).runs, 3);
    let second = key(&pool).unwrap();
    assert!(runs.iter().all(|(_, run)| run.server != second));
}

#[test]
fn failures_of_an_earlier_incarnation_do_not_count() {
    let mut pool = pool(Some(FIRST));
    let first = key(&pool).unwrap();
    for _ in 0..9 {
        pool.record_result(NOW, first, true);
    }
    pool.mark_replaced(first);
    assert_eq!(key(&pool), None);
    list(&mut pool, 2, Some(SECOND));
    let second = key(&pool).unwrap();
    assert!(pool.get(second).unwrap().failure_share(NOW) < 0.01);
}

/// A replica whose stage changes refuses requests for its former stage in the same way as another
/// replica at its address does.
#[test]
fn a_replica_that_refused_is_used_again_once_its_entry_changes() {
    let mut pool = pool(None);
    pool.mark_replaced(key(&pool).unwrap());
    assert_eq!(key(&pool), None);
    list(&mut pool, 2, None);
    assert_eq!(key(&pool), None, "nothing changed");
    let snapshot = common::snapshot(3, vec![replica(None, Stage::Prefill)]);
    pool.apply(NOW, &snapshot).unwrap();
    assert!(key(&pool).is_some());
}
