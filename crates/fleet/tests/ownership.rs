//! Ownership by rendezvous hashing.

mod net;

use fleet::Fleet;
use fleet::Message;
use fleet::Settings;
use fleet::entry::Entry;
use fleet::member::State;
use ident::Time;
use net::data_centre;
use net::instance;
use net::member;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

/// The view of daemon `me` in a fleet of `count` daemons.
fn fleet(me: usize, count: usize) -> Fleet {
    let mut fleet = Fleet::new(member(me, 0), Settings::default(), 1);
    for index in (0..count).filter(|index| *index != me) {
        let hello = Message::Ping {
            seq: 0,
            news: vec![member(index, 0)],
        };
        fleet.receive(Time::ZERO, instance(index), &hello);
    }
    fleet
}

fn receive_record(fleet: &mut Fleet, by: usize, about: usize, state: State) {
    let mut record = member(about, 0).with_state(state);
    record.version = u32::from(state == State::Leaving);
    let news = vec![member(by, 0), record];
    fleet.receive(Time::ZERO, instance(by), &Message::Page { news });
}

#[test]
fn all_daemons_compute_the_same_owner() {
    let fleets: Vec<Fleet> = (0..9).map(|me| fleet(me, 9)).collect();
    for key in 0..1_000 {
        let owner = fleets[0].owner(key);
        assert!(fleets.iter().all(|fleet| fleet.owner(key) == owner));
    }
}

#[test]
fn keys_spread_evenly() {
    let fleet = fleet(0, 9);
    let mut counts = std::collections::BTreeMap::new();
    for key in 0..9_000 {
        *counts.entry(fleet.owner(key)).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 9);
    assert!(
        counts.values().all(|count| (800..1_200).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn a_suspected_member_owns_until_it_is_dead() {
    let mut fleet = fleet(0, 9);
    let key = (0..1_000)
        .find(|key| fleet.owner(*key) == Some(instance(4)))
        .expect("no key owned by instance 4");
    receive_record(&mut fleet, 1, 4, State::Suspect);
    assert_eq!(fleet.owner(key), Some(instance(4)));
    receive_record(&mut fleet, 1, 4, State::Dead);
    assert_ne!(fleet.owner(key), Some(instance(4)));
}

#[test]
fn an_instance_that_the_list_says_is_leaving_owns_nothing() {
    let mut fleet = fleet(0, 3);
    let mut list: Vec<Entry> = (0..3)
        .map(|i| Entry::new(instance(i), data_centre(i)))
        .collect();
    list[1].leaving = true;
    fleet.set_list(Time::ZERO, &list);
    assert!((0..500).all(|key| fleet.owner(key) != Some(instance(1))));
    assert!(fleet.is_leaving(instance(1)));
}

#[test]
fn a_data_centre_without_members_has_no_owner() {
    let fleet = fleet(0, 2);
    assert_eq!(fleet.owner_in(data_centre(2), 7), None);
    let all: Vec<_> = (0..2).map(instance).collect();
    assert_eq!(fleet.owner_excluding(7, &all), None);
}

proptest! {
    #[test]
    fn only_the_keys_of_a_dead_member_move(
        count in 3_usize..60,
        victim in 1_usize..60,
        keys in proptest::collection::vec(any::<u64>(), 200),
    ) {
        let victim = 1 + victim % (count - 1);
        let before = fleet(0, count);
        let mut after = before.clone();
        let witness = if victim == 1 { 2 } else { 1 };
        receive_record(&mut after, witness, victim, State::Dead);
        for key in keys {
            let expected = match before.owner(key) {
                Some(owner) if owner == instance(victim) => {
                    before.owner_excluding(key, &[instance(victim)])
                }
                owner => owner,
            };
            prop_assert_eq!(after.owner(key), expected);
        }
    }

    #[test]
    fn the_owner_in_a_data_centre_belongs_to_it(count in 3_usize..30, key in any::<u64>()) {
        let fleet = fleet(0, count);
        for index in 0..3 {
            let owner = fleet.owner_in(data_centre(index), key).expect("no owner");
            prop_assert!(fleet.current(owner).is_some_and(|m| m.zone == data_centre(index)));
        }
    }
}
