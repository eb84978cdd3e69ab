//! An answer to a ping was known by its number alone. Numbers begin anew with each run of a daemon, so an answer to the
//! run before was taken for one to the present run; and where an instance was gone and another one had its address, the
//! answer of that one counted as the answer of the first.

mod net;

use fleet::Fleet;
use fleet::Message;
use fleet::Output;
use fleet::Settings;
use fleet::member::State;
use ident::Instance;
use ident::Time;
use net::entries;
use net::instance;
use net::member;
use rstest::rstest;

/// Daemons that know each other.
const COUNT: usize = 3;
/// When the first probe is sent, after the others were heard.
const ASKED: Time = Time::from_millis(1);

/// A daemon that has heard of all others and has taken one step.
fn greeted(seed: u64) -> (Fleet, Vec<Output>) {
    let mut fleet = Fleet::new(member(0, 0), Settings::default(), seed);
    fleet.set_list(Time::ZERO, &entries(0..COUNT));
    for index in 1..COUNT {
        let news = vec![member(index, 0)];
        fleet.receive(Time::ZERO, instance(index), &Message::Page { news });
    }
    let mut out = Vec::new();
    fleet.step(ASKED, &mut out);
    (fleet, out)
}

/// Numbers of the pings in `out`, and to whom they go.
fn pings(out: &[Output]) -> Vec<(Instance, u32)> {
    let pings = out.iter().filter_map(|output| match output {
        Output::Send {
            to,
            message: Message::Ping { seq, .. },
        } => Some((*to, *seq)),
        _ => None,
    });
    pings.collect()
}

/// The last number under which `fleet` asks in `periods` periods, from `start` on.
fn last_number(fleet: &mut Fleet, start: Time, periods: u32) -> u32 {
    let end = start + Settings::default().period * periods;
    let mut out = Vec::new();
    let mut next = start;
    while next < end {
        next = fleet.step(next, &mut out);
    }
    pings(&out).last().unwrap().1
}

/// The index of an instance.
fn index_of(name: Instance) -> usize {
    (0..COUNT).find(|index| instance(*index) == name).unwrap()
}

fn ack(from: usize, seq: u32) -> Message {
    let news = vec![member(from, 0)];
    Message::Ack { seq, news }
}

/// Runs the daemon until it judges its first probe; whether it suspects `target` then.
fn suspects(fleet: &mut Fleet, target: Instance) -> bool {
    let end = ASKED + Settings::default().period;
    let mut next = ASKED;
    while next <= end {
        next = fleet.step(next, &mut Vec::new());
    }
    let held = fleet.current(target).map(|held| held.state);
    held == Some(State::Suspect)
}

#[rstest]
fn the_answer_of_another_instance_is_not_that_of_the_one_asked(#[values(1, 2, 3, 4)] seed: u64) {
    let (mut fleet, out) = greeted(seed);
    let (target, seq) = pings(&out)[0];
    let other = (1..COUNT).find(|index| *index != index_of(target)).unwrap();
    fleet.receive(ASKED, instance(other), &ack(other, seq));
    assert!(suspects(&mut fleet, target));
}

#[rstest]
fn the_answer_of_the_one_asked_counts(#[values(1, 2, 3, 4)] seed: u64) {
    let (mut fleet, out) = greeted(seed);
    let (target, seq) = pings(&out)[0];
    let answer = ack(index_of(target), seq);
    fleet.receive(ASKED, target, &answer);
    assert!(!suspects(&mut fleet, target));
}

#[rstest]
fn the_answer_through_a_helper_counts(#[values(1, 2, 3, 4)] seed: u64) {
    let (mut fleet, out) = greeted(seed);
    let (target, _) = pings(&out)[0];
    let helper = (1..COUNT).find(|index| *index != index_of(target)).unwrap();
    let asked = ASKED + Settings::default().direct_timeout;
    let mut out = Vec::new();
    fleet.step(asked, &mut out);
    let number = out.iter().find_map(|output| match output {
        Output::Send {
            to,
            message: Message::Probe { seq, .. },
        } if *to == instance(helper) => Some(*seq),
        _ => None,
    });
    fleet.receive(asked, instance(helper), &ack(helper, number.unwrap()));
    assert!(!suspects(&mut fleet, target));
}

/// A daemon that stood still judges nobody until it was answered again. What a peer answered to the run before may still
/// lie in the sockets.
#[rstest]
fn an_answer_to_the_run_before_does_not_end_a_pause(#[values(1, 2, 3, 4)] seed: u64) {
    let (mut former, _) = greeted(seed);
    let old = last_number(&mut former, ASKED, 20);
    let mut fleet = Fleet::new(member(0, 1), Settings::default(), seed);
    fleet.set_list(Time::ZERO, &entries(0..COUNT));
    fleet.step(Time::ZERO, &mut Vec::new());
    let woken = Time::from_millis(5_000);
    fleet.receive(woken, instance(1), &ack(1, old));
    assert!(fleet.paused(woken));
    let own = last_number(&mut fleet, woken, 1);
    let answered = woken + Settings::default().period;
    fleet.receive(answered, instance(1), &ack(1, own));
    assert!(!fleet.paused(answered));
}
