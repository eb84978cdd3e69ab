//! A forgotten key is refused and never runs again.

use ident::Key;
use ledger::keys::Admission;
use ledger::keys::KeyRegistry;
use ledger::keys::KeyState;
use ledger::keys::MAX_CLOCK_SKEW_S;
use proptest::collection::vec;
use proptest::prop_assert;
use proptest::proptest;
use rstest::rstest;

const WINDOW_S: u64 = 600;
const NOW: u64 = 1_700_000_000;

fn key(number: u64) -> Key {
    Key::new("farm-17", &format!("91c5b8f0aa31e2d4.6930b2f1.{number}"))
}

#[rstest]
#[case::issued_now(NOW, Admission::New)]
#[case::at_the_end_of_its_window(NOW - WINDOW_S, Admission::New)]
#[case::past_its_window(NOW - WINDOW_S - 1, Admission::Expired)]
#[case::by_a_clock_ahead(NOW + MAX_CLOCK_SKEW_S, Admission::New)]
#[case::in_the_future(NOW + MAX_CLOCK_SKEW_S + 1, Admission::Expired)]
#[case::at_the_origin(0, Admission::Expired)]
#[case::at_the_end_of_time(u64::MAX, Admission::Expired)]
fn a_key_starts_only_inside_its_window(#[case] issued: u64, #[case] expected: Admission) {
    let registry: KeyRegistry<u32> = KeyRegistry::new(WINDOW_S, 4);
    assert_eq!(registry.admit(NOW, issued), expected);
}

#[test]
fn a_full_registry_admits_no_new_key_and_forgets_none() {
    let mut registry: KeyRegistry<u32> = KeyRegistry::new(WINDOW_S, 2);
    registry.set(NOW, &key(1), KeyState::Unknown);
    registry.set(NOW, &key(2), KeyState::Failed);
    assert_eq!(registry.admit(NOW, NOW), Admission::Full);
    registry.set(NOW, &key(1), KeyState::Failed);
    assert_eq!(registry.len(), 2);
    registry.forget(&key(2));
    assert_eq!(registry.get(&key(2)), None);
    assert_eq!(registry.admit(NOW, NOW), Admission::New);
}

#[test]
fn an_open_request_is_never_forgotten() {
    let mut registry = KeyRegistry::new(WINDOW_S, 4);
    registry.set(NOW, &key(1), KeyState::Open(7));
    let late = NOW + 3 * (WINDOW_S + MAX_CLOCK_SKEW_S);
    registry.expire(late);
    assert_eq!(registry.get(&key(1)), Some(&KeyState::Open(7)));
    registry.set(late, &key(1), KeyState::Unknown);
    registry.expire(late + 2 * (WINDOW_S + MAX_CLOCK_SKEW_S));
    assert!(registry.is_empty());
}

proptest! {
    /// No key starts twice: one that started is remembered for as long as it would be admitted,
    /// unless it is known not to have run.
    #[test]
    fn no_key_starts_twice(
        window in 1..50_u64,
        steps in vec((0..40_u64, 0..6_u64, 0..100_u64), 1..200),
    ) {
        let mut registry: KeyRegistry<u32> = KeyRegistry::new(window, 1_000);
        let mut now = NOW;
        // Issue time of each key, by a clock that may be ahead.
        let issued: Vec<u64> = (0..6).map(|index| NOW + 13 * index).collect();
        let mut started = [false; 6];
        for (pause, number, end) in steps {
            now += pause;
            registry.expire(now);
            let index = number as usize;
            let known = registry.get(&key(number)).is_some();
            if !known && registry.admit(now, issued[index]) == Admission::New {
                prop_assert!(!started[index], "key {number} starts twice");
                started[index] = true;
                let state = if end % 2 == 0 { KeyState::Unknown } else { KeyState::Open(1) };
                registry.set(now, &key(number), state);
            } else if known && end % 3 == 0 {
                registry.set(now, &key(number), KeyState::Failed);
            } else if known && end % 7 == 0 {
                // No byte of it reached a back end, so it may start again.
                registry.forget(&key(number));
                started[index] = false;
            }
        }
    }
}
