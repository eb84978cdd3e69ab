//! Compares placement policies under load patterns that fill the memory of decode replicas.

use lab::decode::run;
use lab::decode::setup::CROWD;
use lab::decode::setup::LOADS;
use lab::decode::setup::LONG;
use lab::decode::setup::Load;
use lab::decode::setup::Policy;
use lab::decode::setup::RUSH;
use lab::decode::setup::Setup;
use lab::decode::stats::Stats;
use rstest::rstest;

const SEEDS: u64 = 3;
const FORECAST: Policy = Policy::Forecast {
    spreads: 3.0,
    moves: true,
};
const LOW_MARGIN: Policy = Policy::Forecast {
    spreads: 1.0,
    moves: true,
};

fn run_all_seeds(setup: Setup) -> Stats {
    let mut all = Stats::default();
    for seed in 1..=SEEDS {
        all.add(&run::run(setup, seed));
    }
    all
}

fn doubling(load: Load, policy: Policy) -> Stats {
    run_all_seeds(Setup::doubling(load, policy))
}

#[rstest]
#[case(Setup::doubling(RUSH, FORECAST))]
#[case(Setup::doubling(LONG, Policy::Reserve))]
#[case(Setup::steady(RUSH, FORECAST))]
fn every_generation_ends_once(#[case] setup: Setup) {
    let stats = run_all_seeds(setup);
    assert!(stats.offered > 800);
    let ended = stats.in_time + stats.late + stats.refused;
    assert_eq!(ended, stats.offered);
}

#[test]
fn equal_seeds_give_equal_runs_and_others_do_not() {
    let setup = Setup::doubling(RUSH, FORECAST);
    let stats = [1, 1, 2].map(|seed| run::run(setup, seed));
    assert_eq!(stats[0], stats[1]);
    assert_ne!(stats[0], stats[2]);
}

/// Reservations by estimate overfill the replicas when the rate doubles within a burst.
#[test]
fn in_a_rush_a_forecast_serves_more_in_time_than_a_reservation() {
    let forecast = doubling(RUSH, FORECAST);
    let reserve = doubling(RUSH, Policy::Reserve);
    assert!(forecast.in_time_share() > reserve.in_time_share() + 0.1);
    assert!(forecast.preempted_share() < reserve.preempted_share() / 2.0);
    assert!(forecast.refused < reserve.refused);
}

/// Callers' estimates become too short during a burst.
#[test]
fn long_answers_cause_few_preemptions() {
    let forecast = doubling(LONG, FORECAST);
    let reserve = doubling(LONG, Policy::Reserve);
    assert!(forecast.in_time_share() > reserve.in_time_share());
    assert!(forecast.preempted_share() < reserve.preempted_share() / 2.0);
}

/// With too small a safety margin, runs are preempted and their prefill runs twice.
#[rstest]
#[case(RUSH)]
#[case(LONG)]
fn a_larger_safety_margin_serves_more_in_time(#[case] load: Load) {
    let high_margin = doubling(load, FORECAST);
    let low_margin = doubling(load, LOW_MARGIN);
    assert!(high_margin.in_time_share() > low_margin.in_time_share() + 0.1);
    assert!(high_margin.recomputed < low_margin.recomputed / 2.0);
}

#[test]
fn bursts_that_fit_are_served() {
    let stats = doubling(CROWD, FORECAST);
    assert!(stats.in_time_share() > 0.9);
    assert_eq!(stats.refused, 0);
}

/// Daemons that receive each other's claims late overfill the same replica.
#[test]
fn late_claims_cause_more_preemptions() {
    let at = |claim_ms| {
        let setup = Setup {
            claim_ms,
            ..Setup::doubling(RUSH, FORECAST)
        };
        run_all_seeds(setup).preempted
    };
    assert!(at(2.0) < at(300.0));
}

/// Where answers add little to the memory of a run, the forecast costs nothing.
#[test]
fn where_memory_hardly_grows_a_forecast_is_no_worse() {
    for load in LOADS {
        let forecast = run_all_seeds(Setup::steady(load, FORECAST));
        let reserve = run_all_seeds(Setup::steady(load, Policy::Reserve));
        assert!(forecast.in_time_share() >= reserve.in_time_share() - 0.01);
    }
}

/// Under overload the largest tenth of prompts is served at least half as often as the others.
#[test]
fn large_prompts_keep_their_share() {
    let stats = doubling(RUSH, FORECAST);
    let share = |size: usize| {
        let offered = stats.offered_by_size[size].max(1) as f64;
        1.0 - stats.refused_by_size[size] as f64 / offered
    };
    assert!(stats.offered_by_size[1] > 50);
    assert!(share(1) > share(0) / 2.0);
}
