//! Membership changes in a simulated network.

mod net;

use std::time::Duration;

use fleet::Fleet;
use fleet::Member;
use fleet::Message;
use fleet::Settings;
use fleet::member::State;
use ident::Instance;
use ident::Time;
use net::Net;
use net::SECOND;
use net::converged;
use net::entries;
use net::instance;
use net::member;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use rstest::rstest;

#[rstest]
#[case(1, 1)]
#[case(2, 1)]
#[case(9, 2)]
#[case(100, 5)]
fn a_cold_start_converges(#[case] count: usize, #[case] seconds: u32) {
    let mut net = Net::new(count, 7);
    assert!(net.run_until(SECOND * seconds, Net::all_agree).is_some());
    net.run(SECOND * 5);
    assert!(net.all_agree());
    assert!(
        net.changes
            .iter()
            .all(|change| change.member.state == State::Alive)
    );
}

#[test]
fn a_new_member_is_known_and_knows_all_within_two_seconds() {
    let mut net = converged(100, 3);
    net.kill(5);
    net.run(SECOND * 10);
    net.restart(5, 1);
    assert!(net.run_until(SECOND * 2, Net::all_agree).is_some());
}

#[rstest]
fn a_dead_daemon_among_nine_is_detected_in_time(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut net = converged(9, seed);
    net.run(Duration::from_millis(seed * 37));
    let victim = net.fleet(4).local_member().incarnation;
    net.kill(4);
    let limit = Duration::from_millis(2_500);
    let found = net.run_until(limit, |net| net.dead_at(victim) == 8);
    assert!(found.is_some(), "not dead everywhere after {limit:?}");
    assert_eq!(
        net.changes
            .iter()
            .filter(|change| change.member.state == State::Dead)
            .count(),
        8
    );
}

#[test]
fn a_suspected_daemon_refutes_the_suspicion() {
    let mut net = converged(9, 4);
    let target = *net.fleet(3).local_member();
    let suspicion = target.with_state(State::Suspect);
    net.with_fleet(0, |fleet, now| {
        let sender = *fleet.current(instance(1)).expect("member must be known");
        let message = Message::Page {
            news: vec![sender, suspicion],
        };
        fleet.receive(now, instance(1), &message);
        assert_eq!(fleet.state(target.incarnation), Some(State::Suspect));
    });
    net.run(SECOND * 3);
    for index in 0..9 {
        let record = net
            .fleet(index)
            .by_incarnation(target.incarnation)
            .expect("member must be known");
        assert_eq!(record.state, State::Alive);
        assert_eq!(record.version, target.version + 1);
    }
}

#[test]
fn a_restart_replaces_the_former_run() {
    let mut net = converged(9, 5);
    let previous = net.fleet(2).local_member().incarnation;
    net.restart(2, 1);
    let current = net.fleet(2).local_member().incarnation;
    assert!(net.run_until(SECOND * 2, Net::all_agree).is_some());
    for index in (0..9).filter(|index| *index != 2) {
        assert_eq!(net.fleet(index).state(previous), Some(State::Dead));
        assert_eq!(net.fleet(index).state(current), Some(State::Alive));
        assert_eq!(
            net.fleet(index).current(instance(2)).map(|m| m.incarnation),
            Some(current)
        );
    }
    let ended = net
        .changes
        .iter()
        .filter(|change| change.member.incarnation == previous);
    assert_eq!(
        ended
            .filter(|change| change.member.state == State::Dead)
            .count(),
        8
    );
}

#[test]
fn a_record_of_a_former_run_changes_nothing() {
    let mut net = converged(3, 5);
    net.restart(2, 1);
    net.run(SECOND * 2);
    let current = *net.fleet(2).local_member();
    let previous = member(2, 0).with_state(State::Alive);
    net.with_fleet(0, |fleet, now| {
        fleet.receive(
            now,
            instance(2),
            &Message::Ping {
                seq: 9,
                news: vec![previous],
            },
        );
        assert_eq!(fleet.state(previous.incarnation), Some(State::Dead));
        assert_eq!(fleet.current(instance(2)), Some(&current));
    });
}

#[test]
fn a_leaving_daemon_is_present_but_does_not_serve() {
    let mut net = converged(9, 6);
    net.with_fleet(1, Fleet::leave);
    net.run(SECOND * 2);
    assert!(net.all_agree());
    for index in 0..9 {
        let fleet = net.fleet(index);
        assert_eq!(
            fleet.current(instance(1)).map(|m| m.state),
            Some(State::Leaving)
        );
        assert_eq!(fleet.serving().count(), 8);
        assert!((0..1_000).all(|key| fleet.owner(key) != Some(instance(1))));
    }
    net.run(SECOND * 30);
    assert!(net.all_agree());
    assert_eq!(
        net.changes
            .iter()
            .filter(|change| change.member.state == State::Dead)
            .count(),
        0
    );
}

#[test]
fn a_suspected_leaving_daemon_stays_leaving() {
    let mut net = converged(9, 6);
    net.with_fleet(1, Fleet::leave);
    net.run(SECOND * 2);
    net.pause(1);
    net.run(Duration::from_millis(700));
    for index in (0..9).filter(|index| *index != 1) {
        assert_eq!(net.fleet(index).serving().count(), 8);
    }
    net.resume(1);
    net.run(SECOND * 2);
    for index in 0..9 {
        assert_eq!(
            net.fleet(index).current(instance(1)).map(|m| m.state),
            Some(State::Leaving)
        );
    }
}

