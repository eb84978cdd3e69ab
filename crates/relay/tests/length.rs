//! How long answers become is learnt from those that ended.

use relay::length::LengthDistribution;

const ESTIMATE: f64 = 1_000.0;

#[test]
fn before_any_answer_half_of_them_are_longer_than_estimated() {
    let share = LengthDistribution::new().share_longer_than(ESTIMATE, ESTIMATE);
    assert!((share - 0.5).abs() < 0.01, "{share}");
}

#[test]
fn fewer_and_fewer_are_longer() {
    let length = LengthDistribution::new();
    let shares: Vec<f64> = (0..40)
        .map(|step| length.share_longer_than(f64::from(step) * 100.0, ESTIMATE))
        .collect();
    assert!(shares.is_sorted_by(|left, right| left >= right));
    assert!((shares[0] - 1.0).abs() < f64::EPSILON);
    assert!(shares[39] < 0.01);
}

#[test]
fn long_answers_after_short_ones_are_learnt() {
    let mut length = LengthDistribution::new();
    for _ in 0..200 {
        length.record(500.0, ESTIMATE);
    }
    assert!(length.share_longer_than(ESTIMATE, ESTIMATE) < 0.1);
    for _ in 0..200 {
        length.record(2_000.0, ESTIMATE);
    }
    assert!(length.share_longer_than(ESTIMATE, ESTIMATE) > 0.8);
}

#[test]
fn estimates_that_turn_bad_widen_what_is_expected() {
    let mut length = LengthDistribution::new();
    for _ in 0..200 {
        length.record(ESTIMATE, ESTIMATE);
    }
    let before = length.share_longer_than(2.0 * ESTIMATE, ESTIMATE);
    for answer in 0..200 {
        let made = if answer % 2 == 0 { 300.0 } else { 3_000.0 };
        length.record(made, ESTIMATE);
    }
    assert!(before < 0.05);
    assert!(length.share_longer_than(2.0 * ESTIMATE, ESTIMATE) > 0.4);
}

#[test]
fn a_ratio_beyond_all_bounds_does_no_harm() {
    let mut length = LengthDistribution::new();
    length.record(1.0, 1e9);
    length.record(1e9, 1.0);
    length.record(5.0, 0.0);
    let share = length.share_longer_than(ESTIMATE, ESTIMATE);
    assert!((0.0..=1.0).contains(&share));
}
