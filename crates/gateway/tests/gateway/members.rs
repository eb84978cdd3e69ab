//! Which daemons a daemon counts as members.

use std::time::Duration;

use fleet::Member;
use fleet::Message;
use fleet::member::State;
use gateway::instance_info::InstanceInfo;
use gateway::members::Members;
use ident::Incarnation;
use ident::Time;
use ident::Zone;

fn card(number: u8) -> InstanceInfo {
    InstanceInfo {
        name: format!("entry-{number}"),
        data_centre: Zone::new("here"),
        callers: ([127, 0, 0, number], 1).into(),
        peers: ([127, 0, 0, number], 2).into(),
        capacity: 1_000,
    }
}

#[test]
fn a_daemon_is_no_majority_before_it_has_the_instance_list() {
    let mut members = Members::new(card(1));
    members.join(Time::ZERO, 1);
    assert!(!members.is_majority(Time::ZERO));
    members.set_listed(Time::ZERO, &[card(1)]);
    assert!(members.is_majority(Time::ZERO));
}

#[test]
fn listed_daemons_without_contact_count_against_the_majority() {
    let mut members = Members::new(card(1));
    members.set_listed(Time::ZERO, &[card(1), card(2), card(3)]);
    members.join(Time::ZERO, 1);
    // For some seconds the other daemons may still make contact.
    assert!(members.is_majority(Time::ZERO));
    let later = Time::ZERO + Duration::from_secs(10);
    members.step(later);
    assert!(!members.is_majority(later));
    // After this time they no longer count as members.
    let much_later = Time::ZERO + Duration::from_mins(20);
    members.step(much_later);
    assert!(members.is_majority(much_later));
}

/// Guards against a daemon that exceeds quotas because it counts lost members as reachable for some
/// seconds after its start.
#[test]
fn members_lost_shortly_after_joining_count_against_the_majority() {
    let mut members = Members::new(card(1));
    members.set_listed(Time::ZERO, &[card(1)]);
    members.join(Time::ZERO, 1);
    let record = |number: u8| {
        let instance = card(number).instance();
        Member::new(instance, Incarnation(number.into()), 1, Zone::new("here"))
    };
    let (second, third) = (record(2), record(3));
    let page = |news: &[Member]| Message::Page {
        news: news.to_vec(),
    };
    let now = Time::from_millis(500);
    members.receive(now, &card(2), &page(&[second, third]));
    members.step(now);
    assert!(members.is_majority(now));
    let now = Time::from_millis(2_000);
    members.receive(
        now,
        &card(2),
        &page(&[second, third.with_state(State::Dead)]),
    );
    members.receive(
        now,
        &card(3),
        &page(&[third, second.with_state(State::Dead)]),
    );
    members.step(now);
    assert!(!members.is_majority(now));
}

/// The poller serves all daemons of its data centre: a small instance would fall behind.
#[test]
fn the_poller_is_a_large_instance() {
    let sized = |number: u8, capacity: u32| InstanceInfo {
        capacity,
        ..card(number)
    };
    let large = sized(200, 1_000);
    let mut listed: Vec<InstanceInfo> = (1..100).map(|number| sized(number, 120)).collect();
    listed.push(large.clone());
    let mut members = Members::new(sized(1, 120));
    members.set_listed(Time::ZERO, &listed);
    members.join(Time::ZERO, 1);
    assert_eq!(members.poller(), Some(large.peers));
    let mut members = Members::new(large);
    members.set_listed(Time::ZERO, &listed);
    members.join(Time::ZERO, 1);
    assert_eq!(members.poller(), None);
}

/// A daemon that knows a second instance, which has left and is dead, and the record of its last run.
fn members_without_second() -> (Members, Member) {
    let mut members = Members::new(card(1));
    members.set_listed(Time::ZERO, &[card(1), card(2)]);
    members.join(Time::ZERO, 1);
    let second = Member::new(card(2).instance(), Incarnation(2), 1, Zone::new("here"));
    for state in [State::Alive, State::Leaving, State::Dead] {
        receive_from_third(&mut members, second.with_state(state));
    }
    members.set_listed(Time::from_millis(1_000), &[card(1)]);
    (members, second)
}

/// Hands a third instance's record of `member` to `members`.
fn receive_from_third(members: &mut Members, member: Member) {
    let now = Time::from_millis(1_000);
    let third = Member::new(card(3).instance(), Incarnation(3), 1, Zone::new("here"));
    let page = Message::Page {
        news: vec![third, member],
    };
    members.receive(now, &card(3), &page);
    members.step(now);
}

fn is_advertised(members: &Members, number: u8) -> bool {
    let advertised = members.advertised();
    let mut addresses = advertised.iter().map(|endpoint| endpoint.address);
    addresses.any(|address| address == card(number).callers)
}

/// Guards against a store that comes back from a copy and has the row of an instance again that left since: callers would
/// get the address of an instance that does not run, and keys would belong to it.
#[test]
fn a_row_from_a_copy_does_not_bring_an_instance_back_that_left() {
    let (mut members, second) = members_without_second();
    let now = Time::from_millis(2_000);
    members.set_listed(now, &[card(1), card(2), card(3)]);
    receive_from_third(&mut members, second);
    members.step(now);
    assert!(members.has_left(card(2).instance()));
    assert!(!is_advertised(&members, 2) && is_advertised(&members, 3));
    assert_eq!(members.alive_count(), 2);
    assert!((0..100).all(|key| members.rank(key, 1)[0].0 != card(2).instance()));
}