#[test]
fn an_instance_off_the_list_is_forgotten_only_when_it_is_dead() {
    let mut net = converged(9, 8);
    let victim = net.fleet(8).local_member().incarnation;
    net.set_list(&entries(0..8));
    net.run(SECOND * 5);
    assert!(net.all_agree());
    assert_eq!(net.fleet(0).listed_count(), 8);
    net.kill(8);
    net.run(SECOND * 3);
    assert_eq!(net.fleet(0).members().count(), 8);
    assert_eq!(net.fleet(0).state(victim), Some(State::Dead));
}

#[test]
fn a_listed_dead_instance_is_forgotten_when_the_list_drops_it() {
    let mut net = converged(9, 8);
    net.kill(8);
    net.run(SECOND * 3);
    assert_eq!(net.fleet(0).members().count(), 9);
    net.set_list(&entries(0..8));
    assert_eq!(net.fleet(0).members().count(), 8);
}

#[test]
fn a_message_whose_first_record_is_not_its_sender_is_dropped() {
    let mut fleet = Fleet::new(member(0, 0), Settings::default(), 1);
    fleet.receive(
        Time::ZERO,
        instance(1),
        &Message::Ping {
            seq: 1,
            news: Vec::new(),
        },
    );
    let news = vec![member(2, 0)];
    fleet.receive(Time::ZERO, instance(1), &Message::Ping { seq: 1, news });
    assert_eq!(fleet.members().count(), 1);
}

#[test]
fn messages_per_daemon_do_not_grow_with_the_fleet() {
    let rate = |count| {
        let mut net = converged(count, 13);
        net.run(SECOND * 30);
        net.reset_counters();
        net.run(SECOND * 20);
        let max_rate = net.sent.iter().map(|sent| sent.messages).max().unwrap_or(0);
        let total: u64 = net.sent.iter().map(|sent| sent.messages).sum();
        (total as f64 / count as f64 / 20.0, max_rate as f64 / 20.0)
    };
    let (small, _) = rate(9);
    let (large, max_rate) = rate(100);
    assert!(
        (large - small).abs() < 0.5,
        "{small} and {large} messages a second"
    );
    assert!(
        max_rate < 16.0,
        "{max_rate} messages a second at one daemon"
    );
}

#[test]
fn encoded_messages_stay_below_their_bound() {
    let mut full = member(400, 9).with_state(State::Suspect);
    full.version = u32::MAX;
    let news = vec![full; Settings::default().page_records + 1];
    let page = Message::Page { news: news.clone() };
    assert!(net::encoded_len(&page) <= page.max_encoded_bytes());
    assert!(page.max_encoded_bytes() < 1_400, "a page fits a datagram");
    let probe = Message::Probe {
        seq: u32::MAX,
        target: Instance(u64::MAX),
        news,
    };
    assert!(net::encoded_len(&probe) <= probe.max_encoded_bytes());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn running_daemons_agree_again_after_message_loss(
        seed in any::<u64>(),
        count in 2_usize..20,
        loss in 0_u32..50,
    ) {
        let mut net = Net::new(count, seed);
        net.loss_permille = loss;
        net.run(SECOND * 10);
        net.kill(0);
        net.run(SECOND * 10);
        net.restart(0, 1);
        net.run(SECOND * 10);
        net.loss_permille = 0;
        net.run(SECOND * 10);
        // Daemons that were declared dead because of message loss know it; the others agree.
        for index in 0..count {
            let me = net.fleet(index).local_member().incarnation;
            prop_assert_eq!(net.fleet(index).declared_dead(), net.dead_at(me) > 0);
        }
        let remaining: Vec<usize> = (0..count).filter(|i| !net.fleet(*i).declared_dead()).collect();
        for index in &remaining {
            prop_assert_eq!(net.fleet(*index).alive().count(), remaining.len());
        }
    }

    #[test]
    fn no_dead_run_comes_back_and_no_version_decreases(seed in any::<u64>(), loss in 0_u32..300) {
        let mut net = Net::new(7, seed);
        net.loss_permille = loss;
        net.run(SECOND * 5);
        // The restarted daemon starts with an empty view, so its earlier changes are ignored.
        net.changes.retain(|change| change.observer != 1);
        net.restart(1, 1);
        net.run(SECOND * 5);
        net.kill(2);
        net.run(SECOND * 10);
        for by in 0..7 {
            let mut last = std::collections::BTreeMap::new();
            for change in net.changes.iter().filter(|change| change.observer == by) {
                let member = change.member;
                let before = last.insert(member.incarnation, member);
                if let Some(before) = before {
                    prop_assert!(before.state != State::Dead, "came back: {:?}", change);
                    prop_assert!(member.version >= before.version);
                }
            }
        }
    }
}

/// Guards against a record that leaves no later version to refute it with.
#[test]
fn a_suspicion_at_the_last_version_does_not_end_the_daemon() {
    let mut fleet = Fleet::new(member(0, 0), Settings::default(), 1);
    fleet.set_list(Time::ZERO, &entries(0..2));
    let suspect = Member {
        version: u32::MAX,
        ..member(0, 0).with_state(State::Suspect)
    };
    let news = vec![member(1, 0), suspect];
    fleet.receive(Time::ZERO, instance(1), &Message::Page { news });
    fleet.leave(Time::ZERO);
    fleet.step(Time::from_millis(1), &mut Vec::new());
    assert_eq!(fleet.local_member().version, u32::MAX);
}
