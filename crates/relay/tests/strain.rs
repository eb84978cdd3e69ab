//! When callers are told of all instances.

use std::time::Duration;

use ident::Time;
use relay::strain::Strain;

const START: Time = Time::from_millis(100_000);

fn after(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

/// Looks every 100 ms that are each `late` by so many milliseconds.
fn looked(late: u64, looks: u64) -> Strain {
    let mut strain = Strain::new();
    for look in 0..looks {
        strain.note(after(look * 100), Duration::from_millis(late));
    }
    strain
}

#[test]
fn an_instance_that_is_late_again_and_again_is_strained() {
    let strain = looked(60, 20);
    assert!(strain.is_own());
    assert!(strain.is_near(after(2_000)));
    assert!(strain.spreads(after(2_000)));
}

#[test]
fn an_instance_that_is_hardly_late_is_not() {
    let strain = looked(10, 50);
    assert!(!strain.is_own());
    assert!(!strain.spreads(after(5_000)));
}

#[test]
fn a_process_that_stood_still_once_is_not() {
    let mut strain = looked(2, 10);
    strain.note(after(8_000), Duration::from_secs(7));
    assert!(!strain.is_own());
    assert!(!strain.spreads(after(8_000)));
}

#[test]
fn callers_are_told_of_all_for_a_while() {
    let mut strain = Strain::new();
    strain.heard(START);
    assert!(strain.spreads(after(29_000)));
    assert!(!strain.spreads(after(31_000)));
}

/// What was heard second-hand would otherwise go round for ever.
#[test]
fn only_what_was_heard_first_hand_is_passed_on() {
    let mut strain = Strain::new();
    strain.told(START);
    assert!(strain.spreads(after(100)));
    assert!(!strain.is_near(after(100)));
}
