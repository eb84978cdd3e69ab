//! The world in virtual time does what a small fleet does.

use std::time::Duration;

use bench::world::World;
use bench::world::kind::Kind;
use bench::world::size::Size;
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

fn settled(daemons: usize, seed: u64) -> World {
    let mut world = World::new(size(daemons), seed);
    world.settle(SECOND * 30);
    assert_eq!(world.agree(daemons, |_| true), daemons);
    world.tally.reset();
    world
}

#[rstest]
#[case(1)]
#[case(9)]
fn requests_are_answered(#[case] daemons: usize) {
    let mut world = settled(daemons, 1);
    world.load(20.0, SECOND * 3, 4, 10);
    world.run(SECOND);
    assert_eq!(world.tally.answers.done, 60);
    assert_eq!(world.tally.answers.refused, 0);
}

#[rstest]
fn daemons_that_are_cut_off_stop_deciding_and_come_back() {
    let mut world = settled(9, 2);
    world.set_cut(|zone| zone == 0);
    world.run(SECOND * 4);
    assert_eq!(world.fresh(|index| index % 3 == 0), 0);
    assert_eq!(world.fresh(|index| index % 3 != 0), 6);
    world.set_cut(|_| false);
    let back = world.run_until(SECOND * 30, SECOND, |world| world.fresh(|_| true) == 9);
    assert!(back.is_some());
}

#[rstest]
fn frames_are_counted_by_kind() {
    let mut world = settled(9, 3);
    world.run(SECOND * 4);
    assert!(world.tally.frames(Kind::Gossip) > 0.0);
    assert!(world.tally.bytes(Kind::News) > world.tally.frames(Kind::News));
    assert!(world.tally.frames(Kind::Place) < f64::EPSILON);
}
