//! Freshness of the table held by a daemon.

use std::time::Duration;

use ident::Time;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::proptest;
use table::Table;
use table::view::OfferResult;
use table::view::View;

const LEASE: Duration = Duration::from_secs(4);

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

fn generation(generation: u64) -> Table {
    Table::new(generation, Vec::new())
}

/// A view that holds generation `number`.
fn holding(number: u64) -> View {
    let mut view = View::new(LEASE);
    assert_eq!(view.offer(at(0), generation(number)), OfferResult::Accepted);
    view
}

#[test]
fn a_view_without_a_table_is_not_fresh() {
    let mut view = View::new(LEASE);
    view.record_store_read(at(0), Duration::ZERO);
    view.record_contact(at(0), 9, 9);
    assert!(!view.is_fresh(at(0)));
    assert_eq!(view.age(at(0)), None);
}

#[test]
fn a_table_does_not_confirm_itself() {
    let view = holding(3);
    assert!(!view.is_fresh(at(0)));
}

#[test]
fn a_lower_generation_is_never_accepted() {
    let mut view = holding(3);
    assert_eq!(view.offer(at(1), generation(2)), OfferResult::Older);
    assert_eq!(view.offer(at(1), generation(3)), OfferResult::Same);
    assert_eq!(view.generation(), 3);
    assert_eq!(view.offer(at(1), generation(7)), OfferResult::Accepted);
    assert_eq!(view.generation(), 7);
}

#[test]
fn a_store_read_confirms_for_one_lease_from_the_read() {
    let mut view = holding(3);
    view.record_store_read(at(0), Duration::from_secs(1));
    assert!(view.is_fresh(at(2_999)));
    assert!(!view.is_fresh(at(3_000)));
    assert_eq!(view.age(at(500)), Some(Duration::from_millis(1_500)));
}

#[test]
fn an_older_read_does_not_shorten_freshness() {
    let mut view = holding(3);
    view.record_store_read(at(0), Duration::ZERO);
    view.record_store_read(at(0), Duration::from_secs(3));
    assert!(view.is_fresh(at(3_999)));
}

#[test]
fn contact_with_a_majority_confirms_and_with_half_does_not() {
    let mut view = holding(3);
    view.record_contact(at(0), 4, 8);
    assert!(!view.is_fresh(at(0)));
    view.record_contact(at(0), 5, 8);
    assert!(view.is_fresh(at(0)));
}

#[test]
fn contact_keeps_a_table_fresh_in_an_outage_of_the_store() {
    let mut view = holding(3);
    view.record_store_read(at(0), Duration::ZERO);
    for second in 1..3_600 {
        view.record_contact(at(second * 1_000), 7, 9);
        assert!(view.is_fresh(at(second * 1_000)));
    }
}

#[test]
fn without_store_and_majority_a_table_expires_within_the_lease() {
    let mut view = holding(3);
    view.record_store_read(at(0), Duration::ZERO);
    view.record_contact(at(1_000), 9, 9);
    view.record_contact(at(2_000), 4, 9);
    assert!(view.is_fresh(at(4_999)));
    assert!(!view.is_fresh(at(5_000)));
}

#[test]
fn a_known_higher_generation_blocks_confirmation() {
    let mut view = holding(3);
    view.record_store_read(at(0), Duration::ZERO);
    view.record_generation(4);
    assert!(view.is_behind());
    view.record_store_read(at(3_000), Duration::ZERO);
    view.record_contact(at(3_000), 9, 9);
    assert!(view.is_fresh(at(3_999)));
    assert!(!view.is_fresh(at(4_000)));
    assert_eq!(view.offer(at(5_000), generation(4)), OfferResult::Accepted);
    view.record_store_read(at(5_000), Duration::ZERO);
    assert!(!view.is_behind());
    assert!(view.is_fresh(at(5_000)));
}

#[test]
fn a_stale_read_after_a_restart_does_not_hide_a_newer_generation() {
    let mut view = View::new(LEASE);
    view.record_generation(12);
    assert_eq!(view.offer(at(0), generation(10)), OfferResult::Accepted);
    view.record_contact(at(0), 9, 9);
    view.record_store_read(at(0), Duration::ZERO);
    assert!(!view.is_fresh(at(0)));
}

#[test]
fn a_table_is_not_fresh_after_a_pause() {
    let mut view = holding(3);
    view.record_contact(at(0), 9, 9);
    assert!(!view.is_fresh(at(60_000)));
}

#[derive(Debug, Clone)]
enum Event {
    Offer(u64),
    Generation(u64),
    StoreRead(u64),
    PeerContact(usize),
    Wait(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        (0_u64..10).prop_map(Event::Offer),
        (0_u64..10).prop_map(Event::Generation),
        (0_u64..9_000).prop_map(Event::StoreRead),
        (1_usize..=9).prop_map(Event::PeerContact),
        (0_u64..3_000).prop_map(Event::Wait),
        Just(Event::Wait(0)),
    ];
    proptest::collection::vec(event, 0..60)
}

proptest! {
    #[test]
    fn generations_never_decrease_and_freshness_has_a_source(events in events()) {
        let mut view = View::new(LEASE);
        let mut now = at(0);
        let mut held = 0;
        let mut last_source: Option<Time> = None;
        for event in events {
            match event {
                Event::Offer(number) => {
                    view.offer(now, generation(number));
                }
                Event::Generation(number) => view.record_generation(number),
                Event::StoreRead(age) => {
                    let age = Duration::from_millis(age);
                    view.record_store_read(now, age);
                    last_source = last_source.max(Some(now - age));
                }
                Event::PeerContact(in_contact) => {
                    view.record_contact(now, in_contact, 9);
                    last_source = if in_contact > 4 { Some(now) } else { last_source };
                }
                Event::Wait(ms) => now = now + Duration::from_millis(ms),
            }
            prop_assert!(view.generation() >= held);
            held = view.generation();
            let allowed = last_source.is_some_and(|last_source| now.since(last_source) < LEASE);
            prop_assert!(!view.is_fresh(now) || allowed);
        }
    }
}
