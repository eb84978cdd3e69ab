//! Detection and reports of overload.

use std::time::Duration;

use ident::Time;
use relay::overload::Overload;

const START: Time = Time::from_millis(100_000);

fn after(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

/// Records `samples` timer delays of `delay_ms`, one every 100 ms.
fn delayed(delay_ms: u64, samples: u64) -> Overload {
    let mut overload = Overload::new();
    for sample in 0..samples {
        overload.record_delay(after(sample * 100), Duration::from_millis(delay_ms));
    }
    overload
}

#[test]
fn an_instance_with_repeated_delays_is_overloaded() {
    let overload = delayed(60, 20);
    assert!(overload.is_local());
    assert!(overload.is_reported(after(2_000)));
    assert!(overload.lists_all_instances(after(2_000)));
}

#[test]
fn an_instance_with_short_delays_is_not_overloaded() {
    let overload = delayed(10, 50);
    assert!(!overload.is_local());
    assert!(!overload.lists_all_instances(after(5_000)));
}

#[test]
fn a_process_that_was_suspended_once_is_not_overloaded() {
    let mut overload = delayed(2, 10);
    overload.record_delay(after(8_000), Duration::from_secs(7));
    assert!(!overload.is_local());
    assert!(!overload.lists_all_instances(after(8_000)));
}

#[test]
fn callers_get_all_instances_for_a_while() {
    let mut overload = Overload::new();
    overload.record_report(START);
    assert!(overload.lists_all_instances(after(29_000)));
    assert!(!overload.lists_all_instances(after(31_000)));
}

/// Guards against daemons that forward each other's second-hand reports forever.
#[test]
fn only_first_hand_reports_are_forwarded() {
    let mut overload = Overload::new();
    overload.record_relayed_report(START);
    assert!(overload.lists_all_instances(after(100)));
    assert!(!overload.is_reported(after(100)));
}
