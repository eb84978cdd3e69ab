//! Checks the simulated schemes of enforcing a quota.

use lab::quota::load::Fault;
use lab::quota::load::Load;
use lab::quota::run;
use lab::quota::scheme::Scheme;
use rstest::rstest;

const USUAL: Load = Load::new("usual", 41, 47_000.0, 0.55);
const HOT: Load = Load::new("hot", 41, 47_000.0, 4.0);

#[rstest]
#[case(HOT)]
#[case(HOT.with_fault(Fault::Cut(0.35)))]
#[case(HOT.with_fault(Fault::Kill(1.0)))]
#[case(HOT.with_fault(Fault::Kill(0.5)))]
fn a_keeper_stays_within_what_is_tolerated(#[case] load: Load) {
    for seed in 0..3 {
        let stats = run::simulate(Scheme::Keeper, load, seed);
        assert!(stats.bound <= 1.0, "{stats:?}");
    }
}

#[test]
fn a_keeper_loses_next_to_nothing_within_the_quota() {
    let stats = run::simulate(Scheme::Keeper, USUAL, 1);
    assert!(stats.lost < 0.01, "{stats:?}");
}

#[test]
fn an_equal_share_refuses_what_is_within_the_quota() {
    let stats = run::simulate(Scheme::Share, USUAL, 1);
    assert!(stats.lost > 0.1, "{stats:?}");
}

#[test]
fn equal_seeds_give_equal_runs() {
    let simulate = || format!("{:?}", run::simulate(Scheme::Told, HOT, 3));
    assert_eq!(simulate(), simulate());
}
