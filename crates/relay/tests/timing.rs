//! Generations that can be in time, and those that cannot.

use std::time::Duration;

use relay::timing::CallerTimeouts;
use relay::timing::Kind;
use relay::timing::Terms;
use rstest::rstest;

const OBJECTIVE: Duration = Duration::from_millis(900);
const USUAL: Terms = Terms {
    wait: 0.22,
    spare: 0.0,
};

#[rstest]
#[case::soon(Kind::New, 0, 300, true)]
#[case::just(Kind::New, 200, 500, true)]
#[case::too_long(Kind::New, 0, 800, false)]
#[case::too_old(Kind::New, 500, 300, false)]
#[case::late_and_free(Kind::Returned, 1_500, 300, true)]
#[case::late_and_others_wait(Kind::Returned, 0, 500, false)]
#[case::resumed(Kind::Due, 5_000, 5_000, true)]
fn a_place_is_taken_only_if_the_prompt_is_read_in_time(
    #[case] kind: Kind,
    #[case] age_ms: u64,
    #[case] read_ms: u64,
    #[case] taken: bool,
) {
    let age = Duration::from_millis(age_ms);
    let read = Duration::from_millis(read_ms);
    let idle = kind.required_idle_share(OBJECTIVE, age, read);
    assert_eq!(idle <= 0.0, taken);
}

#[test]
fn who_is_late_waits_longer_and_leaves_room() {
    assert_eq!(Kind::New.terms(USUAL), USUAL);
    assert_eq!(Kind::Due.terms(USUAL), USUAL);
    let returned = Kind::Returned.terms(USUAL);
    assert!(returned.wait > 1.0);
    assert!(returned.spare > 0.0);
}

#[test]
fn callers_that_came_back_are_known_by_their_limits() {
    let mut patience = CallerTimeouts::new();
    for number in 0..200 {
        // New callers wait for 11.9 to 14 s; three in ten have come back after 3 s.
        let new = 11_900 + number * 97 % 2_100;
        let limit = match number % 10 {
            0..3 => Duration::from_millis(new - 3_000),
            _ => Duration::from_millis(new),
        };
        let waited = patience.estimate_waited(limit);
        match number % 10 {
            _ if number < 50 => {}
            0..3 => assert!(waited > Duration::from_millis(2_500), "{waited:?}"),
            _ => assert!(waited < Duration::from_millis(2_500), "{waited:?}"),
        }
    }
}

#[test]
fn one_caller_with_a_long_limit_makes_no_other_late() {
    let mut patience = CallerTimeouts::new();
    for _ in 0..50 {
        assert_eq!(
            patience.estimate_waited(Duration::from_secs(4)),
            Duration::ZERO
        );
    }
    patience.estimate_waited(Duration::from_mins(10));
    assert_eq!(
        patience.estimate_waited(Duration::from_secs(4)),
        Duration::ZERO
    );
}
