//! What a daemon tells the others of its runs.

mod common;

use std::time::Duration;

use ident::Instance;
use ident::Time;
use relay::claim_publisher::ClaimPublisher;
use relay::claims::ClaimUpdate;
use relay::claims::Claims;
use relay::pool::Pool;
use relay::replica::Stage;
use relay::runs::RunId;
use relay::runs::Runs;
use relay::runs::Size;
use relay::server::Key;

const START: Time = Time::from_millis(100_000);
const SIZE: Size = Size {
    prompt: 5_000,
    estimate: 400,
    max_tokens: 1_000,
    generated: 0,
};
/// Replicas, with a run each at the start.
const REPLICAS: usize = 70;

struct World {
    pool: Pool,
    keys: Vec<Key>,
    runs: Runs,
    teller: ClaimPublisher,
}

impl World {
    fn new() -> Self {
        let pool = common::pool(START, common::engines(REPLICAS, Stage::Decode, 32));
        let mut keys = Vec::new();
        while let Some(key) = choose(&pool, &keys) {
            keys.push(key);
        }
        Self {
            pool,
            keys,
            runs: Runs::new(),
            teller: ClaimPublisher::new(),
        }
    }

    fn begin(&mut self, replica: usize) -> RunId {
        self.runs.begin("llm", self.keys[replica], SIZE)
    }

    fn due(&mut self, ms: u64) -> Option<ClaimUpdate> {
        let now = START + Duration::from_millis(ms);
        self.teller.due(now, &self.runs, &self.pool)
    }

    fn hash(&self, replica: usize) -> u64 {
        self.pool.get(self.keys[replica]).unwrap().hash
    }
}

fn choose(pool: &Pool, tried: &[Key]) -> Option<Key> {
    let want = common::want("llm", Some(Stage::Decode), tried, None);
    pool.choose(START, &want, || 0.0)
}

fn changed(told: Option<ClaimUpdate>) -> usize {
    let told = told.unwrap();
    assert!(!told.all);
    told.claims.len()
}

/// In a burst a run begins or ends each 20 ms at a daemon that has runs at 70 replicas.
#[test]
fn a_run_that_begins_costs_one_claim_whatever_else_runs() {
    let mut world = World::new();
    for replica in 0..REPLICAS {
        world.begin(replica);
    }
    let told = world.due(0).unwrap();
    assert_eq!((told.all, told.claims.len()), (true, REPLICAS));
    world.begin(3);
    assert_eq!(changed(world.due(20)), 1);
    world.begin(4);
    world.begin(5);
    assert_eq!(changed(world.due(40)), 2);
}

#[test]
fn all_are_told_again_from_time_to_time() {
    let mut world = World::new();
    world.begin(0);
    assert!(world.due(0).is_some());
    assert!(world.due(390).is_none());
    assert!(world.due(400).unwrap().all);
}

#[test]
fn changes_in_quick_succession_are_told_together() {
    let mut world = World::new();
    world.begin(0);
    assert!(world.due(0).is_some());
    world.begin(1);
    assert!(world.due(2).is_none());
    world.begin(2);
    assert_eq!(changed(world.due(6)), 2);
}

#[test]
fn nothing_is_told_where_nothing_runs() {
    let mut world = World::new();
    assert!(world.due(0).is_none());
    let run = world.begin(0);
    assert!(world.due(500).is_some());
    world.runs.end(START, run, true);
    assert_eq!(changed(world.due(510)), 1);
    assert!(world.due(910).is_none());
}

#[test]
fn who_hears_every_message_knows_what_who_hears_only_whole_ones_does() {
    let mut world = World::new();
    let mut claims = Claims::new();
    let first = world.begin(0);
    world.begin(1);
    for (ms, ends) in [(0, false), (20, true)] {
        if ends {
            world.runs.end(START, first, true);
            world.begin(2);
        }
        let told = world.due(ms).unwrap();
        claims.apply(START, Instance(1), told);
    }
    let runs = |replica| claims.peer_usage(START, world.hash(replica)).runs;
    assert_eq!([runs(0), runs(1), runs(2)], [0, 1, 1]);
}
