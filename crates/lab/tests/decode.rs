//! Load patterns at decode replicas whose memory fills: each gain, replayed.

use lab::decode::figures::Figures;
use lab::decode::run;
use lab::decode::setup::CROWD;
use lab::decode::setup::LOADS;
use lab::decode::setup::LONG;
use lab::decode::setup::Load;
use lab::decode::setup::Policy;
use lab::decode::setup::RUSH;
use lab::decode::setup::Setup;
use rstest::rstest;

const SEEDS: u64 = 3;
const FORECAST: Policy = Policy::Forecast {
    spreads: 3.0,
    moves: true,
};
const UNSURE: Policy = Policy::Forecast {
    spreads: 1.0,
    moves: true,
};

fn played(setup: Setup) -> Figures {
    let mut all = Figures::default();
    for seed in 1..=SEEDS {
        all.add(&run::run(setup, seed));
    }
    all
}

fn doubling(load: Load, policy: Policy) -> Figures {
    played(Setup::doubling(load, policy))
}

#[rstest]
#[case(Setup::doubling(RUSH, FORECAST))]
#[case(Setup::doubling(LONG, Policy::Reserve))]
#[case(Setup::steady(RUSH, FORECAST))]
fn every_generation_ends_once(#[case] setup: Setup) {
    let figures = played(setup);
    assert!(figures.asked > 800);
    let ended = figures.in_time + figures.late + figures.refused;
    assert_eq!(ended, figures.asked);
}

#[test]
fn equal_seeds_give_equal_runs_and_others_do_not() {
    let setup = Setup::doubling(RUSH, FORECAST);
    let figures = [1, 1, 2].map(|seed| run::run(setup, seed));
    assert_eq!(figures[0], figures[1]);
    assert_ne!(figures[0], figures[2]);
}

/// All come at once, and in their midst twice as many.
#[test]
fn in_a_rush_a_forecast_serves_more_in_time_than_a_reservation() {
    let forecast = doubling(RUSH, FORECAST);
    let reserve = doubling(RUSH, Policy::Reserve);
    assert!(forecast.in_time_share() > reserve.in_time_share() + 0.1);
    assert!(forecast.set_aside_share() < reserve.set_aside_share() / 2.0);
    assert!(forecast.refused < reserve.refused);
}

/// Callers' estimates are too short while more come.
#[test]
fn long_answers_after_short_ones_set_few_aside() {
    let forecast = doubling(LONG, FORECAST);
    let reserve = doubling(LONG, Policy::Reserve);
    assert!(forecast.in_time_share() > reserve.in_time_share());
    assert!(forecast.set_aside_share() < reserve.set_aside_share() / 2.0);
}

/// The room has to last with some certainty: what is placed too boldly is read twice.
#[rstest]
#[case(RUSH)]
#[case(LONG)]
fn certainty_serves_more_in_time(#[case] load: Load) {
    let sure = doubling(load, FORECAST);
    let unsure = doubling(load, UNSURE);
    assert!(sure.in_time_share() > unsure.in_time_share() + 0.1);
    assert!(sure.read_again < unsure.read_again / 2.0);
}

#[test]
fn a_crowd_that_fits_is_served() {
    let figures = doubling(CROWD, FORECAST);
    assert!(figures.in_time_share() > 0.9);
    assert_eq!(figures.refused, 0);
}

/// Daemons that hear of each other's runs late place them on top of each other.
#[test]
fn late_claims_set_more_aside() {
    let at = |claim_ms| {
        let setup = Setup {
            claim_ms,
            ..Setup::doubling(RUSH, FORECAST)
        };
        played(setup).set_aside
    };
    assert!(at(2.0) < at(300.0));
}

/// Where answers add little to what a run holds, nothing is lost by the forecast.
#[test]
fn where_memory_hardly_grows_a_forecast_is_no_worse() {
    for load in LOADS {
        let forecast = played(Setup::steady(load, FORECAST));
        let reserve = played(Setup::steady(load, Policy::Reserve));
        assert!(forecast.in_time_share() >= reserve.in_time_share() - 0.01);
    }
}

/// The largest tenth keeps its part under overload: it is not refused more than three times as often.
#[test]
fn large_prompts_keep_their_part() {
    let figures = doubling(RUSH, FORECAST);
    let share = |size: usize| {
        let asked = figures.asked_of[size].max(1) as f64;
        1.0 - figures.refused_of[size] as f64 / asked
    };
    assert!(figures.asked_of[1] > 50);
    assert!(share(1) > share(0) / 2.0);
}
