//! Daemons that were paused or restarted.

mod net;

use std::time::Duration;

use fleet::Fleet;
use fleet::Message;
use fleet::Output;
use fleet::Settings;
use fleet::member::State;
use ident::Time;
use net::SECOND;
use net::converged;
use net::entries;
use net::instance;
use net::member;
use rstest::rstest;

#[test]
fn a_paused_daemon_learns_that_it_was_declared_dead_and_declares_nobody_dead() {
    let mut net = converged(9, 9);
    net.pause(3);
    net.run(SECOND * 10);
    assert_eq!(net.dead_at(net.fleet(3).local_member().incarnation), 8);
    assert!(
        net.fleet(3).paused(net.now),
        "the pause must be detected before any step"
    );
    net.changes.clear();
    net.resume(3);
    net.run(SECOND);
    assert!(net.fleet(3).declared_dead());
    assert!(
        !net.fleet(3)
            .serving()
            .any(|member| member.instance == instance(3))
    );
    let declared = net
        .changes
        .iter()
        .filter(|change| change.observer == 3 && change.member.instance != instance(3));
    assert_eq!(
        declared
            .filter(|change| change.member.state == State::Dead)
            .count(),
        0
    );
}

#[rstest]
fn a_pause_shorter_than_the_suspicion_is_survived(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut net = converged(9, seed);
    net.pause(3);
    net.run(Duration::from_millis(600));
    net.resume(3);
    assert!(net.fleet(3).paused(net.now));
    net.run(SECOND);
    assert!(!net.fleet(3).paused(net.now));
    assert!(!net.fleet(3).declared_dead());
    net.run(SECOND * 3);
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
fn messages_buffered_during_a_pause_do_not_end_it() {
    let settings = Settings::default();
    let mut fleet = Fleet::new(member(0, 0), settings, 1);
    let mut out = Vec::new();
    fleet.set_list(Time::ZERO, &entries(0..2));
    fleet.step(Time::ZERO, &mut out);
    let hello = Message::Ping {
        seq: 1,
        news: vec![member(1, 0)],
    };
    fleet.receive(Time::from_millis(10), instance(1), &hello);
    fleet.step(Time::from_millis(10), &mut out);
    let before = pings(&out);
    let resumed = Time::from_millis(9_000);
    assert!(fleet.paused(resumed));
    for seq in before {
        fleet.receive(
            resumed,
            instance(1),
            &Message::Ack {
                seq,
                news: vec![member(1, 0)],
            },
        );
    }
    fleet.receive(resumed, instance(1), &hello);
    assert!(fleet.paused(resumed));
    out.clear();
    fleet.step(resumed, &mut out);
    assert!(fleet.paused(resumed));
    let seq = *pings(&out).last().expect("no ping after the pause");
    fleet.receive(
        resumed,
        instance(1),
        &Message::Ack {
            seq,
            news: vec![member(1, 0)],
        },
    );
    assert!(!fleet.paused(resumed));
}

/// Guards against an ack to the previous run that ends a pause. When each run numbered its pings
/// from zero, a late ack to the previous run could have a higher number than any ping of a daemon
/// that was restarted and then paused, and passed for the answer to a ping sent after the pause.
/// The daemon then made decisions again without contact with its peers.
#[test]
fn an_ack_to_a_ping_that_this_run_never_sent_does_not_end_a_pause() {
    let mut fleet = Fleet::new(member(0, 0), Settings::default(), 1);
    let mut out = Vec::new();
    fleet.set_list(Time::ZERO, &entries(0..2));
    fleet.step(Time::ZERO, &mut out);
    let news = vec![member(1, 0)];
    let hello = Message::Ping {
        seq: 1,
        news: news.clone(),
    };
    fleet.receive(Time::from_millis(10), instance(1), &hello);
    fleet.step(Time::from_millis(10), &mut out);
    let resumed = Time::from_millis(9_000);
    fleet.step(resumed, &mut out);
    let seq = pings(&out).into_iter().max().expect("no ping was sent") + 1;
    fleet.receive(resumed, instance(1), &Message::Ack { seq, news });
    assert!(fleet.paused(resumed));
}

fn pings(out: &[Output]) -> Vec<u32> {
    let pings = out.iter().filter_map(|output| match output {
        Output::Send {
            message: Message::Ping { seq, .. },
            ..
        } => Some(*seq),
        _ => None,
    });
    pings.collect()
}

#[test]
fn a_lone_daemon_is_never_paused_and_owns_all_keys() {
    let mut fleet = Fleet::new(member(0, 0), Settings::default(), 1);
    let mut out = Vec::new();
    fleet.step(Time::ZERO, &mut out);
    assert!(!fleet.paused(Time::from_millis(90_000)));
    assert_eq!(fleet.owner(5), Some(instance(0)));
    assert_eq!(fleet.listed_count(), 1);
    assert_eq!(fleet.heard_since_count(Time::ZERO), 1);
}

#[test]
fn a_newer_run_of_the_same_instance_ends_this_one() {
    let mut fleet = Fleet::new(member(0, 0), Settings::default(), 1);
    let news = vec![member(1, 0), member(0, 1)];
    fleet.receive(Time::ZERO, instance(1), &Message::Page { news });
    assert!(fleet.declared_dead());
}

#[test]
fn a_removed_run_still_receives_its_death_record() {
    let mut net = converged(3, 2);
    net.pause(2);
    net.run(SECOND * 5);
    net.set_list(&entries(0..2));
    net.run(SECOND);
    assert_eq!(net.fleet(0).current(instance(2)), None);
    net.resume(2);
    net.run(SECOND);
    assert!(net.fleet(2).declared_dead());
}
