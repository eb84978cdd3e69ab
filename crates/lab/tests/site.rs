//! Checks the simulation of the users' platform.

use std::time::Duration;

use lab::site::run;
use lab::site::setup::Choice;
use lab::site::setup::Setup;
use lab::site::stats::Stats;
use rstest::rstest;

const SLOWNESS: f64 = 4.0;

fn short(setup: Setup) -> Setup {
    Setup {
        length: Duration::from_secs(11),
        ..setup
    }
}

fn run_short(setup: Setup, seed: u64) -> Stats {
    run::run(short(setup), seed)
}

#[rstest]
#[case(Setup::krmiva(6, 24))]
#[case(Setup::krmiva(67, 47))]
#[case(Setup::qureshi(8, 12).with_choice(Choice::Chance))]
#[case(Setup::qureshi(8, 12).with_slowness(SLOWNESS))]
#[case(Setup::krmiva(6, 24).with_released(0.3))]
fn every_request_ends_once(#[case] setup: Setup) {
    let stats = run_short(setup, 1);
    assert!(stats.offered > 500);
    let ended = stats.in_time + stats.late + stats.refused;
    assert_eq!(ended, stats.offered);
}

#[test]
fn equal_seeds_give_equal_runs_and_others_do_not() {
    let setup = Setup::qureshi(8, 12);
    let rows = [1, 1, 2].map(|seed| run_short(setup, seed).row());
    assert_eq!(rows[0], rows[1]);
    assert_ne!(rows[0], rows[2]);
}

#[test]
fn an_idle_fleet_serves_all_in_time() {
    let idle = Setup {
        rate: 5.0,
        ..Setup::krmiva(6, 24)
    };
    let stats = run_short(idle, 1);
    assert_eq!(stats.in_time, stats.offered);
}

#[test]
fn scoring_beats_random_choice_with_a_slow_replica() {
    let slow = Setup::qureshi(8, 12).with_slowness(SLOWNESS);
    let score = run_short(slow, 1);
    let chance = run_short(slow.with_choice(Choice::Chance), 1);
    assert!(score.in_time_share() > chance.in_time_share());
}
