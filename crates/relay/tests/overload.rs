//! When callers are told of all instances.

use std::time::Duration;

use ident::Time;
use relay::overload::Overload;

const START: Time = Time::from_millis(100_000);

fn after(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

/// Looks every 100 ms that are each `late` by so many milliseconds.
fn looked(late: u64, looks: u64) -> Overload {
    let mut overload = Overload::new();
    for look in 0..looks {
        overload.record_delay(after(look * 100), Duration::from_millis(late));
    }
    overload
}

#[test]
fn an_instance_that_is_late_again_and_again_is_overloaded() {
    let overload = looked(60, 20);
    assert!(overload.is_local());
    assert!(overload.is_reported(after(2_000)));
    assert!(overload.lists_all_instances(after(2_000)));
}

#[test]
fn an_instance_that_is_hardly_late_is_not() {
    let overload = looked(10, 50);
    assert!(!overload.is_local());
    assert!(!overload.lists_all_instances(after(5_000)));
}

#[test]
fn a_process_that_stood_still_once_is_not() {
    let mut overload = looked(2, 10);
    overload.record_delay(after(8_000), Duration::from_secs(7));
    assert!(!overload.is_local());
    assert!(!overload.lists_all_instances(after(8_000)));
}

#[test]
fn callers_are_told_of_all_for_a_while() {
    let mut overload = Overload::new();
    overload.record_report(START);
    assert!(overload.lists_all_instances(after(29_000)));
    assert!(!overload.lists_all_instances(after(31_000)));
}

/// What was heard second-hand would otherwise go round for ever.
#[test]
fn only_what_was_heard_first_hand_is_passed_on() {
    let mut overload = Overload::new();
    overload.record_relayed_report(START);
    assert!(overload.lists_all_instances(after(100)));
    assert!(!overload.is_reported(after(100)));
}
