//! Runs go on elsewhere before the memory of their replica ends.

mod common;

use std::time::Duration;

use ident::Instance;
use ident::Time;
use relay::admission::MemoryDemand;
use relay::claims;
use relay::claims::Claim;
use relay::claims::ClaimUpdate;
use relay::claims::Claims;
use relay::forecast::Curve;
use relay::migration;
use relay::migration::Move;
use relay::pool::Pool;
use relay::replica::Stage;
use relay::runs::RunId;
use relay::runs::Runs;
use relay::runs::Size;
use relay::score::Criteria;
use relay::server::Key;

const START: Time = Time::from_millis(100_000);
const MEMORY: u64 = 30_000;
const SIZE: Size = Size {
    prompt: 5_000,
    estimate: 4_000,
    max_tokens: 8_000,
    generated: 0,
};

struct World {
    pool: Pool,
    runs: Runs,
    claims: Claims,
    now: Time,
}

impl World {
    /// `count` replicas of one service.
    fn new(count: usize) -> Self {
        let mut pool = common::pool(START, common::engines(count, Stage::Decode, 64));
        pool.set_memory("llm", MEMORY);
        Self {
            pool,
            runs: Runs::new(),
            claims: Claims::new(),
            now: START,
        }
    }

    fn want(tried: &[Key], ask: Option<MemoryDemand>) -> Criteria<'_> {
        common::want("llm", Some(Stage::Decode), tried, ask)
    }

    fn key(&self, id: &str) -> Key {
        let mut tried = Vec::new();
        loop {
            let key = self.pool.choose(START, &Self::want(&tried, None), || 0.0);
            let key = key.unwrap();
            if self.pool.get(key).unwrap().replica.id == id {
                return key;
            }
            tried.push(key);
        }
    }

    /// A run at the replica `id` that has made `made` tokens, begun 50 ms after the one before.
    fn run(&mut self, id: &str, made: u64) -> RunId {
        let key = self.key(id);
        let run = self.runs.begin("llm", key, SIZE);
        self.now = self.now + Duration::from_millis(50);
        self.runs.record_tokens(self.now, run, made);
        run
    }

    fn due(&mut self) -> Vec<Move> {
        self.pool
            .update_all_forecasts(self.now, &self.runs, &self.claims);
        let pool = &self.pool;
        migration::due_moves(self.now, pool, &self.runs, &self.claims, |_, from, ask| {
            pool.choose(self.now, &Self::want(&[from], Some(ask)), || 0.0)
        })
    }

    fn peer_claims(&mut self, id: &str, newest_ms: u16, tokens: f64) {
        let claim = Claim::new(
            claims::incarnation_hash(id, None),
            1,
            0,
            newest_ms,
            &Curve::flat(tokens),
        );
        self.claims
            .apply(self.now, Instance(9), ClaimUpdate::all(vec![claim]));
    }
}

#[test]
fn the_newest_run_leaves_a_replica_whose_memory_ends() {
    let mut world = World::new(2);
    for _ in 0..4 {
        world.run("0", 2_000);
    }
    let newest = world.run("0", 500);
    let to = world.key("1");
    assert_eq!(world.due(), [Move { run: newest, to }]);
}

#[test]
fn none_leaves_a_replica_with_room() {
    let mut world = World::new(2);
    for _ in 0..3 {
        world.run("0", 500);
    }
    assert_eq!(world.due(), []);
}

#[test]
fn none_moves_where_nobody_has_room() {
    let mut world = World::new(2);
    for id in ["0", "1"] {
        for _ in 0..5 {
            world.run(id, 1_500);
        }
    }
    assert_eq!(world.due(), []);
}

#[test]
fn a_run_that_makes_no_tokens_yet_is_not_moved() {
    let mut world = World::new(2);
    let mut runs = Vec::new();
    for _ in 0..5 {
        runs.push(world.run("0", 1_500));
    }
    let key = world.key("0");
    world.runs.begin("llm", key, SIZE);
    let moved: Vec<RunId> = world.due().iter().map(|due| due.run).collect();
    assert_eq!(moved, [runs[4]]);
}

#[test]
fn a_run_that_was_moved_stays_for_a_while() {
    let mut world = World::new(2);
    for _ in 0..5 {
        world.run("0", 1_500);
    }
    let first = world.due()[0].run;
    let until = world.now + Duration::from_millis(300);
    world.runs.block_moves(first, until);
    assert_ne!(world.due()[0].run, first);
    world.now = until;
    assert_eq!(world.due()[0].run, first);
}

#[test]
fn none_leaves_a_replica_that_did_not_move_one() {
    let mut world = World::new(2);
    for _ in 0..5 {
        world.run("0", 1_500);
    }
    let first = world.due()[0].run;
    let until = world.now + Duration::from_millis(300);
    world.runs.block_moves_from_replica(first, until);
    assert_eq!(world.due(), []);
    world.now = until;
    assert_eq!(world.due()[0].run, first);
}

#[test]
fn the_daemon_with_the_newest_run_moves_it() {
    let mut world = World::new(2);
    for _ in 0..4 {
        world.run("0", 1_500);
    }
    world.now = world.now + Duration::from_millis(100);
    world.peer_claims("0", 10, 8_000.0);
    assert_eq!(world.due(), []);
    world.peer_claims("0", 2_000, 8_000.0);
    assert_eq!(world.due().len(), 1);
}
