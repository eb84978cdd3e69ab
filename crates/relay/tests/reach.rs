//! Whether a daemon reaches the replicas of a service.

mod common;

use std::time::Duration;

use common::pool;
use common::replica;
use ident::Time;
use relay::pool::Pool;
use relay::reach::Change;
use relay::server::Key;
use rstest::rstest;

const NOW: Time = Time::from_millis(10_000);

/// A pool of `count` replicas of `app` and one of `other`.
fn app_pool(count: usize) -> Pool {
    let numbers = 0..count;
    let replicas = numbers.map(|number| replica(&number.to_string(), "app", None, 8));
    let other = replica("other", "other", None, 8);
    pool(NOW, replicas.chain([other]).collect())
}

fn keys(pool: &Pool, service: &str) -> Vec<Key> {
    let mut keys = Vec::new();
    while let Some(key) = pool.choose(NOW, &common::criteria(service, None, &keys, None), || 0.5) {
        keys.push(key);
    }
    keys
}

#[rstest]
#[case::of_many(9, 3)]
#[case::of_three(3, 3)]
#[case::of_two(2, 2)]
#[case::of_one(1, 1)]
fn a_service_is_unreachable_once_several_replicas_in_a_row_are(
    #[case] replicas: usize,
    #[case] needed: usize,
) {
    let mut pool = app_pool(replicas);
    let keys = keys(&pool, "app");
    for (number, key) in keys.iter().take(needed).enumerate() {
        assert!(!pool.reach().is_lost("app"), "after {number}");
        pool.record_unreached(NOW, *key);
        let change = pool.record_probes(NOW, "app", 0, number + 1);
        assert_eq!(change.is_some(), number + 1 == needed);
    }
    assert!(pool.reach().is_lost("app"));
    assert!(!pool.reach().is_lost("other"));
}

/// Replicas that ended together are listed for some seconds more.
#[test]
fn a_service_is_reachable_while_one_of_many_probed_replicas_is() {
    let mut pool = app_pool(20);
    for key in &keys(&pool, "app")[..15] {
        pool.record_unreached(NOW, *key);
    }
    assert_eq!(pool.record_probes(NOW, "app", 1, 16), None);
    assert!(!pool.reach().is_lost("app"));
    assert!(!pool.reach().is_doubtful("app"));
}

#[test]
fn one_replica_that_is_never_reached_does_not_make_its_service_unreachable() {
    let mut pool = app_pool(9);
    let keys = keys(&pool, "app");
    for _ in 0..20 {
        pool.record_unreached(NOW, keys[0]);
        assert_eq!(pool.record_probes(NOW, "app", 0, 1), None);
    }
    assert!(!pool.reach().is_lost("app"));
}

#[test]
fn failures_between_which_a_replica_is_reached_are_those_of_the_replicas() {
    let mut pool = app_pool(9);
    let keys = keys(&pool, "app");
    for key in &keys[..8] {
        pool.record_unreached(NOW, *key);
        pool.record_reached(keys[8]);
        assert_eq!(pool.record_probes(NOW, "app", 0, 1), None);
    }
    assert!(!pool.reach().is_doubtful("app"));
}

#[test]
fn old_failures_do_not_count() {
    let mut pool = app_pool(9);
    let keys = keys(&pool, "app");
    for (number, key) in keys.iter().enumerate() {
        let at = NOW + Duration::from_secs(2) * number as u32;
        pool.record_unreached(at, *key);
        assert_eq!(pool.record_probes(at, "app", 0, 1), None);
    }
}

