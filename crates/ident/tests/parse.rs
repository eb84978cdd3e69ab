//! Parsing and formatting of idempotency keys and handles.

use ident::Handle;
use ident::Incarnation;
use ident::Key;
use ident::Prefix;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use rstest::rstest;

const RUNNER: Incarnation = Incarnation(0x91c5_b8f0_aa31_e2d4);

#[test]
fn a_prefix_round_trips() {
    let prefix = Prefix::new(RUNNER, 0x6930_b2f1);
    assert_eq!(prefix.to_string(), "91c5b8f0aa31e2d4.6930b2f1.");
    let key = Key::new("farm-17", &format!("{prefix}lorry.12"));
    assert_eq!(key.prefix(), Some(prefix));
}

#[rstest]
#[case::empty("")]
#[case::no_prefix("lorry-12")]
#[case::nothing_after_it("91c5b8f0aa31e2d4.6930b2f1.")]
#[case::one_dot("91c5b8f0aa31e2d4.6930b2f1")]
#[case::short_runner("91c5b8f0aa31e2d.6930b2f1.x")]
#[case::long_runner("91c5b8f0aa31e2d44.6930b2f1.x")]
#[case::short_time("91c5b8f0aa31e2d4.6930b2f.x")]
#[case::long_time("91c5b8f0aa31e2d4.6930b2f11.x")]
#[case::not_hexadecimal("91c5b8f0aa31e2dg.6930b2f1.x")]
#[case::signed_runner("+1c5b8f0aa31e2d4.6930b2f1.x")]
#[case::signed_time("91c5b8f0aa31e2d4.+930b2f1.x")]
#[case::upper_case("91C5B8F0AA31E2D4.6930B2F1.x")]
fn a_key_without_a_complete_prefix_has_none(#[case] key: &str) {
    assert_eq!(Prefix::parse(key), None);
}

#[rstest]
#[case::empty("")]
#[case::one_part("91c5b8f0aa31e2d4")]
#[case::no_owner("-1")]
#[case::no_sequence("91c5b8f0aa31e2d4-")]
#[case::three_parts("91c5b8f0aa31e2d4-1-2")]
#[case::signed("91c5b8f0aa31e2d4-+1")]
#[case::too_large("91c5b8f0aa31e2d4-10000000000000000")]
fn an_invalid_handle_is_an_error_that_contains_the_text(#[case] text: &str) {
    let error = text.parse::<Handle>().expect_err("must not be a handle");
    assert!(error.to_string().contains(text));
}

proptest! {
    #[test]
    fn every_handle_round_trips(owner: u64, sequence: u64) {
        let handle = Handle::new(Incarnation(owner), sequence);
        prop_assert_eq!(handle.to_string().parse(), Ok(handle));
    }

    #[test]
    fn every_prefix_round_trips(runner: u64, issued in any::<u32>(), rest in ".{1,90}") {
        let prefix = Prefix::new(Incarnation(runner), issued.into());
        prop_assert_eq!(Prefix::parse(&format!("{prefix}{rest}")), Some(prefix));
    }

    #[test]
    fn a_prefix_has_one_spelling(key in "[0-9a-fA-F+-]{16}[.][0-9a-fA-F+-]{8}[.]x") {
        if let Some(prefix) = Prefix::parse(&key) {
            prop_assert_eq!(format!("{prefix}x"), key);
        }
    }

    #[test]
    fn parsers_never_panic(text: String) {
        let prefix = Prefix::parse(&text);
        prop_assert!(prefix.is_none() || text.len() > 26);
        let handle = text.parse::<Handle>();
        prop_assert!(handle.is_err() || text.contains('-'));
    }
}

/// Guards against two customers whose keys have the same text. Outcomes are recorded and looked up
/// by the key's text; with an unescaped slash in its name, a customer could receive the recorded
/// answer of another.
#[rstest]
#[case::slash("farm", "91c5b8f0aa31e2d4.6930b2f1.x/91c5b8f0aa31e2d4.6930b2f1.y")]
#[case::escaped("farm%2F91c5b8f0aa31e2d4.6930b2f1.x", "91c5b8f0aa31e2d4.6930b2f1.y")]
fn keys_of_two_customers_never_have_the_same_text(#[case] customer: &str, #[case] text: &str) {
    let key = Key::new(
        "farm/91c5b8f0aa31e2d4.6930b2f1.x",
        "91c5b8f0aa31e2d4.6930b2f1.y",
    );
    assert!(key.prefix().is_some());
    assert_ne!(Key::new(customer, text).to_string(), key.to_string());
}

#[test]
fn a_customer_without_special_characters_is_not_escaped() {
    let key = Key::new("farm-17", "a/b%c");
    assert_eq!(key.to_string(), "farm-17/a/b%c");
}