/// Guards against removing the row of an instance that runs.
#[test]
fn an_instance_that_leaves_counts_as_left_only_until_it_runs_again() {
    let (mut members, second) = members_without_second();
    let again = Member {
        incarnation: Incarnation(20),
        started: second.started + 1,
        ..second
    };
    receive_from_third(&mut members, again);
    assert!(!members.has_left(card(2).instance()));
    assert!(is_advertised(&members, 2));
    // One that is lost without having said that it leaves may come back.
    receive_from_third(&mut members, again.with_state(State::Dead));
    assert!(!members.has_left(card(2).instance()));
}

#[test]
fn a_leaving_instance_counts_as_left_only_once_it_is_dead() {
    let mut members = Members::new(card(1));
    members.join(Time::ZERO, 1);
    let second = Member::new(card(2).instance(), Incarnation(2), 1, Zone::new("here"));
    receive_from_third(&mut members, second.with_state(State::Leaving));
    assert!(!members.has_left(card(2).instance()));
    receive_from_third(&mut members, second.with_state(State::Dead));
    assert!(members.has_left(card(2).instance()));
}

/// Guards against work of the whole fleet that nobody does, or that all do.
#[test]
fn exactly_one_daemon_is_the_keeper_of_a_key() {
    let all = [card(1), card(2), card(3)];
    let keepers = all.iter().filter(|own| {
        let mut members = Members::new((*own).clone());
        members.set_listed(Time::ZERO, &all);
        members.is_keeper(7)
    });
    assert_eq!(keepers.count(), 1);
}

/// The record of the instance `number`, which runs.
fn record(number: u8) -> Member {
    let instance = card(number).instance();
    Member::new(instance, Incarnation(number.into()), 1, Zone::new("here"))
}

/// A settled daemon that knows a second and a third one, and the time of its last step.
fn settled_members() -> (Members, Time) {
    let mut members = Members::new(card(1));
    members.set_listed(Time::ZERO, &[card(1), card(2), card(3)]);
    members.join(Time::ZERO, 1);
    (0..50).for_each(|step| step_beside_others(&mut members, Time::from_millis(step * 100)));
    (members, Time::from_millis(4_900))
}

/// A step at `now`, after both other daemons have shown that they run.
fn step_beside_others(members: &mut Members, now: Time) {
    for number in [2, 3] {
        let news = vec![record(number)];
        members.receive(now, &card(number), &Message::Page { news });
    }
    members.step(now);
}

/// A key of which the first of `numbers` is the keeper, and the second one once that has left.
fn key_kept_by(members: &Members, numbers: [u8; 2]) -> u64 {
    let instances = numbers.map(|number| card(number).instance());
    let ranks = |key: u64| {
        members
            .rank(key, 2)
            .into_iter()
            .map(|(instance, _)| instance)
    };
    (0..1_000).find(|key| ranks(*key).eq(instances)).unwrap()
}

/// Guards against a keeper that adds to its bucket what another keeper has granted while it stood still.
#[test]
fn a_daemon_that_stood_still_is_the_keeper_only_since_then() {
    let (mut members, stopped) = settled_members();
    let key = key_kept_by(&members, [1, 2]);
    let shortly = stopped + Duration::from_millis(100);
    assert!(members.keeper_since(shortly, key) <= Time::from_millis(100));
    let woken = stopped + Duration::from_secs(4);
    // What arrived meanwhile may be read before the next step.
    assert_eq!(members.keeper_since(woken, key), woken);
    step_beside_others(&mut members, woken);
    let later = woken + Duration::from_millis(100);
    assert_eq!(members.keeper_since(later, key), woken);
}

/// Guards against a keeper that was cut off and adds to its bucket what another one has granted meanwhile.
#[test]
fn a_daemon_that_had_no_majority_is_the_keeper_only_since_then() {
    let (mut members, mut now) = settled_members();
    let key = key_kept_by(&members, [1, 2]);
    while members.is_majority(now) {
        now = now + Duration::from_millis(50);
        members.step(now);
    }
    let cut_off = now;
    now = now + Duration::from_millis(50);
    members.step(now);
    for _ in 0..100 {
        now = now + Duration::from_millis(50);
        step_beside_others(&mut members, now);
    }
    assert!(members.is_majority(now));
    assert!(members.keeper_since(now, key) > cut_off);
}

/// Guards against a keeper that adds to its bucket what one before it has granted, which has left again.
#[test]
fn a_daemon_is_the_keeper_only_since_the_one_before_it_has_left() {
    let (mut members, now) = settled_members();
    let (first, second) = (key_kept_by(&members, [1, 2]), key_kept_by(&members, [2, 1]));
    for state in [State::Leaving, State::Dead] {
        let news = vec![record(3), record(2).with_state(state)];
        members.receive(now, &card(3), &Message::Page { news });
        members.step(now);
    }
    assert!(members.is_keeper(first) && members.is_keeper(second));
    assert_eq!(members.keeper_since(now, second), now);
    assert!(members.keeper_since(now, first) <= Time::from_millis(100));
}
