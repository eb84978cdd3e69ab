//! Distribution of answer lengths.

use relay::length::LengthDistribution;

const ESTIMATE: f64 = 1_000.0;

#[test]
fn the_prior_median_equals_the_estimate() {
    let share = LengthDistribution::new().share_longer_than(ESTIMATE, ESTIMATE);
    assert!((share - 0.5).abs() < 0.01, "{share}");
}

#[test]
fn the_share_of_longer_answers_decreases() {
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
fn worse_estimates_widen_the_distribution() {
    let mut length = LengthDistribution::new();
    for _ in 0..200 {
        length.record(ESTIMATE, ESTIMATE);
    }
    let before = length.share_longer_than(2.0 * ESTIMATE, ESTIMATE);
    for answer in 0..200 {
        let generated = if answer % 2 == 0 { 300.0 } else { 3_000.0 };
        length.record(generated, ESTIMATE);
    }
    assert!(before < 0.05);
    assert!(length.share_longer_than(2.0 * ESTIMATE, ESTIMATE) > 0.4);
}

#[test]
fn extreme_ratios_are_clamped() {
    let mut length = LengthDistribution::new();
    length.record(1.0, 1e9);
    length.record(1e9, 1.0);
    length.record(5.0, 0.0);
    let share = length.share_longer_than(ESTIMATE, ESTIMATE);
    assert!((0.0..=1.0).contains(&share));
}
