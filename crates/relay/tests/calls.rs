//! Plain calls that wait for a slot: when their answers would be late.

mod common;

use std::collections::VecDeque;
use std::time::Duration;

use ident::Time;
use relay::pool::Pool;
use relay::replica::Load;
use relay::replica::Replica;
use relay::server::Key;
use rstest::rstest;

const SERVICE: &str = "app";
const SLOTS: u32 = 6;
/// Requests that a replica queues beyond its slots; it refuses others.
const QUEUE: usize = 24;
const WORK_MS: u64 = 75;
const OBJECTIVE_MS: u64 = 300;
/// Part of the objective within which an answer has to be expected, as in the gateway.
const IN_TIME: f64 = 0.6;

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

fn replica(id: &str) -> Replica {
    common::replica(id, SERVICE, None, SLOTS)
}

/// A pool with one replica, whose calls take [`WORK_MS`], and its key.
fn pool(reports_speed: bool) -> (Pool, Key) {
    let mut pool = common::pool(at(0), vec![replica("i-1")]);
    let key = choose(&pool, at(0)).unwrap();
    if reports_speed {
        pool.record_slowdown(at(0), key, 1.0);
    }
    pool.record_call(at(0), key, Duration::from_millis(WORK_MS), 0.0);
    (pool, key)
}

fn choose(pool: &Pool, now: Time) -> Option<Key> {
    pool.choose(now, &common::criteria(SERVICE, None, &[], None), || 0.5)
}

fn load(running: u32, waiting: u32) -> Load {
    Load { running, waiting }
}

#[rstest]
#[case::idle(0, 0, None)]
#[case::one_slot_free(5, 0, None)]
#[case::all_slots_taken(6, 0, Some(90))]
#[case::a_full_queue(6, 24, Some(390))]
fn the_time_of_a_call_follows_from_the_queue(
    #[case] running: u32,
    #[case] waiting: u32,
    #[case] expected_ms: Option<u64>,
) {
    let (mut pool, key) = pool(true);
    pool.record_load(at(100), key, load(running, waiting));
    let expected = pool.queued_call_time(at(100), key);
    let expected = expected.map(|time| time.as_millis().div_ceil(10) * 10);
    assert_eq!(expected, expected_ms.map(u128::from));
}

#[test]
fn a_slow_moment_makes_the_time_longer() {
    let (mut pool, key) = pool(true);
    pool.record_load(at(100), key, load(6, 6));
    let usual = pool.queued_call_time(at(100), key).unwrap();
    pool.record_slowdown(at(100), key, 2.5);
    let slow = pool.queued_call_time(at(100), key).unwrap();
    assert!(slow > usual.mul_f64(2.4), "{usual:?} {slow:?}");
    // The figure changes several times a second, so an old one says nothing.
    let later = pool.queued_call_time(at(700), key).unwrap();
    assert!(later < usual.mul_f64(1.1), "{usual:?} {later:?}");
}

/// A daemon that was frozen, or has sent nothing for long, knows no queue.
#[test]
fn an_old_load_does_not_count() {
    let (mut pool, key) = pool(true);
    pool.record_load(at(100), key, load(6, 24));
    assert_eq!(pool.queued_call_time(at(2_200), key), None);
}

#[test]
fn nothing_is_expected_before_a_call_was_measured() {
    let mut pool = common::pool(at(0), vec![replica("i-1")]);
    let key = choose(&pool, at(0)).unwrap();
    pool.record_load(at(100), key, load(6, 24));
    assert_eq!(pool.queued_call_time(at(100), key), None);
}

#[rstest]
#[case(true)]
#[case(false)]
fn a_service_reports_speed_if_one_of_its_replicas_did(#[case] reports_speed: bool) {
    let (pool, key) = pool(reports_speed);
    assert_eq!(pool.reports_speed(key), reports_speed);
}