#[test]
fn a_service_stays_unreachable_while_few_of_its_replicas_are_reached() {
    let mut pool = app_pool(9);
    let keys = keys(&pool, "app");
    for key in &keys[..3] {
        pool.record_unreached(NOW, *key);
    }
    pool.record_probes(NOW, "app", 0, 3).unwrap();
    pool.record_reached(keys[3]);
    assert_eq!(pool.record_probes(NOW, "app", 1, 3), None);
    assert!(pool.reach().is_lost("app"));
    let later = NOW + Duration::from_secs(1);
    let after = Duration::from_secs(1);
    assert_eq!(
        pool.record_probes(later, "app", 2, 3),
        Some(Change::Restored { after })
    );
    assert!(!pool.reach().is_doubtful("app"));
}

/// Guards against reports to peers that replicas do not answer which only this daemon does not reach.
#[test]
fn replicas_of_a_service_that_may_be_unreachable_are_not_reported_as_silent() {
    let mut pool = app_pool(9);
    let keys = keys(&pool, "app");
    pool.record_no_answer(NOW, keys[0]);
    pool.record_unreached(NOW, keys[0]);
    assert!(pool.silent_replicas(NOW).is_empty());
    pool.record_reached(keys[1]);
    assert_eq!(pool.silent_replicas(NOW).len(), 1);
}

/// Guards against an uneven choice of replicas after a cut, by what failed during it.
#[test]
fn failures_are_forgotten_once_their_service_is_reachable_again() {
    let mut pool = app_pool(9);
    let keys = keys(&pool, "app");
    for key in &keys[..3] {
        pool.record_result(NOW, *key, true);
        pool.record_no_answer(NOW, *key);
        pool.record_unreached(NOW, *key);
    }
    pool.record_probes(NOW, "app", 0, 3).unwrap();
    pool.record_probes(NOW, "app", 3, 3).unwrap();
    for key in keys {
        assert!(pool.get(key).unwrap().failure_share(NOW) < f64::EPSILON);
    }
    assert!(pool.silent_replicas(NOW).is_empty());
}

#[test]
fn doubt_ends_with_the_first_replica_that_is_reached() {
    let mut pool = app_pool(9);
    let keys = keys(&pool, "app");
    pool.doubt_reach(keys[0]);
    assert!(pool.reach().is_doubtful("app"));
    assert_eq!(pool.record_probes(NOW, "app", 1, 3), None);
    assert!(!pool.reach().is_doubtful("app"));
}

#[test]
fn different_replicas_of_the_service_are_probed() {
    let pool = app_pool(50);
    let draw = {
        let state = std::cell::Cell::new(0.0);
        move || {
            state.set((state.get() + 0.377) % 1.0);
            state.get()
        }
    };
    let targets = pool.probe_targets(NOW, "app", 3, draw);
    let app = keys(&pool, "app");
    assert_eq!(targets.len(), 3);
    assert!(targets.iter().all(|key| app.contains(key)));
    assert!(targets[0] != targets[1] && targets[1] != targets[2] && targets[0] != targets[2]);
    assert!(pool.probe_targets(NOW, "none", 3, || 0.5).is_empty());
}

/// A draining replica that is reached serves nobody.
#[test]
fn draining_replicas_are_not_probed() {
    let mut draining = replica("d", "app", None, 8);
    draining.draining = true;
    let pool = pool(NOW, vec![draining, replica("1", "app", None, 8)]);
    let draw = std::cell::Cell::new(0.0);
    let targets = pool.probe_targets(NOW, "app", 16, || {
        draw.set((draw.get() + 0.377) % 1.0);
        draw.get()
    });
    assert_eq!(targets.len(), 1);
    assert_eq!(pool.get(targets[0]).unwrap().replica.id, "1");
}

/// All replicas of a service may be draining.
#[test]
fn failures_without_a_replica_to_probe_do_not_make_a_service_unreachable() {
    let mut draining = replica("d", "app", None, 8);
    draining.draining = true;
    let mut pool = pool(NOW, vec![draining]);
    let (key, _) = pool.find("d").unwrap();
    pool.record_unreached(NOW, key);
    assert_eq!(pool.record_probes(NOW, "app", 0, 0), None);
    assert!(!pool.reach().is_lost("app"));
}
