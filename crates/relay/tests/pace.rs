//! Paces of replicas: measurements, and their announcement to other daemons.

mod common;

use std::time::Duration;

use ident::Time;
use relay::claims::incarnation_hash;
use relay::pace::PACE_TTL;
use relay::pace::log_filter::LogFilter;
use relay::pace::meter::StreamMeter;
use relay::pace::publisher::Publisher;
use relay::pace::report::MAX_REPORTS;
use relay::pace::report::Merge;
use relay::pace::report::PaceReport;
use relay::pace::standstill::Standstill;
use relay::pool::Pool;
use relay::replica::Birth;
use relay::replica::Replica;
use relay::replica::Stage;
use relay::server::Key;
use rstest::rstest;

const START: Time = Time::from_millis(100_000);
const USUAL: f64 = 20e-6;
const SLOW: f64 = 32e-6;
const PROMPT: u64 = 5_000;

fn after(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

/// A daemon that knows `count` prefill replicas, numbered from 0.
struct Daemon {
    pool: Pool,
    publisher: Publisher,
}

impl Daemon {
    fn new(count: usize) -> Self {
        Self {
            pool: common::pool(START, common::engines(count, Stage::Prefill, 32)),
            publisher: Publisher::new(),
        }
    }

    fn key(&self, replica: usize) -> Key {
        self.pool.key_of(hash(replica)).unwrap()
    }

    fn measure(&mut self, now: Time, replica: usize, seconds: f64) {
        let key = self.key(replica);
        let took = Duration::from_secs_f64(seconds * PROMPT as f64);
        self.pool.measure_prefill(now, key, took, PROMPT).unwrap();
        self.publisher.note_measured(key);
    }

    fn pace(&self, now: Time, replica: usize) -> Option<f64> {
        self.pool.token_pace(now, self.key(replica))
    }

    fn announce(&mut self, now: Time) -> Vec<PaceReport> {
        self.publisher.due(now, &mut self.pool)
    }

    fn receive(&mut self, now: Time, reports: &[PaceReport]) {
        for report in reports {
            self.pool.merge_pace(now, report);
        }
    }
}

fn hash(replica: usize) -> u64 {
    incarnation_hash(&replica.to_string(), None)
}

fn report(replica: usize, us_per_token: u16, age_ds: u16) -> PaceReport {
    PaceReport {
        replica: hash(replica),
        stage: Stage::Prefill,
        us_per_token,
        age_ds,
    }
}

fn is_close(pace: Option<f64>, expected: f64) -> bool {
    pace.is_some_and(|pace| (pace / expected - 1.0).abs() < 0.05)
}

/// A burst of a neighbour makes one prefill slow; a replica that is slow now shows it each time.
#[test]
fn one_slow_prefill_is_damped_and_a_faster_one_counts_fully() {
    let mut daemon = Daemon::new(1);
    daemon.measure(START, 0, USUAL);
    daemon.measure(after(100), 0, 5.0 * USUAL);
    assert!(is_close(daemon.pace(after(100), 0), 3.0 * USUAL));
    daemon.measure(after(200), 0, USUAL);
    assert!(is_close(daemon.pace(after(200), 0), USUAL));
    for ms in [300, 400, 500, 600] {
        daemon.measure(after(ms), 0, 8.0 * USUAL);
    }
    assert!(daemon.pace(after(600), 0).unwrap() > 7.0 * USUAL);
}

#[rstest]
#[case::short_prompt(100, 10)]
#[case::no_time(5_000, 0)]
fn prefills_that_do_not_tell_the_pace_are_not_measured(#[case] tokens: u64, #[case] ms: u64) {
    let mut daemon = Daemon::new(1);
    let took = Duration::from_millis(ms);
    let key = daemon.key(0);
    assert!(
        daemon
            .pool
            .measure_prefill(START, key, took, tokens)
            .is_none()
    );
    assert!(
        daemon
            .pool
            .measure_decode(START, key, took, tokens)
            .is_none()
    );
    assert!(daemon.pace(START, 0).is_none());
}

#[rstest]
#[case(0.0)]
#[case(-1.0)]
#[case(f64::NAN)]
#[case(f64::INFINITY)]
fn impossible_paces_are_not_recorded(#[case] seconds: f64) {
    let mut daemon = Daemon::new(1);
    let key = daemon.key(0);
    daemon.pool.record_token_pace(START, key, seconds);
    assert!(daemon.pace(START, 0).is_none());
}

/// Events of `tokens` at the given times, in milliseconds; returns the measured milliseconds per
/// token.
fn measured(meter: &mut StreamMeter, standstill: &Standstill, times: &[u64]) -> Vec<u64> {
    let measured = times
        .iter()
        .filter_map(|ms| meter.record(after(*ms), 10, standstill));
    let per_token = measured.map(|(took, tokens)| took.as_millis() as u64 / tokens);
    per_token.collect()
}

#[test]
fn a_stream_is_measured_from_its_first_event_on_while_it_goes_on() {
    let standstill = Standstill::new(Duration::from_millis(200));
    let usual: Vec<u64> = (0..=5).map(|event| 1_000 + event * 100).collect();
    let slow: Vec<u64> = (1..=3).map(|event| 1_500 + event * 200).collect();
    let mut meter = StreamMeter::new();
    let all = measured(&mut meter, &standstill, &[usual, slow].concat());
    assert_eq!(all, [10, 20]);
}

#[test]
fn a_stream_whose_caller_reads_slowly_is_not_measured() {
    let standstill = Standstill::new(Duration::from_millis(200));
    let mut meter = StreamMeter::new();
    assert!(measured(&mut meter, &standstill, &[0, 200]).is_empty());
    meter.stop();
    assert!(measured(&mut meter, &standstill, &[900, 2_000, 4_000]).is_empty());
}

/// After a freeze, the events that waited arrive at once: neither the time of the freeze nor these
/// events show how fast the replica is.
#[test]
fn a_stream_is_not_measured_across_a_standstill_of_the_process() {
    let mut standstill = Standstill::new(Duration::from_millis(200));
    let mut meter = StreamMeter::new();
    for tick in 0..4 {
        standstill.tick(after(tick * 100));
    }
    assert!(measured(&mut meter, &standstill, &[0, 100, 200, 300]).is_empty());
    // The events are read before the periodic task runs.
    assert!(measured(&mut meter, &standstill, &[2_000, 2_001, 2_002]).is_empty());
    standstill.tick(after(2_003));
    assert!(measured(&mut meter, &standstill, &[2_004, 2_005, 2_100]).is_empty());
    for tick in 1..10 {
        standstill.tick(after(2_003 + tick * 100));
    }
    let later: Vec<u64> = (0..=6).map(|event| 2_300 + event * 100).collect();
    assert_eq!(measured(&mut meter, &standstill, &later), [10]);
}

#[test]
fn standstills_are_found_before_and_after_the_next_tick() {
    let mut standstill = Standstill::new(Duration::from_millis(200));
    assert!(!standstill.occurred_since(after(5_000), START));
    standstill.tick(START);
    assert!(!standstill.occurred_since(after(150), START));
    assert!(standstill.occurred_since(after(900), after(890)));
    standstill.tick(after(900));
    assert!(standstill.occurred_since(after(950), after(800)));
    assert!(standstill.occurred_since(after(1_050), after(1_000)));
    standstill.tick(after(1_000));
    standstill.tick(after(1_100));
    assert!(!standstill.occurred_since(after(1_200), after(1_150)));
}

#[test]
fn a_pace_lapses() {
    let mut daemon = Daemon::new(1);
    daemon.measure(START, 0, SLOW);
    let last = START + PACE_TTL;
    assert!(daemon.pace(last - Duration::from_millis(1), 0).is_some());
    assert!(daemon.pace(last, 0).is_none());
}

#[test]
fn nothing_is_announced_while_replicas_are_alike() {
    let mut daemon = Daemon::new(4);
    assert!(daemon.announce(START).is_empty());
    for (replica, factor) in [1.0, 1.1, 1.19, 1.05].into_iter().enumerate() {
        daemon.measure(after(10), replica, factor * USUAL);
    }
    for second in 1..70 {
        assert!(daemon.announce(after(second * 1_000)).is_empty());
    }
}

/// Peers that were told of a difference have to learn that it is over.
#[test]
fn announcements_go_on_until_announced_differences_have_lapsed() {
    let mut daemon = Daemon::new(2);
    daemon.measure(START, 0, USUAL);
    daemon.measure(START, 1, SLOW);
    assert_eq!(daemon.announce(after(1)).len(), 2);
    daemon.measure(after(2_000), 1, USUAL);
    daemon.measure(after(2_000), 0, USUAL);
    assert_eq!(daemon.announce(after(2_100)).len(), 2);
    assert!(daemon.announce(after(62_000)).is_empty());
}

#[test]
fn own_measurements_are_announced_first() {
    let mut daemon = Daemon::new(40);
    for replica in 0..40 {
        let us = if replica % 2 == 0 { 20 } else { 32 };
        daemon.receive(START, &[report(replica, us, 0)]);
    }
    daemon.measure(after(100), 33, 5.0 * SLOW);
    let first = daemon.announce(after(200));
    assert_eq!(first.len(), MAX_REPORTS);
    assert_eq!(first[0].replica, hash(33));
    // One turn over all, with the measured replica a second time.
    let others = (0..5).flat_map(|_| daemon.announce(after(300)));
    let mut told: Vec<u64> = others.map(|report| report.replica).collect();
    told.extend(first.iter().map(|report| report.replica));
    told.sort_unstable();
    told.dedup();
    assert_eq!(told.len(), 40);
}

#[test]
fn announcements_per_second_are_limited() {
    let mut daemon = Daemon::new(2);
    daemon.measure(START, 0, USUAL);
    daemon.measure(START, 1, SLOW);
    let in_second = |daemon: &mut Daemon, second: u64| {
        let times = (0..200).map(|step| after(second * 1_000 + step * 5));
        times
            .filter(|now| !daemon.announce(*now).is_empty())
            .count()
    };
    assert_eq!(
        [0, 1].map(|second| in_second(&mut daemon, second)),
        [20, 20]
    );
}

/// The reports of a daemon reach all others although three of four datagrams are lost.
#[test]
fn all_paces_spread_although_datagrams_are_lost() {
    let mut sender = Daemon::new(30);
    let mut receiver = Daemon::new(30);
    for replica in 0..30 {
        sender.measure(START, replica, if replica < 10 { SLOW } else { USUAL });
    }
    for datagram in 0..100 {
        let now = after(datagram * 100);
        let reports = sender.announce(now);
        if datagram % 4 == 1 {
            receiver.receive(now, &reports);
        }
    }
    assert!((0..10).all(|replica| is_close(receiver.pace(after(10_000), replica), SLOW)));
    assert!((10..30).all(|replica| is_close(receiver.pace(after(10_000), replica), USUAL)));
}

/// It also passes on what it learnt.
#[test]
fn a_daemon_that_starts_later_learns_all_paces_from_any_other() {
    let mut first = Daemon::new(20);
    for replica in 0..20 {
        first.measure(START, replica, if replica < 5 { SLOW } else { USUAL });
    }
    let mut second = Daemon::new(20);
    for step in 0..10 {
        let now = after(step * 100);
        let reports = first.announce(now);
        second.receive(now, &reports);
    }
    let mut newcomer = Daemon::new(20);
    for step in 0..10 {
        let now = after(20_000 + step * 100);
        let reports = second.announce(now);
        newcomer.receive(now, &reports);
    }
    assert!((0..20).all(|replica| newcomer.pace(after(21_000), replica).is_some()));
    let last = START + PACE_TTL;
    assert!((0..20).all(|replica| newcomer.pace(last, replica).is_none()));
}

#[test]
fn the_newest_measurement_of_any_daemon_counts() {
    let mut daemon = Daemon::new(2);
    daemon.measure(START, 0, USUAL);
    let older = daemon.pool.merge_pace(after(500), &report(0, 32, 6));
    let newer = daemon.pool.merge_pace(after(500), &report(0, 40, 1));
    assert_eq!((older, newer), (Merge::Outdated, Merge::Taken));
    assert!(is_close(daemon.pace(after(500), 0), 40e-6));
}

/// Paces that go back and forth between daemons must not seem new for ever.
#[test]
fn a_pace_that_is_passed_on_lapses_everywhere() {
    let mut daemons = [Daemon::new(2), Daemon::new(2)];
    daemons[0].measure(START, 0, SLOW);
    daemons[0].measure(START, 1, USUAL);
    for step in 1..700 {
        let (sent, received) = (after(step * 100), after(step * 100 + 40));
        let from = step as usize % 2;
        let reports = daemons[from].announce(sent);
        daemons[1 - from].receive(received, &reports);
    }
    let last = START + PACE_TTL + Duration::from_millis(100);
    assert!(daemons.iter().all(|daemon| daemon.pace(last, 0).is_none()));
}

/// Guards against old paces that a daemon, cut off for a while, takes for current and passes on.
#[test]
fn a_daemon_that_was_cut_off_neither_uses_nor_announces_old_paces() {
    let mut cut_off = Daemon::new(2);
    cut_off.receive(START, &[report(0, 20, 100), report(1, 32, 100)]);
    assert!(!cut_off.announce(after(100)).is_empty());
    let back = after(51_000);
    assert!(cut_off.pace(back, 1).is_none());
    assert!(cut_off.announce(back).is_empty());
    assert_eq!(cut_off.pool.pace_count(), 0);
}

/// Guards against times before the origin of the clock, with which an old pace seems new.
#[test]
fn an_old_pace_stays_old_at_a_daemon_that_just_started() {
    let start = Time::from_millis(1_000);
    let engines = common::engines(1, Stage::Prefill, 32);
    let mut pool = common::pool(start, engines);
    assert_eq!(pool.merge_pace(start, &report(0, 20, 590)), Merge::Taken);
    let key = pool.key_of(hash(0)).unwrap();
    assert!(pool.token_pace(start, key).is_some());
    let later = start + Duration::from_secs(1);
    assert!(pool.token_pace(later, key).is_none());
}

#[rstest]
#[case::zero(report(0, 0, 0), Merge::Invalid)]
#[case::huge(report(0, u16::MAX, 0), Merge::Taken)]
#[case::too_old(report(0, 20, 600), Merge::Outdated)]
#[case::huge_age(report(0, 20, u16::MAX), Merge::Outdated)]
#[case::other_stage(PaceReport { stage: Stage::Decode, ..report(0, 20, 0) }, Merge::OtherStage)]
#[case::unknown_replica(report(7, 20, 0), Merge::Unknown)]
fn bad_reports_are_not_taken(#[case] report: PaceReport, #[case] expected: Merge) {
    let mut daemon = Daemon::new(1);
    assert_eq!(daemon.pool.merge_pace(START, &report), expected);
    let pace = daemon.pace(START, 0);
    assert_eq!(pace.is_some(), expected == Merge::Taken);
}

fn listed(stage: Stage, birth: u64) -> Replica {
    Replica {
        birth: Some(Birth(birth)),
        ..common::replica("0", "llm", Some(stage), 32)
    }
}

/// Pace of the replica `0` after its entry changed to `changed`.
fn pace_after_change(changed: Replica) -> Option<f64> {
    let mut pool = common::pool(START, vec![listed(Stage::Prefill, 1)]);
    let report = PaceReport {
        replica: incarnation_hash("0", Some(Birth(1))),
        ..report(0, 32, 0)
    };
    assert_eq!(pool.merge_pace(START, &report), Merge::Taken);
    let hash = incarnation_hash("0", changed.birth);
    pool.apply(after(100), &common::snapshot(2, vec![changed]));
    // A late report of the earlier incarnation, or stage, changes nothing.
    pool.merge_pace(after(200), &report);
    pool.token_pace(after(200), pool.key_of(hash).unwrap())
}

#[rstest]
#[case::restart(listed(Stage::Prefill, 2), false)]
#[case::other_stage(listed(Stage::Decode, 1), false)]
#[case::draining(Replica { draining: true, ..listed(Stage::Prefill, 1) }, true)]
fn a_restart_or_a_change_of_stage_clears_the_pace(#[case] changed: Replica, #[case] stays: bool) {
    assert_eq!(pace_after_change(changed).is_some(), stays);
}

#[test]
fn only_first_paces_and_large_changes_are_logged() {
    let daemon = Daemon::new(30);
    let mut filter = LogFilter::new();
    let key = daemon.key(0);
    let paces = [USUAL, 1.2 * USUAL, 1.3 * USUAL, 1.1 * USUAL, USUAL];
    assert!(!filter.is_known(key));
    let due = paces.map(|pace| filter.is_due(START, key, pace));
    assert!(filter.is_known(key));
    assert_eq!(due, [true, false, true, false, true]);
    let keys = (1..30).map(|replica| daemon.key(replica));
    let lines = keys.filter(|key| filter.is_due(START, *key, USUAL)).count();
    assert_eq!(lines, 20 - 3);
    assert!(filter.is_due(after(1_000), daemon.key(29), USUAL));
}

/// Replicas that end while nothing is announced are forgotten, also after differences have lapsed.
#[test]
fn measurements_of_ended_replicas_do_not_pile_up() {
    let engines = |birth| {
        let listed = |engine: Replica| Replica {
            birth: Some(Birth(birth)),
            ..engine
        };
        let engines = common::engines(2, Stage::Prefill, 32).into_iter();
        engines.map(listed).collect::<Vec<_>>()
    };
    let mut pool = common::pool(START, engines(1));
    let mut publisher = Publisher::new();
    let quiet = PACE_TTL.as_millis() as u64 + 2_000;
    for version in 1..50 {
        let now = after(version * 1_000 + if version > 1 { quiet } else { 0 });
        if version > 1 {
            let list = common::snapshot(version, engines(version));
            pool.apply(now, &list).unwrap();
        }
        for (replica, pace) in [USUAL, SLOW].into_iter().enumerate() {
            let pace = if version == 1 { pace } else { USUAL };
            let id = incarnation_hash(&replica.to_string(), Some(Birth(version)));
            let key = pool.key_of(id).unwrap();
            let took = Duration::from_secs_f64(pace * PROMPT as f64);
            pool.measure_prefill(now, key, took, PROMPT).unwrap();
            publisher.note_measured(key);
        }
        assert_eq!(publisher.due(now, &mut pool).is_empty(), version > 1);
    }
    assert_eq!(publisher.waiting(), 2);
}