#[test]
fn a_restarted_replica_has_no_queue() {
    let born = |birth| Replica {
        birth: Some(relay::replica::Birth(birth)),
        ..replica("i-1")
    };
    let mut pool = common::pool(at(0), vec![born(1)]);
    let key = choose(&pool, at(0)).unwrap();
    pool.record_slowdown(at(0), key, 1.0);
    pool.record_call(at(0), key, Duration::from_millis(WORK_MS), 0.0);
    pool.record_load(at(100), key, load(6, 24));
    assert!(pool.queued_call_time(at(100), key).is_some());
    pool.apply(at(150), &common::snapshot(2, vec![born(2)]))
        .unwrap();
    let key = choose(&pool, at(150)).unwrap();
    assert_eq!(pool.queued_call_time(at(150), key), None);
}

/// One replica, emulated: calls run in slots and queue in order of arrival.
#[derive(Default)]
struct Queue {
    running: Vec<(u64, u64)>,
    waiting: VecDeque<u64>,
}

impl Queue {
    /// Lets calls begin and end until `now`; returns when those that ended had arrived, and their end.
    fn advance(&mut self, now: u64) -> Vec<(u64, u64)> {
        let (ended, running) = self.running.iter().partition(|(_, end)| *end <= now);
        self.running = running;
        while self.running.len() < SLOTS as usize {
            let Some(arrived) = self.waiting.pop_front() else {
                break;
            };
            self.running.push((arrived, now + WORK_MS));
        }
        ended
    }

    fn load(&self) -> Load {
        load(self.running.len() as u32, self.waiting.len() as u32)
    }
}

/// Calls that come at `per_second` to `daemons` daemons for five seconds: the shares that are answered in
/// time, and late.
fn replay(per_second: u64, daemons: usize, sheds: bool) -> (f64, f64) {
    let mut pools: Vec<(Pool, Key)> = (0..daemons).map(|_| pool(true)).collect();
    let mut queue = Queue::default();
    let (mut asked, mut in_time, mut late) = (0, 0, 0);
    for ms in 0..5_000_u64 {
        for (arrived, end) in queue.advance(ms) {
            if end - arrived <= OBJECTIVE_MS {
                in_time += 1;
            } else {
                late += 1;
            }
            // The answer tells one daemon the load.
            let daemon = (arrived as usize) % daemons;
            let (pool, key) = &mut pools[daemon];
            pool.record_load(at(ms), *key, queue.load());
        }
        let due = (ms + 1) * per_second / 1_000 - ms * per_second / 1_000;
        for _ in 0..due {
            asked += 1;
            let (pool, key) = &pools[ms as usize % daemons];
            let expected = pool.queued_call_time(at(ms), *key).unwrap_or_default();
            let is_late = expected.as_secs_f64() * 1_000.0 > OBJECTIVE_MS as f64 * IN_TIME;
            let is_shed = sheds && is_late;
            if !is_shed && queue.waiting.len() < QUEUE {
                queue.waiting.push_back(ms);
            }
        }
    }
    let share = |count: i32| f64::from(count) / f64::from(asked);
    (share(in_time), share(late))
}

/// Guards against answering everybody late in a crowd, where those that are taken could be in time.
#[rstest]
#[case::one_daemon(1)]
#[case::many_daemons(8)]
fn in_a_crowd_those_that_are_taken_are_in_time(#[case] daemons: usize) {
    let (in_time, late) = replay(150, daemons, true);
    let (in_time_before, late_before) = replay(150, daemons, false);
    assert!(late < 0.1, "{late}");
    assert!(late_before > 0.4, "{late_before}");
    // The slots stay busy.
    assert!(in_time > 0.9 * (in_time_before + late_before), "{in_time}");
}

#[test]
fn without_a_crowd_nothing_is_refused() {
    let (in_time, late) = replay(60, 8, true);
    assert!(in_time > 0.97 && late < 0.01, "{in_time} {late}");
}
