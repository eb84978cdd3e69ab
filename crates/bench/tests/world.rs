//! Checks that the simulation behaves like a small set of daemons.

use std::time::Duration;

use bench::simulation::Simulation;
use bench::simulation::kind::Kind;
use bench::simulation::size::Size;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

const fn size(daemons: usize) -> Size {
    Size {
        daemons,
        zones: 3,
        replicas: 12,
        pools: 2,
        rows: 4,
    }
}

fn settled_simulation(daemons: usize, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(size(daemons), seed);
    simulation.settle(SECOND * 30);
    assert_eq!(simulation.agreeing_count(daemons, |_| true), daemons);
    simulation.counters.reset();
    simulation
}

#[rstest]
#[case(1)]
#[case(9)]
fn requests_are_answered(#[case] daemons: usize) {
    let mut simulation = settled_simulation(daemons, 1);
    simulation.load(20.0, SECOND * 3, 4, 10);
    simulation.run(SECOND);
    assert_eq!(simulation.counters.answers.done, 60);
    assert_eq!(simulation.counters.answers.refused, 0);
}

#[rstest]
fn isolated_daemons_stop_deciding_and_recover() {
    let mut simulation = settled_simulation(9, 2);
    simulation.set_isolated(|zone| zone == 0);
    simulation.run(SECOND * 4);
    assert_eq!(simulation.fresh_count(|index| index % 3 == 0), 0);
    assert_eq!(simulation.fresh_count(|index| index % 3 != 0), 6);
    simulation.set_isolated(|_| false);
    let recovery = simulation.run_until(SECOND * 30, SECOND, |simulation| {
        simulation.fresh_count(|_| true) == 9
    });
    assert!(recovery.is_some());
}

#[rstest]
fn frames_are_counted_by_kind() {
    let mut simulation = settled_simulation(9, 3);
    simulation.run(SECOND * 4);
    assert!(simulation.counters.frames(Kind::Gossip) > 0.0);
    assert!(simulation.counters.bytes(Kind::News) > simulation.counters.frames(Kind::News));
    assert!(simulation.counters.frames(Kind::Place) < f64::EPSILON);
}
