//! Arithmetic of times with spans that come from other processes.

use std::time::Duration;

use ident::Time;
use rstest::rstest;

/// Guards against a long span that wraps around to a short one.
#[rstest]
#[case::largest(Duration::MAX)]
#[case::just_beyond(Duration::from_micros(u64::MAX) + Duration::from_micros(1))]
#[case::milliseconds(Duration::from_millis(u64::MAX))]
fn a_span_beyond_the_clock_ends_never_and_began_at_its_origin(#[case] span: Duration) {
    let now = Time::from_millis(5_000);
    assert_eq!(now + span, Time::NEVER);
    assert_eq!(now - span, Time::ZERO);
}

#[test]
fn times_from_milliseconds_do_not_wrap() {
    assert_eq!(Time::from_millis(u64::MAX), Time::NEVER);
}
