//! Memory forecasts of runs.

use relay::forecast::Curve;
use relay::forecast::Run;
use relay::length::LengthDistribution;

fn run(generated: f64) -> Run {
    Run {
        prompt: 5_000.0,
        generated,
        estimate: 4_000.0,
        max_tokens: 8_000.0,
        tokens_per_s: 1_200.0,
    }
}

/// `count` runs that have generated `generated` tokens.
fn runs(count: usize, generated: f64) -> Curve {
    let one = run(generated).curve(&LengthDistribution::new());
    (0..count).fold(Curve::default(), |sum, _| sum.plus(&one))
}

#[test]
fn a_run_holds_its_prompt_and_its_generated_tokens() {
    let curve = run(640.0).curve(&LengthDistribution::new());
    assert!((curve.mean()[0] - 5_640.0).abs() < 1.0);
    assert!(curve.spread()[0] < 1.0);
}

#[test]
fn runs_of_the_same_age_grow() {
    let burst = runs(10, 0.0);
    assert!(burst.peak(0.0) > 1.2 * f64::from(burst.mean()[0]));
}

#[test]
fn runs_near_their_end_hold_the_most_now() {
    let ending = runs(10, 6_000.0);
    let now = f64::from(ending.mean()[0]);
    assert!((ending.peak(0.0) - now).abs() < 1.0);
}

#[test]
fn uncertainty_raises_the_peak() {
    let burst = runs(10, 0.0);
    assert!(burst.peak(2.0) > burst.peak(0.0));
}

#[test]
fn a_run_with_the_maximum_number_of_tokens_ends_at_once() {
    let curve = run(8_000.0).curve(&LengthDistribution::new());
    assert!(curve.mean()[1..].iter().all(|mean| *mean < 1.0));
}

#[test]
fn a_run_longer_than_all_others_continues_for_a_while() {
    let mut length = LengthDistribution::new();
    for _ in 0..2_000 {
        length.record(2_000.0, 4_000.0);
    }
    let curve = run(7_000.0).curve(&length);
    assert!(curve.mean()[1] > 5_000.0);
    assert!(curve.mean().iter().all(|mean| mean.is_finite()));
}

#[test]
fn a_shifted_curve_starts_later() {
    let burst = runs(10, 0.0);
    let later = burst.shifted(0.3);
    assert!((later.mean()[0] - burst.mean()[1]).abs() < 1.0);
    let much_later = burst.shifted(60.0);
    assert!((much_later.mean()[0] - burst.mean()[5]).abs() < 1.0);
}

/// If answers add little to what the runs hold, the peak must not exceed it by much.
#[test]
fn the_peak_is_bounded_by_the_memory_if_no_run_ends() {
    let small = Run {
        estimate: 400.0,
        max_tokens: 1_000.0,
        tokens_per_s: 120.0,
        ..run(100.0)
    };
    let one = small.curve(&LengthDistribution::new());
    let ten = (0..10).fold(Curve::default(), |sum, _| sum.plus(&one));
    assert!(ten.peak(3.0) <= 10.0 * 6_000.0);
    assert!(ten.peak(3.0) <= f64::from(ten.most()[5]) + 1.0);
}
