//! Messages that are duplicated, delayed or reordered: the record of a member must never go back to
//! an earlier run or state.

mod net;

use std::cmp::Ordering;
use std::collections::BTreeMap;

use fleet::Fleet;
use fleet::Member;
use fleet::Message;
use fleet::Settings;
use fleet::member::State;
use ident::Instance;
use ident::Time;
use net::entries;
use net::instance;
use net::member;
use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::sample::Index;

/// Number of daemons, including the receiver.
const COUNT: usize = 4;
/// Runs of each daemon.
const RUNS: u64 = 3;

/// A record of a member other than the receiver.
fn record() -> impl Strategy<Value = Member> {
    let state = prop_oneof![
        4 => Just(State::Alive),
        2 => Just(State::Leaving),
        2 => Just(State::Suspect),
        1 => Just(State::Dead),
    ];
    (1..COUNT, 0..RUNS, 0_u32..4, state).prop_map(|(index, run, version, state)| Member {
        version,
        ..member(index, run).with_state(state)
    })
}

/// A message of a member that begins with its own record in state `Alive`.
fn message() -> impl Strategy<Value = (Instance, Message)> {
    let head = (1..COUNT, 0..RUNS, 0_u32..4);
    (head, vec(record(), 0..4)).prop_map(|((index, run, version), mut news)| {
        let sender = Member {
            version,
            ..member(index, run)
        };
        news.insert(0, sender);
        (instance(index), Message::Page { news })
    })
}

/// Compares a record of an instance with an earlier one.
fn compare(now: &Member, before: &Member) -> Ordering {
    let rank = |record: &Member| (record.state == State::Dead, record.version, record.state);
    now.run_order(before)
        .then_with(|| rank(now).cmp(&rank(before)))
}

/// The daemon's records of the other instances.
fn records(fleet: &Fleet) -> BTreeMap<Instance, Member> {
    let others = (1..COUNT).map(instance);
    let held = others.filter_map(|name| Some((name, *fleet.current(name)?)));
    held.collect()
}

fn receiver() -> Fleet {
    let mut fleet = Fleet::new(member(0, 0), Settings::default(), 1);
    fleet.set_list(Time::ZERO, &entries(0..COUNT));
    fleet
}

proptest! {
    #[test]
    fn no_record_goes_back_to_an_earlier_run_or_state(
        messages in vec(message(), 1..24),
        arrivals in vec(any::<Index>(), 1..80),
    ) {
        let mut fleet = receiver();
        for arrival in arrivals {
            let (from, message) = arrival.get(&messages);
            let before = records(&fleet);
            fleet.receive(Time::ZERO, *from, message);
            let now = records(&fleet);
            for (name, record) in before {
                prop_assert!(now.contains_key(&name), "forgotten: {record:?}");
                prop_assert!(compare(&now[&name], &record).is_ge(), "{record:?} became {:?}", now[&name]);
            }
        }
    }

    #[test]
    fn messages_repeated_in_any_order_change_nothing(
        messages in vec(message(), 1..24),
        again in vec(any::<Index>(), 1..40),
    ) {
        let mut fleet = receiver();
        for (from, message) in &messages {
            fleet.receive(Time::ZERO, *from, message);
        }
        let before = records(&fleet);
        for arrival in again {
            let (from, message) = arrival.get(&messages);
            fleet.receive(Time::ZERO, *from, message);
        }
        prop_assert_eq!(records(&fleet), before);
    }
}
