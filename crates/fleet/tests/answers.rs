//! Matching of acks to pings. When acks were matched by sequence number alone, and each run started
//! at the same number, an ack to the previous run of a daemon counted for the current run, and an
//! ack from an instance that had taken over the target's address counted as the target's.

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

/// Number of daemons.
const COUNT: usize = 3;
/// When the first probe is sent, after messages from all others.
const FIRST_STEP: Time = Time::from_millis(1);

/// A daemon that knows all others, and the outputs of its first step.
fn fleet_with_pings(seed: u64) -> (Fleet, Vec<Output>) {
    let mut fleet = Fleet::new(member(0, 0), Settings::default(), seed);
    fleet.set_list(Time::ZERO, &entries(0..COUNT));
    for index in 1..COUNT {
        let news = vec![member(index, 0)];
        fleet.receive(Time::ZERO, instance(index), &Message::Page { news });
    }
    let mut out = Vec::new();
    fleet.step(FIRST_STEP, &mut out);
    (fleet, out)
}

/// Targets and sequence numbers of the pings in `out`.
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

/// The sequence number of the last ping that `fleet` sends in `periods` periods from `start`.
fn last_ping_seq(fleet: &mut Fleet, start: Time, periods: u32) -> u32 {
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

/// Runs the daemon to the end of its first probe; returns whether it then suspects `target`.
fn suspects(fleet: &mut Fleet, target: Instance) -> bool {
    let end = FIRST_STEP + Settings::default().period;
    let mut next = FIRST_STEP;
    while next <= end {
        next = fleet.step(next, &mut Vec::new());
    }
    let record = fleet.current(target).map(|record| record.state);
    record == Some(State::Suspect)
}

#[rstest]
fn an_ack_from_another_instance_is_ignored(#[values(1, 2, 3, 4)] seed: u64) {
    let (mut fleet, out) = fleet_with_pings(seed);
    let (target, seq) = pings(&out)[0];
    let other = (1..COUNT).find(|index| *index != index_of(target)).unwrap();
    fleet.receive(FIRST_STEP, instance(other), &ack(other, seq));
    assert!(suspects(&mut fleet, target));
}

#[rstest]
fn an_ack_from_the_target_counts(#[values(1, 2, 3, 4)] seed: u64) {
    let (mut fleet, out) = fleet_with_pings(seed);
    let (target, seq) = pings(&out)[0];
    let answer = ack(index_of(target), seq);
    fleet.receive(FIRST_STEP, target, &answer);
    assert!(!suspects(&mut fleet, target));
}

#[rstest]
fn an_ack_through_a_helper_counts(#[values(1, 2, 3, 4)] seed: u64) {
    let (mut fleet, out) = fleet_with_pings(seed);
    let (target, _) = pings(&out)[0];
    let helper = (1..COUNT).find(|index| *index != index_of(target)).unwrap();
    let indirect_step = FIRST_STEP + Settings::default().direct_timeout;
    let mut out = Vec::new();
    fleet.step(indirect_step, &mut out);
    let probe_seq = out.iter().find_map(|output| match output {
        Output::Send {
            to,
            message: Message::Probe { seq, .. },
        } if *to == instance(helper) => Some(*seq),
        _ => None,
    });
    fleet.receive(
        indirect_step,
        instance(helper),
        &ack(helper, probe_seq.unwrap()),
    );
    assert!(!suspects(&mut fleet, target));
}

/// A paused daemon must not declare others dead until it is answered again, and acks to its
/// previous run may still be buffered in the sockets.
#[rstest]
fn an_ack_to_the_previous_run_does_not_end_a_pause(#[values(1, 2, 3, 4)] seed: u64) {
    let (mut previous, _) = fleet_with_pings(seed);
    let previous_seq = last_ping_seq(&mut previous, FIRST_STEP, 20);
    let mut fleet = Fleet::new(member(0, 1), Settings::default(), seed);
    fleet.set_list(Time::ZERO, &entries(0..COUNT));
    fleet.step(Time::ZERO, &mut Vec::new());
    let resumed = Time::from_millis(5_000);
    fleet.receive(resumed, instance(1), &ack(1, previous_seq));
    assert!(fleet.paused(resumed));
    let own_seq = last_ping_seq(&mut fleet, resumed, 1);
    let answered = resumed + Settings::default().period;
    fleet.receive(answered, instance(1), &ack(1, own_seq));
    assert!(!fleet.paused(answered));
}
