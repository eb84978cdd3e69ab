//! How a model's replicas divide into stages.

use std::time::Duration;

use ident::Time;
use relay::balance::Rebalance;
use relay::balance::StageBalancer;
use relay::balance::StageCounts;
use relay::balance::target_prefill;
use relay::replica::Stage;
use rstest::rstest;

const SHARE: f64 = 0.12;
const CHANGE: Duration = Duration::from_secs(6);
const START: Time = Time::from_millis(100_000);

fn after(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

const fn counts(prefill: usize, decode: usize) -> StageCounts {
    StageCounts { prefill, decode }
}

/// What is due at `ms` if the division was `counts` all the time.
fn due(counts: StageCounts, ms: u64) -> Option<Rebalance> {
    let mut balance = StageBalancer::new(CHANGE);
    balance.due(START, counts, SHARE);
    balance.due(after(ms), counts, SHARE)
}

/// Few replicas keep relatively more that read prompts than many do.
#[rstest]
#[case(2, 1)]
#[case(3, 1)]
#[case(9, 3)]
#[case(12, 4)]
#[case(60, 12)]
#[case(140, 24)]
fn the_part_that_reads_prompts(#[case] total: usize, #[case] prefill: usize) {
    assert_eq!(target_prefill(total, SHARE), prefill);
}

#[rstest]
#[case::one_too_many(counts(4, 5), Some((Stage::Decode, 1)))]
#[case::right(counts(3, 6), None)]
#[case::one_missing_is_borne(counts(2, 7), None)]
#[case::two_missing(counts(1, 8), Some((Stage::Prefill, 1)))]
#[case::none_left(counts(0, 4), Some((Stage::Prefill, 1)))]
#[case::too_few_replicas(counts(2, 0), None)]
#[case::a_quarter_at_once(counts(40, 20), Some((Stage::Decode, 15)))]
#[case::no_more_than_missing(counts(14, 46), Some((Stage::Decode, 2)))]
fn what_is_due_in_the_end(#[case] counts: StageCounts, #[case] expected: Option<(Stage, usize)>) {
    let expected = expected.map(|(stage, count)| Rebalance { stage, count });
    assert_eq!(due(counts, 10_000), expected);
}

#[test]
fn a_division_has_to_be_off_for_a_while() {
    assert_eq!(due(counts(4, 5), 1_400), None);
    assert!(due(counts(4, 5), 1_600).is_some());
    assert_eq!(due(counts(1, 8), 4_900), None);
    assert!(due(counts(1, 8), 5_100).is_some());
}

#[test]
fn a_change_is_followed_by_a_pause() {
    let mut balance = StageBalancer::new(CHANGE);
    balance.due(START, counts(40, 20), SHARE);
    balance.order_sent(after(2_000));
    for ms in (2_000..11_000).step_by(500) {
        assert_eq!(balance.due(after(ms), counts(40, 20), SHARE), None, "{ms}");
    }
    assert!(balance.due(after(11_100), counts(40, 20), SHARE).is_some());
}

#[test]
fn a_division_that_is_right_again_starts_anew() {
    let mut balance = StageBalancer::new(CHANGE);
    balance.due(START, counts(4, 5), SHARE);
    balance.due(after(1_000), counts(3, 6), SHARE);
    assert_eq!(balance.due(after(2_000), counts(4, 5), SHARE), None);
    assert!(balance.due(after(3_600), counts(4, 5), SHARE).is_some());
}

/// At a common start replicas register one after the other.
#[test]
fn a_division_is_looked_at_anew_while_replicas_are_added() {
    let mut balance = StageBalancer::new(CHANGE);
    for (ms, prefill, decode) in [(0, 20, 30), (800, 30, 52), (1_600, 49, 91), (2_400, 49, 91)] {
        assert_eq!(balance.due(after(ms), counts(prefill, decode), SHARE), None);
    }
    let due = balance.due(after(3_200), counts(49, 91), SHARE);
    assert_eq!(due.map(|due| due.count), Some(25));
}
