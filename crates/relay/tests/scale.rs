//! Work of the pool by the size of the fleet: it follows the replicas that a request or an update
//! concerns, not their number.

mod common;

use std::time::Duration;

use ident::Instance;
use ident::Time;
use relay::claims::Claim;
use relay::claims::ClaimUpdate;
use relay::claims::Claims;
use relay::claims::PrefillBacklog;
use relay::claims::incarnation_hash;
use relay::pool::Pool;
use relay::replica::Delta;
use relay::replica::Replica;
use relay::replica::Stage;
use relay::replica::Update;
use relay::revision::Revision;
use relay::runs::Runs;
use relay::runs::Size;
use relay::server::Key;
use rstest::rstest;

const START: Time = Time::from_millis(100_000);
/// Replicas that are scored for one request at most.
const MAX_SCORED: u64 = 64;
const OWN_RUNS: usize = 30;
const PEERS: u64 = 16;
const SIZE: Size = Size {
    prompt: 5_000,
    estimate: 400,
    max_tokens: 1_000,
    generated: 0,
};

fn fleet(count: usize) -> Pool {
    common::pool(START, common::engines(count, Stage::Decode, 32))
}

/// Replicas examined by `work`.
fn examined(pool: &mut Pool, work: impl FnOnce(&mut Pool)) -> u64 {
    let before = pool.examined();
    work(pool);
    pool.examined() - before
}

fn choose(pool: &Pool, draw: impl Fn() -> f64) -> Key {
    let criteria = common::criteria("llm", Some(Stage::Decode), &[], None);
    pool.choose(START, &criteria, draw).unwrap()
}

#[rstest]
fn a_choice_examines_a_sample(#[values(100, 300, 1_000, 3_000, 20_000)] count: usize) {
    let mut pool = fleet(count);
    let steps = examined(&mut pool, |pool| {
        choose(pool, || 0.5);
    });
    assert_eq!(steps, MAX_SCORED);
}

/// Every replica has to be chosen at some time, also one at the end of the list.
#[test]
fn a_choice_among_many_reaches_all_of_them() {
    let pool = fleet(3_000);
    let chosen = [0.0, 0.3, 0.6, 0.999].map(|drawn| choose(&pool, || drawn));
    for (index, key) in chosen.iter().enumerate() {
        assert!(!chosen[..index].contains(key));
    }
}

#[rstest]
fn forecasts_examine_the_replicas_in_use(#[values(100, 300, 1_000, 3_000, 20_000)] count: usize) {
    let mut pool = fleet(count);
    let (mut runs, mut claims) = (Runs::new(), Claims::new());
    for number in 0..OWN_RUNS {
        let key = choose(&pool, || number as f64 / OWN_RUNS as f64);
        runs.begin("llm", key, SIZE);
    }
    let curve = runs.forecast("llm", SIZE);
    for peer in 0..PEERS {
        let replica = incarnation_hash(&peer.to_string(), None);
        let claim = Claim::new(replica, 1, 0, 100, &curve);
        let backlog = PrefillBacklog {
            replica,
            tokens: 100,
        };
        let update = ClaimUpdate::all(vec![claim]).with_readings(vec![backlog]);
        claims.apply(START, Instance(peer), update);
    }
    // The first report of any peer changes what is known of all replicas.
    pool.update_all_forecasts(START, &runs, &claims);
    let steps = examined(&mut pool, |pool| {
        pool.update_all_forecasts(START, &runs, &claims);
    });
    assert!(steps <= OWN_RUNS as u64 + 2 * PEERS, "{steps}");
}

fn changed(number: usize) -> Replica {
    Replica {
        draining: true,
        ..common::replica(&number.to_string(), "llm", Some(Stage::Decode), 32)
    }
}

#[rstest]
fn an_update_examines_the_replicas_that_changed(
    #[values(100, 300, 1_000, 3_000, 20_000)] count: usize,
) {
    let mut pool = fleet(count);
    let delta = Delta {
        since: Revision::new(0, 1),
        version: Revision::new(0, 2),
        replicas: vec![changed(1), changed(2)],
        gone: vec!["3".to_owned()],
        ..Delta::default()
    };
    let steps = examined(&mut pool, |pool| {
        pool.apply_delta(START, &delta).unwrap();
        let after = START + Duration::from_millis(100);
        let Update::Changed(passed_on) = pool.update_since(after, Revision::new(0, 1)) else {
            panic!("a whole list is sent for three changes");
        };
        assert_eq!((passed_on.replicas.len(), passed_on.gone.len()), (2, 1));
    });
    assert!(steps <= 3 + 2, "{steps}");
}

/// Half of a large fleet may leave at once.
#[rstest]
fn the_departure_of_many_is_passed_on_as_changes(#[values(1_000, 10_000, 20_000)] count: usize) {
    let mut pool = fleet(count);
    let delta = Delta {
        since: Revision::new(0, 1),
        version: Revision::new(0, 2),
        gone: (0..count / 3).map(|number| number.to_string()).collect(),
        ..Delta::default()
    };
    pool.apply_delta(START, &delta).unwrap();
    let Update::Changed(passed_on) = pool.update_since(START, Revision::new(0, 1)) else {
        panic!("the whole list is sent");
    };
    assert_eq!(passed_on.gone.len(), count / 3);
}

/// Daemons that learnt of the same replicas in another order, or by other updates, have equal lists.
#[test]
fn the_digest_depends_on_the_list_only() {
    let mut list = common::engines(50, Stage::Decode, 32);
    let by_snapshot = common::pool(START, list.clone());
    list.reverse();
    let mut by_changes = common::pool(START, list.split_off(20));
    let first = by_changes.digest();
    let delta = |version, replicas: Vec<Replica>, gone: &[&str]| Delta {
        since: Revision::new(0, 1),
        version: Revision::new(0, version),
        replicas,
        gone: gone.iter().map(|id| (*id).to_owned()).collect(),
        ..Delta::default()
    };
    by_changes
        .apply_delta(START, &delta(2, list.clone(), &[]))
        .unwrap();
    assert_eq!(by_changes.digest(), by_snapshot.digest());
    let leaving = vec![changed(7)];
    by_changes
        .apply_delta(START, &delta(3, leaving, &[]))
        .unwrap();
    assert_ne!(by_changes.digest(), by_snapshot.digest());
    let back = common::engines(8, Stage::Decode, 32).split_off(7);
    by_changes.apply_delta(START, &delta(4, back, &[])).unwrap();
    assert_eq!(by_changes.digest(), by_snapshot.digest());
    let gone: Vec<&str> = list.iter().map(|replica| replica.id.as_str()).collect();
    by_changes
        .apply_delta(START, &delta(5, Vec::new(), &gone))
        .unwrap();
    assert_eq!(by_changes.digest(), first);
}
