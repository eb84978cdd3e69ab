//! Division of a model's replicas into prefill and decode.

use std::time::Duration;

use ident::Time;
use relay::balance::Rebalance;
use relay::balance::StageBalancer;
use relay::balance::StageCounts;
use relay::balance::target_prefill;
use relay::replica::Stage;
use rstest::rstest;

const SHARE: f64 = 0.12;
const CHANGE_TIME: Duration = Duration::from_secs(6);
const START: Time = Time::from_millis(100_000);

fn after(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

const fn counts(prefill: usize, decode: usize) -> StageCounts {
    StageCounts { prefill, decode }
}

/// The change due at `ms` if the division was `counts` all the time.
fn due(counts: StageCounts, ms: u64) -> Option<Rebalance> {
    let mut balancer = StageBalancer::new(CHANGE_TIME);
    balancer.due(START, counts, SHARE);
    balancer.due(after(ms), counts, SHARE)
}

/// A small pool needs relatively more prefill replicas than a large one.
#[rstest]
#[case(2, 1)]
#[case(3, 1)]
#[case(9, 3)]
#[case(12, 4)]
#[case(60, 12)]
#[case(140, 24)]
fn target_number_of_prefill_replicas(#[case] total: usize, #[case] prefill: usize) {
    assert_eq!(target_prefill(total, SHARE), prefill);
}

#[rstest]
#[case::one_too_many(counts(4, 5), Some((Stage::Decode, 1)))]
#[case::right(counts(3, 6), None)]
#[case::one_missing_is_tolerated(counts(2, 7), None)]
#[case::two_missing(counts(1, 8), Some((Stage::Prefill, 1)))]
#[case::none_left(counts(0, 4), Some((Stage::Prefill, 1)))]
#[case::too_few_replicas(counts(2, 0), None)]
#[case::a_quarter_at_once(counts(40, 20), Some((Stage::Decode, 15)))]
#[case::no_more_than_missing(counts(14, 46), Some((Stage::Decode, 2)))]
fn rebalance_after_the_delay(
    #[case] counts: StageCounts,
    #[case] expected: Option<(Stage, usize)>,
) {
    let expected = expected.map(|(stage, count)| Rebalance { stage, count });
    assert_eq!(due(counts, 10_000), expected);
}

#[test]
fn a_rebalance_is_delayed() {
    assert_eq!(due(counts(4, 5), 1_400), None);
    assert!(due(counts(4, 5), 1_600).is_some());
    assert_eq!(due(counts(1, 8), 4_900), None);
    assert!(due(counts(1, 8), 5_100).is_some());
}

#[test]
fn an_order_is_followed_by_a_pause() {
    let mut balancer = StageBalancer::new(CHANGE_TIME);
    balancer.due(START, counts(40, 20), SHARE);
    balancer.order_sent(after(2_000));
    for ms in (2_000..11_000).step_by(500) {
        assert_eq!(balancer.due(after(ms), counts(40, 20), SHARE), None, "{ms}");
    }
    assert!(balancer.due(after(11_100), counts(40, 20), SHARE).is_some());
}

/// Guards against a pause that outlasts the change, or ends before it, once the configuration names another duration.
#[rstest]
#[case::shorter(Duration::from_secs(1), 6_000, true)]
#[case::longer(Duration::from_secs(20), 24_000, false)]
fn a_new_duration_of_changes_counts_for_the_present_pause(
    #[case] change_time: Duration,
    #[case] ms: u64,
    #[case] is_due: bool,
) {
    let mut balancer = StageBalancer::new(CHANGE_TIME);
    balancer.due(START, counts(40, 20), SHARE);
    balancer.order_sent(after(2_000));
    balancer.due(after(2_000), counts(40, 20), SHARE);
    balancer.set_change_time(change_time);
    assert_eq!(
        balancer.due(after(ms), counts(40, 20), SHARE).is_some(),
        is_due
    );
}

#[test]
fn a_corrected_division_restarts_the_delay() {
    let mut balancer = StageBalancer::new(CHANGE_TIME);
    balancer.due(START, counts(4, 5), SHARE);
    balancer.due(after(1_000), counts(3, 6), SHARE);
    assert_eq!(balancer.due(after(2_000), counts(4, 5), SHARE), None);
    assert!(balancer.due(after(3_600), counts(4, 5), SHARE).is_some());
}

/// When all replicas start together, they register one after the other.
#[test]
fn a_growing_number_of_replicas_restarts_the_delay() {
    let mut balancer = StageBalancer::new(CHANGE_TIME);
    for (ms, prefill, decode) in [(0, 20, 30), (800, 30, 52), (1_600, 49, 91), (2_400, 49, 91)] {
        assert_eq!(
            balancer.due(after(ms), counts(prefill, decode), SHARE),
            None
        );
    }
    let due = balancer.due(after(3_200), counts(49, 91), SHARE);
    assert_eq!(due.map(|due| due.count), Some(25));
}
