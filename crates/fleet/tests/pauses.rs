//! Daemons that stood still or were started again.

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
fn a_paused_daemon_learns_that_it_was_declared_dead_and_kills_nobody() {
    let mut net = converged(9, 9);
    net.pause(3);
    net.run(SECOND * 10);
    assert_eq!(net.dead_at(net.fleet(3).local_member().incarnation), 8);
    assert!(
        net.fleet(3).paused(net.now),
        "the gap shows before any step"
    );
    net.seen.clear();
    net.resume(3);
    net.run(SECOND);
    assert!(net.fleet(3).declared_dead());
    assert!(
        !net.fleet(3)
            .serving()
            .any(|member| member.instance == instance(3))
    );
    let judged = net
        .seen
        .iter()
        .filter(|seen| seen.by == 3 && seen.member.instance != instance(3));
    assert_eq!(
        judged
            .filter(|seen| seen.member.state == State::Dead)
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
    assert!(net.agreed());
    assert_eq!(
        net.seen
            .iter()
            .filter(|seen| seen.member.state == State::Dead)
            .count(),
        0
    );
}

#[test]
fn messages_that_waited_during_a_pause_do_not_end_it() {
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
    let late = Time::from_millis(9_000);
    assert!(fleet.paused(late));
    for seq in before {
        fleet.receive(
            late,
            instance(1),
            &Message::Ack {
                seq,
                news: vec![member(1, 0)],
            },
        );
    }
    fleet.receive(late, instance(1), &hello);
    assert!(fleet.paused(late));
    out.clear();
    fleet.step(late, &mut out);
    assert!(fleet.paused(late));
    let seq = *pings(&out).last().expect("a ping after the gap");
    fleet.receive(
        late,
        instance(1),
        &Message::Ack {
            seq,
            news: vec![member(1, 0)],
        },
    );
    assert!(!fleet.paused(late));
}

/// A daemon asked its peers who is there, was started again, and was paused soon after. Runs number
/// their pings from zero, so a late answer to the earlier run had a higher number than any ping of
/// the new one, and passed for the answer to a ping sent after the pause: the daemon counted as
/// heard by its peers, and decided again.
#[test]
fn an_answer_to_a_ping_that_this_run_never_sent_does_not_end_a_pause() {
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
    let late = Time::from_millis(9_000);
    fleet.step(late, &mut out);
    let seq = pings(&out).into_iter().max().expect("a ping was sent") + 1;
    fleet.receive(late, instance(1), &Message::Ack { seq, news });
    assert!(fleet.paused(late));
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
fn a_lone_daemon_is_never_paused_and_owns_all() {
    let mut fleet = Fleet::new(member(0, 0), Settings::default(), 1);
    let mut out = Vec::new();
    fleet.step(Time::ZERO, &mut out);
    assert!(!fleet.paused(Time::from_millis(90_000)));
    assert_eq!(fleet.owner(5), Some(instance(0)));
    assert_eq!(fleet.listed_count(), 1);
    assert_eq!(fleet.heard_since_count(Time::ZERO), 1);
}

#[test]
fn a_newer_run_of_the_own_instance_ends_this_one() {
    let mut fleet = Fleet::new(member(0, 0), Settings::default(), 1);
    let news = vec![member(1, 0), member(0, 1)];
    fleet.receive(Time::ZERO, instance(1), &Message::Page { news });
    assert!(fleet.declared_dead());
}

#[test]
fn a_forgotten_run_still_gets_its_verdict() {
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
