//! Moves of runs before the memory of their replica is full.

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

struct Daemon {
    pool: Pool,
    runs: Runs,
    claims: Claims,
    now: Time,
}

impl Daemon {
    /// A daemon that knows `count` replicas of one service.
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

    fn criteria(tried: &[Key], demand: Option<MemoryDemand>) -> Criteria<'_> {
        common::criteria("llm", Some(Stage::Decode), tried, demand)
    }

    fn key(&self, id: &str) -> Key {
        let mut tried = Vec::new();
        loop {
            let key = self
                .pool
                .choose(START, &Self::criteria(&tried, None), || 0.0);
            let key = key.unwrap();
            if self.pool.get(key).unwrap().replica.id == id {
                return key;
            }
            tried.push(key);
        }
    }

    /// Starts a run at the replica `id` that has generated `generated` tokens, 50 ms after the one
    /// before.
    fn run(&mut self, id: &str, generated: u64) -> RunId {
        let key = self.key(id);
        let run = self.runs.begin("llm", key, SIZE);
        self.now = self.now + Duration::from_millis(50);
        self.runs.record_tokens(self.now, run, generated);
        run
    }

    fn due(&mut self) -> Vec<Move> {
        self.pool
            .update_all_forecasts(self.now, &self.runs, &self.claims);
        let pool = &self.pool;
        migration::due_moves(
            self.now,
            pool,
            &self.runs,
            &self.claims,
            |_, from, demand| pool.choose(self.now, &Self::criteria(&[from], Some(demand)), || 0.0),
        )
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
fn the_newest_run_leaves_a_replica_that_is_nearly_full() {
    let mut daemon = Daemon::new(2);
    for _ in 0..4 {
        daemon.run("0", 2_000);
    }
    let newest = daemon.run("0", 500);
    let to = daemon.key("1");
    assert_eq!(daemon.due(), [Move { run: newest, to }]);
}

#[test]
fn no_run_leaves_a_replica_with_room() {
    let mut daemon = Daemon::new(2);
    for _ in 0..3 {
        daemon.run("0", 500);
    }
    assert_eq!(daemon.due(), []);
}

#[test]
fn no_run_moves_if_no_replica_has_room() {
    let mut daemon = Daemon::new(2);
    for id in ["0", "1"] {
        for _ in 0..5 {
            daemon.run(id, 1_500);
        }
    }
    assert_eq!(daemon.due(), []);
}

#[test]
fn a_run_that_does_not_generate_yet_is_not_moved() {
    let mut daemon = Daemon::new(2);
    let mut runs = Vec::new();
    for _ in 0..5 {
        runs.push(daemon.run("0", 1_500));
    }
    let key = daemon.key("0");
    daemon.runs.begin("llm", key, SIZE);
    let moved: Vec<RunId> = daemon.due().iter().map(|due| due.run).collect();
    assert_eq!(moved, [runs[4]]);
}

#[test]
fn a_blocked_run_is_not_moved_again_at_once() {
    let mut daemon = Daemon::new(2);
    for _ in 0..5 {
        daemon.run("0", 1_500);
    }
    let first = daemon.due()[0].run;
    let until = daemon.now + Duration::from_millis(300);
    daemon.runs.block_moves(first, until);
    assert_ne!(daemon.due()[0].run, first);
    daemon.now = until;
    assert_eq!(daemon.due()[0].run, first);
}

#[test]
fn no_run_leaves_a_replica_that_failed_to_move_one() {
    let mut daemon = Daemon::new(2);
    for _ in 0..5 {
        daemon.run("0", 1_500);
    }
    let first = daemon.due()[0].run;
    let until = daemon.now + Duration::from_millis(300);
    daemon.runs.block_moves_from_replica(first, until);
    assert_eq!(daemon.due(), []);
    daemon.now = until;
    assert_eq!(daemon.due()[0].run, first);
}

#[test]
fn the_daemon_with_the_newest_run_moves_it() {
    let mut daemon = Daemon::new(2);
    for _ in 0..4 {
        daemon.run("0", 1_500);
    }
    daemon.now = daemon.now + Duration::from_millis(100);
    daemon.peer_claims("0", 10, 8_000.0);
    assert_eq!(daemon.due(), []);
    daemon.peer_claims("0", 2_000, 8_000.0);
    assert_eq!(daemon.due().len(), 1);
}
