//! Runs several cores under random failures and checks the promises after every step.
//!
//! `WAXWING_CASES` sets the number of seeds, `WAXWING_FIRST_SEED` the first one, `WAXWING_PLANS`
//! the number of `proptest` plans, and `WAXWING_TRACE` the seed whose run the ignored test `trace`
//! prints. The defaults give the same cases on each run.

mod simulation;

use std::env;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;

use crate::simulation::Simulation;
use crate::simulation::plan::Fault;
use crate::simulation::plan::Plan;
use crate::simulation::plan::ScheduledFault;

/// Default number of seeds.
const DEFAULT_CASES: u64 = 500;
/// Default number of plans from `proptest`, which also shrinks a failing plan.
const PROPTEST_CASES: u64 = 40;
/// Threads that run seeds in parallel.
const THREADS: u64 = 4;

fn env_number(name: &str, default: u64) -> u64 {
    let text = env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn promises_hold_for_each_seed() {
    let first = env_number("WAXWING_FIRST_SEED", 1);
    let cases = env_number("WAXWING_CASES", DEFAULT_CASES);
    let next = AtomicU64::new(first);
    let complete = AtomicU64::new(0);
    let failures: Vec<String> = thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS)
            .map(|_| scope.spawn(|| try_seeds(&next, first + cases, &complete)))
            .collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().unwrap_or_default())
            .collect()
    });
    let answers = complete.load(Ordering::Relaxed);
    println!(
        "{cases} seeds from {first}: {answers} complete answers, {} failed",
        failures.len()
    );
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

fn try_seeds(next: &AtomicU64, end: u64, complete: &AtomicU64) -> Vec<String> {
    let mut failures = Vec::new();
    loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= end {
            return failures;
        }
        match Simulation::new(&Plan::random(seed)).run() {
            Ok(summary) => {
                complete.fetch_add(summary.complete as u64, Ordering::Relaxed);
            }
            Err(violation) => failures.push(format!("seed {seed}: {violation}")),
        }
    }
}

#[test]
fn promises_hold_for_each_plan() {
    let cases = env_number("WAXWING_PLANS", PROPTEST_CASES) as u32;
    let config = Config {
        failure_persistence: None,
        ..Config::with_cases(cases)
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&Plan::strategy(), |plan| {
        let run = Simulation::new(&plan).run();
        run.map(|_| ()).map_err(TestCaseError::fail)
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn equal_seeds_give_equal_runs() {
    for seed in [3, 17] {
        let first = Simulation::new(&Plan::random(seed)).run();
        let second = Simulation::new(&Plan::random(seed)).run();
        assert_eq!(first, second);
    }
}

#[test]
#[ignore = "prints the run of the seed in WAXWING_TRACE"]
fn trace() {
    let seed = env_number("WAXWING_TRACE", 1);
    let plan = Plan::random(seed);
    eprintln!("{plan:#?}");
    let result = Simulation::new(&plan).with_trace().run();
    eprintln!("{result:?}");
}

/// Shrunk plans that once broke a promise; each case is named after the fault that broke it.
#[rstest]
#[case::a_cancelled_handle_is_taken_for_another_reader(
    Plan::new(7, 1, 3).with_faults(&[ScheduledFault::new(463, Fault::Refuse, 60, 26, 4_137)])
)]
#[case::an_order_in_flight_does_not_count_as_sent(Plan::new(4, 4, 9))]
#[case::a_key_that_was_tried_is_forgotten(
    Plan::new(43, 1, 11).with_faults(&[
        ScheduledFault::new(404, Fault::StoreLosesAnswers, 194, 149, 6_020),
    ])
)]
#[case::a_committed_edit_is_called_rejected(Plan::new(72, 2, 1).with_faults(&[
    ScheduledFault::new(1_345, Fault::Undrain, 55, 140, 1_687),
    ScheduledFault::new(949, Fault::CutPeers, 107, 150, 6_797),
]))]
#[case::a_leaving_fleet_has_no_keeper_of_its_pools(
    Plan::new(351, 1, 3).with_faults(&[ScheduledFault::new(1_511, Fault::Stop, 215, 78, 5_053)])
)]
#[case::a_slot_of_an_ended_request_stays_taken(Plan::new(3, 4, 10).with_faults(&[
    ScheduledFault::new(2_210, Fault::Pause, 121, 95, 1_246),
    ScheduledFault::new(1_183, Fault::StoreSlow, 230, 10, 4_689),
    ScheduledFault::new(1_432, Fault::Edit, 112, 72, 4_771),
    ScheduledFault::new(69, Fault::Undrain, 200, 214, 5_458),
]))]
#[case::a_new_run_answers_for_the_previous_one(
    Plan::new(7, 2, 10).with_faults(&[ScheduledFault::new(1_262, Fault::Kill, 97, 229, 325)])
)]
#[case::an_old_inspection_shows_the_former_owner(Plan::new(123, 5, 10).with_faults(&[
    ScheduledFault::new(6_779, Fault::UnreliableNetwork, 84, 102, 5_657),
    ScheduledFault::new(7_892, Fault::Pause, 37, 164, 5_385),
    ScheduledFault::new(7_578, Fault::Kill, 150, 26, 4_514),
]))]
#[case::fences_follow_skewed_clocks(Plan::new(1_462, 4, 14))]
#[case::a_runner_answers_for_other_runs_after_a_pause(Plan::new(260, 4, 14).with_faults(&[
    ScheduledFault::new(6_742, Fault::UnreliableNetwork, 214, 95, 6_084),
    ScheduledFault::new(1_401, Fault::Undrain, 200, 114, 5_979),
    ScheduledFault::new(3_704, Fault::StoreSlow, 237, 60, 2_560),
    ScheduledFault::new(2_052, Fault::CutReplica, 127, 59, 6_193),
    ScheduledFault::new(2_373, Fault::Pause, 77, 13, 5_894),
]))]
fn promises_hold_where_they_were_broken(#[case] plan: Plan) {
    assert_eq!(Simulation::new(&plan).run().err(), None);
}
