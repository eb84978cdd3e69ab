//! Rows that the store has lost, since it came back from a copy, are written again by the daemons.

use std::time::Duration;

use gateway::watch::rewriting;
use rstest::rstest;

/// Transactions per second that the store takes in one part.
const PART_WRITES_PER_S: f64 = 300.0;

/// Guards against a store that refuses the writes of a large fleet, since all instances make them at once.
#[rstest]
#[case::large(985)]
#[case::larger(2_000)]
fn a_large_fleet_writes_its_rows_again_below_the_rate_of_the_store(#[case] members: usize) {
    let rate = members as f64 / rewriting::spread(members).as_secs_f64();
    assert!(rate < PART_WRITES_PER_S / 2.0, "{rate} writes per second");
}

#[rstest]
#[case(1)]
#[case(7)]
#[case(400)]
fn a_small_fleet_writes_its_rows_again_within_seconds(#[case] members: usize) {
    assert!(rewriting::spread(members) < Duration::from_secs(5));
}
