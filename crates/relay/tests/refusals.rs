//! Replicas that refuse reservations or do not answer for no known reason.

mod common;

use std::time::Duration;

use ident::Time;
use relay::admission::MemoryDemand;
use relay::claims::Claims;
use relay::pool::Pool;
use relay::replica::Stage;
use relay::runs::RunId;
use relay::runs::Runs;
use relay::runs::Size;
use relay::server::Key;

const START: Time = Time::from_millis(100_000);
const MEMORY: u64 = 40_000;
const SIZE: Size = Size {
    prompt: 5_200,
    estimate: 420,
    max_tokens: 1_020,
    generated: 0,
};
/// Number of replicas. The first third is leaving, which the list does not show.
const REPLICAS: usize = 60;
const LEAVING: usize = REPLICAS / 3;
/// Duration of a run, and interval between the starts of two runs.
const RUN_MS: u64 = 3_400;
const EVERY_MS: u64 = 15;
/// Maximum number of reservations that one generation tries.
const MAX_TRIES: usize = 3;

struct Daemon {
    pool: Pool,
    runs: Runs,
    claims: Claims,
    ends: Vec<(u64, RunId)>,
    tries: usize,
    refused: usize,
    placed: usize,
}

impl Daemon {
    fn new() -> Self {
        let mut pool = common::pool(START, common::engines(REPLICAS, Stage::Decode, 32));
        pool.set_memory("llm", MEMORY);
        Self {
            pool,
            runs: Runs::new(),
            claims: Claims::new(),
            ends: Vec::new(),
            tries: 0,
            refused: 0,
            placed: 0,
        }
    }

    fn choose(&self, now: Time, tried: &[Key]) -> Option<Key> {
        let demand = MemoryDemand {
            curve: self.runs.forecast("llm", SIZE),
            spreads: 3.0,
            spare: 0.0,
        };
        let criteria = common::criteria("llm", Some(Stage::Decode), tried, Some(demand));
        self.pool.choose(now, &criteria, || 0.5)
    }

    /// Places one generation at `ms`. If `leaving`, a third of the replicas refuses.
    fn place(&mut self, ms: u64, leaving: bool) {
        let now = START + Duration::from_millis(ms);
        self.end_due(ms);
        self.pool
            .update_all_forecasts(now, &self.runs, &self.claims);
        let mut tried = Vec::new();
        for _ in 0..MAX_TRIES {
            let Some(key) = self.choose(now, &tried) else {
                return;
            };
            self.tries += 1;
            let number: usize = self.pool.get(key).unwrap().replica.id.parse().unwrap();
            if leaving && number < LEAVING {
                self.refused += 1;
                self.pool.record_full(now, key);
                tried.push(key);
                continue;
            }
            self.pool.record_room(now, key);
            let run = self.runs.begin("llm", key, SIZE);
            self.ends.push((ms + RUN_MS, run));
            self.placed += 1;
            return;
        }
    }

    fn end_due(&mut self, ms: u64) {
        let due: Vec<(u64, RunId)> = self.ends.extract_if(.., |(at, _)| *at <= ms).collect();
        for (_, run) in due {
            self.runs.end(START, run, false);
        }
    }

    fn reset_counters(&mut self) {
        (self.tries, self.refused, self.placed) = (0, 0, 0);
    }
}

/// Leaving replicas soon become the emptiest and would be tried first by all daemons.
#[test]
fn replicas_that_refuse_repeatedly_are_tried_last() {
    let mut daemon = Daemon::new();
    let mut ms = 0;
    while ms < 4_000 {
        daemon.place(ms, false);
        ms += EVERY_MS;
    }
    daemon.reset_counters();
    let from = ms;
    while ms < from + 8_000 {
        daemon.place(ms, true);
        ms += EVERY_MS;
    }
    let generations = 8_000 / EVERY_MS as usize;
    assert!(
        daemon.placed * 100 > generations * 97,
        "{} of {generations} placed",
        daemon.placed
    );
    assert!(
        daemon.refused * 5 < daemon.tries,
        "{} of {} refused",
        daemon.refused,
        daemon.tries
    );
}

/// A replica that refused once may have room a moment later.
#[test]
fn a_replica_that_refused_once_is_soon_tried_again() {
    let mut daemon = Daemon::new();
    let at = |ms| START + Duration::from_millis(ms);
    let first = daemon.choose(START, &[]).unwrap();
    daemon.pool.record_full(START, first);
    assert_ne!(daemon.choose(at(100), &[]), Some(first));
    // Fill the other replicas.
    let mut tried = vec![first];
    while let Some(key) = daemon.choose(START, &tried) {
        daemon.runs.begin("llm", key, SIZE);
        tried.push(key);
    }
    daemon
        .pool
        .update_all_forecasts(START, &daemon.runs, &daemon.claims);
    assert_eq!(daemon.choose(at(300), &[]), Some(first));
}

#[test]
fn an_accepted_reservation_clears_earlier_refusals() {
    let mut daemon = Daemon::new();
    let at = |ms| START + Duration::from_millis(ms);
    let first = daemon.choose(START, &[]).unwrap();
    for ms in [0, 500, 1_500, 3_000] {
        daemon.pool.record_full(at(ms), first);
    }
    assert_ne!(daemon.choose(at(4_000), &[]), Some(first));
    daemon.pool.record_room(at(4_000), first);
    assert_eq!(daemon.choose(at(4_000), &[]), Some(first));
}

/// Trying a silent replica costs a caller most of its time, so the attempt of one daemon must do
/// for all.
#[test]
fn a_replica_that_does_not_answer_one_daemon_is_tried_last_by_all() {
    let (mut one, mut other) = (Daemon::new(), Daemon::new());
    let silent = one.choose(START, &[]).unwrap();
    let hash = one.pool.get(silent).unwrap().hash;
    assert!(one.pool.silent_replicas(START).is_empty());
    one.pool.record_no_answer(START, silent);
    assert_eq!(one.pool.silent_replicas(START), [hash]);
    let here = other.choose(START, &[]).unwrap();
    assert_eq!(other.pool.get(here).unwrap().hash, hash);
    other.pool.apply_silent_report(START, &[hash]);
    assert_ne!(other.choose(START, &[]), Some(here));
}

#[test]
fn a_silence_report_is_ignored_for_a_replica_that_has_just_answered() {
    let mut daemon = Daemon::new();
    let key = daemon.choose(START, &[]).unwrap();
    let hash = daemon.pool.get(key).unwrap().hash;
    daemon.pool.record_room(START, key);
    daemon.pool.apply_silent_report(START, &[hash]);
    assert_eq!(daemon.choose(START, &[]), Some(key));
}

#[test]
fn an_answer_ends_the_silence() {
    let mut daemon = Daemon::new();
    let key = daemon.choose(START, &[]).unwrap();
    daemon.pool.record_no_answer(START, key);
    let later = START + Duration::from_millis(100);
    daemon.pool.record_room(later, key);
    assert!(daemon.pool.silent_replicas(later).is_empty());
}

#[test]
fn a_daemon_that_is_cut_off_reports_no_replica_as_silent() {
    let mut daemon = Daemon::new();
    let mut tried = Vec::new();
    while let Some(key) = daemon.choose(START, &tried) {
        daemon.pool.record_no_answer(START, key);
        tried.push(key);
    }
    assert_eq!(tried.len(), REPLICAS);
    assert!(daemon.pool.silent_replicas(START).is_empty());
}
