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
