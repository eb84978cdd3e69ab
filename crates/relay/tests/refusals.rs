//! Replicas that refuse reservations though nothing that is known says why.

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
/// Replicas, of which the first third is leaving, and the list does not tell.
const REPLICAS: usize = 60;
const LEAVING: usize = REPLICAS / 3;
/// Time that a run lasts, and between two that begin.
const RUN_MS: u64 = 3_400;
const EVERY_MS: u64 = 15;
/// Reservations that one generation asks for at most while it waits.
const ASKS: usize = 3;

struct World {
    pool: Pool,
    runs: Runs,
    claims: Claims,
    ends: Vec<(u64, RunId)>,
    asks: usize,
    refused: usize,
    begun: usize,
}

impl World {
    fn new() -> Self {
        let mut pool = common::pool(START, common::engines(REPLICAS, Stage::Decode, 32));
        pool.set_memory("llm", MEMORY);
        Self {
            pool,
            runs: Runs::new(),
            claims: Claims::new(),
            ends: Vec::new(),
            asks: 0,
            refused: 0,
            begun: 0,
        }
    }

    fn choose(&self, now: Time, tried: &[Key]) -> Option<Key> {
        let ask = MemoryDemand {
            curve: self.runs.forecast("llm", SIZE),
            spreads: 3.0,
            spare: 0.0,
        };
        let want = common::want("llm", Some(Stage::Decode), tried, Some(ask));
        self.pool.choose(now, &want, || 0.5)
    }

    /// One generation at `ms`; with `leaving`, a third of the replicas refuses.
    fn place(&mut self, ms: u64, leaving: bool) {
        let now = START + Duration::from_millis(ms);
        self.end_due(ms);
        self.pool
            .update_all_forecasts(now, &self.runs, &self.claims);
        let mut tried = Vec::new();
        for _ in 0..ASKS {
            let Some(key) = self.choose(now, &tried) else {
                return;
            };
            self.asks += 1;
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
            self.begun += 1;
            return;
        }
    }

    fn end_due(&mut self, ms: u64) {
        let due: Vec<(u64, RunId)> = self.ends.extract_if(.., |(at, _)| *at <= ms).collect();
        for (_, run) in due {
            self.runs.end(START, run, false);
        }
    }

    fn forget_figures(&mut self) {
        (self.asks, self.refused, self.begun) = (0, 0, 0);
    }
}

/// The leaving ones are the emptiest ones soon, and would be asked first by everyone.
#[test]
fn replicas_that_refuse_again_and_again_are_asked_last() {
    let mut world = World::new();
    let mut ms = 0;
    while ms < 4_000 {
        world.place(ms, false);
        ms += EVERY_MS;
    }
    world.forget_figures();
    let from = ms;
    while ms < from + 8_000 {
        world.place(ms, true);
        ms += EVERY_MS;
    }
    let generations = 8_000 / EVERY_MS as usize;
    assert!(
        world.begun * 100 > generations * 97,
        "{} of {generations} begun",
        world.begun
    );
    assert!(
        world.refused * 5 < world.asks,
        "{} of {} refused",
        world.refused,
        world.asks
    );
}

/// A replica that refused once may have room a moment later.
#[test]
fn a_replica_that_refused_once_is_asked_again_soon() {
    let mut world = World::new();
    let at = |ms| START + Duration::from_millis(ms);
    let first = world.choose(START, &[]).unwrap();
    world.pool.record_full(START, first);
    assert_ne!(world.choose(at(100), &[]), Some(first));
    // The others are in use now.
    let mut tried = vec![first];
    while let Some(key) = world.choose(START, &tried) {
        world.runs.begin("llm", key, SIZE);
        tried.push(key);
    }
    world
        .pool
        .update_all_forecasts(START, &world.runs, &world.claims);
    assert_eq!(world.choose(at(300), &[]), Some(first));
}

#[test]
fn room_makes_up_for_refusals() {
    let mut world = World::new();
    let at = |ms| START + Duration::from_millis(ms);
    let first = world.choose(START, &[]).unwrap();
    for ms in [0, 500, 1_500, 3_000] {
        world.pool.record_full(at(ms), first);
    }
    assert_ne!(world.choose(at(4_000), &[]), Some(first));
    world.pool.record_room(at(4_000), first);
    assert_eq!(world.choose(at(4_000), &[]), Some(first));
}

/// A question to a dark replica costs a caller most of its time: one daemon's is enough for all.
#[test]
fn a_replica_that_does_not_answer_one_daemon_is_asked_last_by_all() {
    let (mut one, mut other) = (World::new(), World::new());
    let dark = one.choose(START, &[]).unwrap();
    let hash = one.pool.get(dark).unwrap().hash;
    assert!(one.pool.silent_replicas(START).is_empty());
    one.pool.record_no_answer(START, dark);
    assert_eq!(one.pool.silent_replicas(START), [hash]);
    let here = other.choose(START, &[]).unwrap();
    assert_eq!(other.pool.get(here).unwrap().hash, hash);
    other.pool.apply_silent_report(START, &[hash]);
    assert_ne!(other.choose(START, &[]), Some(here));
}

#[test]
fn a_replica_that_has_just_answered_is_not_given_up_on_hearsay() {
    let mut world = World::new();
    let key = world.choose(START, &[]).unwrap();
    let hash = world.pool.get(key).unwrap().hash;
    world.pool.record_room(START, key);
    world.pool.apply_silent_report(START, &[hash]);
    assert_eq!(world.choose(START, &[]), Some(key));
}

#[test]
fn an_answer_ends_the_silence() {
    let mut world = World::new();
    let key = world.choose(START, &[]).unwrap();
    world.pool.record_no_answer(START, key);
    let later = START + Duration::from_millis(100);
    world.pool.record_room(later, key);
    assert!(world.pool.silent_replicas(later).is_empty());
}

#[test]
fn a_daemon_that_is_cut_off_gives_no_replica_a_bad_name() {
    let mut world = World::new();
    let mut tried = Vec::new();
    while let Some(key) = world.choose(START, &tried) {
        world.pool.record_no_answer(START, key);
        tried.push(key);
    }
    assert_eq!(tried.len(), REPLICAS);
    assert!(world.pool.silent_replicas(START).is_empty());
}
