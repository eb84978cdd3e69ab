//! Messages that come twice, late or in another order than they were sent: belief never goes back to an earlier run or
//! an earlier state of a member.

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

/// Daemons, the one that receives among them.
const COUNT: usize = 4;
/// Runs of each of them.
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

/// A message of a member, which tells of itself as alive first.
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

/// How a belief about an instance compares with an earlier one.
fn order(now: &Member, before: &Member) -> Ordering {
    let rank = |held: &Member| (held.state == State::Dead, held.version, held.state);
    now.run_order(before)
        .then_with(|| rank(now).cmp(&rank(before)))
}

/// What the daemon holds of each other instance.
fn beliefs(fleet: &Fleet) -> BTreeMap<Instance, Member> {
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
    fn belief_never_goes_back(
        messages in vec(message(), 1..24),
        arrivals in vec(any::<Index>(), 1..80),
    ) {
        let mut fleet = receiver();
        for arrival in arrivals {
            let (from, message) = arrival.get(&messages);
            let before = beliefs(&fleet);
            fleet.receive(Time::ZERO, *from, message);
            let now = beliefs(&fleet);
            for (name, held) in before {
                prop_assert!(now.contains_key(&name), "forgotten: {held:?}");
                prop_assert!(order(&now[&name], &held).is_ge(), "{held:?} became {:?}", now[&name]);
            }
        }
    }

    #[test]
    fn messages_that_come_again_in_any_order_change_nothing(
        messages in vec(message(), 1..24),
        again in vec(any::<Index>(), 1..40),
    ) {
        let mut fleet = receiver();
        for (from, message) in &messages {
            fleet.receive(Time::ZERO, *from, message);
        }
        let before = beliefs(&fleet);
        for arrival in again {
            let (from, message) = arrival.get(&messages);
            fleet.receive(Time::ZERO, *from, message);
        }
        prop_assert_eq!(beliefs(&fleet), before);
    }
}
