//! Callers that come back are told from those that come for the first time.

use std::time::Duration;

use relay::patience::Patience;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Usual patience between 12 and 14 s.
fn settled() -> Patience {
    let mut patience = Patience::new();
    for number in 0..200 {
        patience.came_back(ms(12_000 + number * 611 % 2_000));
    }
    patience
}

#[test]
fn the_first_caller_did_not_come_back() {
    assert!(!Patience::new().came_back(ms(3_000)));
}

#[test]
fn callers_that_differ_a_little_did_not_come_back() {
    let mut patience = settled();
    for told in (12_000..14_000).step_by(100) {
        assert!(!patience.came_back(ms(told)), "{told}");
    }
}

#[test]
fn a_caller_with_a_fifth_less_time_came_back() {
    assert!(settled().came_back(ms(10_500)));
}

#[test]
fn a_caller_with_an_odd_patience_moves_the_usual_one_little() {
    let mut patience = settled();
    patience.came_back(ms(20_000));
    for number in 0..40 {
        patience.came_back(ms(12_000 + number * 611 % 2_000));
    }
    assert!(!patience.came_back(ms(12_500)));
}

#[test]
fn a_shorter_patience_becomes_the_usual_one() {
    let mut patience = settled();
    for _ in 0..200 {
        patience.came_back(ms(5_000));
    }
    assert!(!patience.came_back(ms(5_000)));
}
