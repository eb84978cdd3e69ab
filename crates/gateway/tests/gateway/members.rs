//! Which daemons a daemon counts as members.

use std::time::Duration;

use gateway::instance_info::InstanceInfo;
use gateway::members::Members;
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
