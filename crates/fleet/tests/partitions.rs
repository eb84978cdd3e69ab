//! Network partitions and the count of reachable instances.

mod net;

use fleet::member::State;
use net::Net;
use net::SECOND;
use net::converged;
use net::entries;
use rstest::rstest;

#[rstest]
#[case(9, 3)]
#[case(9, 1)]
#[case(40, 13)]
#[case(40, 19)]
#[case(100, 9)]
#[case(100, 33)]
fn a_healed_partition_ends_only_the_runs_of_the_smaller_side(
    #[case] count: usize,
    #[case] smaller: usize,
) {
    let mut net = converged(count, 11 + count as u64);
    net.partition[..smaller].fill(1);
    net.run(SECOND * 20);
    assert_eq!(net.fleet(0).alive().count(), smaller);
    assert_eq!(net.fleet(count - 1).alive().count(), count - smaller);
    net.partition.fill(0);
    net.run(SECOND * 10);
    for index in 0..count {
        assert_eq!(net.fleet(index).declared_dead(), index < smaller);
    }
}

#[test]
fn a_partition_without_a_larger_side_ends_no_run() {
    let mut net = converged(9, 11);
    for index in 0..9 {
        net.partition[index] = index / 3;
    }
    net.run(SECOND * 20);
    assert!((0..9).all(|index| net.fleet(index).alive().count() == 3));
    let own = net
        .fleet(0)
        .serving()
        .map(|member| member.instance)
        .collect::<Vec<_>>();
    assert!((0..500).all(|key| net.fleet(0).owner(key).is_some_and(|o| own.contains(&o))));
    net.partition.fill(0);
    assert!(net.run_until(SECOND * 5, Net::all_agree).is_some());
    assert!(
        net.changes
            .iter()
            .all(|change| change.member.state != State::Dead)
    );
}

#[rstest]
#[case(9)]
#[case(100)]
fn a_single_daemon_that_was_cut_off_ends_no_run_but_its_own(#[case] count: usize) {
    let mut net = converged(count, 31);
    net.partition[0] = 1;
    net.run(SECOND * 10);
    net.partition.fill(0);
    net.run(SECOND * 10);
    for index in 0..count {
        assert_eq!(net.fleet(index).declared_dead(), index == 0);
    }
}

#[test]
fn a_bare_majority_declares_the_others_dead() {
    let mut net = converged(9, 16);
    for index in 5..9 {
        net.kill(index);
    }
    let dead = |net: &Net| {
        (5..9).all(|index| net.dead_at(net.fleet(index).local_member().incarnation) == 5)
    };
    assert!(net.run_until(SECOND * 8, dead).is_some());
}

#[test]
fn without_half_of_the_list_a_run_is_declared_dead_once_the_list_drops_it() {
    let mut net = converged(9, 14);
    let victim = net.fleet(8).local_member().incarnation;
    for index in 4..9 {
        net.kill(index);
    }
    net.run(SECOND * 10);
    assert_eq!(net.dead_at(victim), 0);
    assert_eq!(net.fleet(0).alive().count(), 4);
    net.set_list(&entries(0..4));
    net.run(SECOND);
    assert_eq!(net.dead_at(victim), 4);
}

#[test]
fn reachable_count_follows_a_partition_within_seconds() {
    let mut net = converged(100, 15);
    assert_eq!(net.fleet(0).reachable_count(), 100);
    net.partition[0] = 1;
    net.partition[40..].fill(2);
    net.run(SECOND * 3);
    assert!(net.fleet(0).reachable_count() < 10, "alone");
    assert!(net.fleet(1).reachable_count() < 50, "with 39 of 100");
    assert!(net.fleet(99).reachable_count() > 50, "with 60 of 100");
}

#[test]
fn contact_counts_listed_instances_heard_directly() {
    let mut net = converged(9, 12);
    net.run(SECOND * 3);
    let since = net.now - SECOND * 3;
    assert_eq!(net.fleet(0).listed_count(), 9);
    assert_eq!(net.fleet(0).heard_since_count(since), 9);
    for index in 5..9 {
        net.partition[index] = 1;
    }
    net.run(SECOND * 3);
    let since = net.now - SECOND * 2;
    assert_eq!(net.fleet(0).heard_since_count(since), 5);
    assert_eq!(net.fleet(8).heard_since_count(since), 4);
}
