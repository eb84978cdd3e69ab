//! Conditions for new, retried and resumed generations.

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
#[case::resumed_by_its_caller(Kind::Resumed, 5_000, 700, true)]
#[case::resumed_by_its_caller_and_late(Kind::Resumed, 0, 800, false)]
fn a_slot_requires_a_timely_prefill(
    #[case] kind: Kind,
    #[case] age_ms: u64,
    #[case] prefill_ms: u64,
    #[case] taken: bool,
) {
    let age = Duration::from_millis(age_ms);
    let prefill = Duration::from_millis(prefill_ms);
    let idle = kind.required_idle_share(OBJECTIVE, age, prefill);
    assert_eq!(idle <= 0.0, taken);
}

#[test]
fn late_generations_wait_longer_and_leave_room() {
    assert_eq!(Kind::New.terms(USUAL), USUAL);
    let returned = Kind::Returned.terms(USUAL);
    assert!(returned.wait > 1.0);
    let resumed = Kind::Due.terms(USUAL);
    assert_eq!((resumed.wait, resumed.spare), (returned.wait, USUAL.spare));
    assert_eq!(Kind::Resumed.terms(USUAL), resumed);
    assert!(returned.spare > 0.0);
}

#[test]
fn retries_are_recognized_by_their_shorter_timeouts() {
    let mut timeouts = CallerTimeouts::new();
    for number in 0..200 {
        // First attempts have timeouts of 11.9 to 14 s; three in ten are retried after 3 s.
        let new = 11_900 + number * 97 % 2_100;
        let limit = match number % 10 {
            0..3 => Duration::from_millis(new - 3_000),
            _ => Duration::from_millis(new),
        };
        let waited = timeouts.estimate_waited(limit);
        match number % 10 {
            _ if number < 50 => {}
            0..3 => assert!(waited > Duration::from_millis(2_500), "{waited:?}"),
            _ => assert!(waited < Duration::from_millis(2_500), "{waited:?}"),
        }
    }
}

#[test]
fn one_long_timeout_does_not_make_others_late() {
    let mut timeouts = CallerTimeouts::new();
    for _ in 0..50 {
        assert_eq!(
            timeouts.estimate_waited(Duration::from_secs(4)),
            Duration::ZERO
        );
    }
    timeouts.estimate_waited(Duration::from_mins(10));
    assert_eq!(
        timeouts.estimate_waited(Duration::from_secs(4)),
        Duration::ZERO
    );
}
