//! Several cores under random failures: the promises hold after every step.
//!
//! `WAXWING_CASES` sets how many seeds are tried, `WAXWING_FIRST_SEED` where they begin,
//! `WAXWING_PLANS` how many plans of `proptest`; `WAXWING_TRACE` names the seed that the ignored
//! test `trace` prints. Without them the cases are the same on each run.

mod world;

use std::env;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::world::World;
use crate::world::plan::Plan;

/// Seeds tried where nothing else is asked for.
const DEFAULT_CASES: u64 = 500;
/// Cases of `proptest`, which also makes failing plans small.
const PROPTEST_CASES: u64 = 40;
/// Threads that try seeds.
const THREADS: u64 = 4;

fn number(name: &str, default: u64) -> u64 {
    let text = env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn promises_hold_for_each_seed() {
    let first = number("WAXWING_FIRST_SEED", 1);
    let cases = number("WAXWING_CASES", DEFAULT_CASES);
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
        match World::new(&Plan::random(seed)).run() {
            Ok(figures) => {
                complete.fetch_add(figures.complete as u64, Ordering::Relaxed);
            }
            Err(violation) => failures.push(format!("seed {seed}: {violation}")),
        }
    }
}

#[test]
fn promises_hold_for_each_plan() {
    let cases = number("WAXWING_PLANS", PROPTEST_CASES) as u32;
    let config = Config::with_cases(cases);
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&Plan::strategy(), |plan| {
        let run = World::new(&plan).run();
        run.map(|_| ()).map_err(TestCaseError::fail)
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn equal_seeds_give_equal_runs() {
    for seed in [3, 17] {
        let first = World::new(&Plan::random(seed)).run();
        let second = World::new(&Plan::random(seed)).run();
        assert_eq!(first, second);
    }
}

#[test]
#[ignore = "prints the run of the seed in WAXWING_TRACE"]
fn trace() {
    let seed = number("WAXWING_TRACE", 1);
    let plan = Plan::random(seed);
    eprintln!("{plan:#?}");
    let result = World::new(&plan).with_trace().run();
    eprintln!("{result:?}");
}
