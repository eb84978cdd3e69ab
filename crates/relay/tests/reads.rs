//! Prompts that a decode replica reads itself.

use std::time::Duration;

use ident::Instance;
use ident::Time;
use ident::Zone;
use relay::claims::Claim;
use relay::claims::Claims;
use relay::forecast::Curve;
use relay::pool::Pool;
use relay::replica::Replica;
use relay::replica::Snapshot;
use relay::replica::Stage;
use relay::runs::Id;
use relay::runs::Runs;
use relay::runs::Size;
use relay::score::Want;
use relay::server::Key;

const NOW: Time = Time::from_millis(100_000);
const PAUSE: Option<Duration> = Some(Duration::from_millis(300));
const SIZE: Size = Size {
    prompt: 5_000,
    estimate: 4_000,
    most: 8_000,
    made: 0,
};

/// A prefill replica that reads 50 tokens in a millisecond, and a decode replica.
struct World {
    pool: Pool,
    runs: Runs,
    claims: Claims,
    decode: Key,
}

impl World {
    fn new() -> Self {
        let replica = |id: &str, stage| Replica {
            id: id.to_owned(),
            service: "llm".to_owned(),
            address: "127.0.0.1:1".parse().unwrap(),
            data_centre: Zone::new("here"),
            stage: Some(stage),
            slots: 64,
            draining: false,
            cold: false,
        };
        let mut pool = Pool::new();
        let list = Snapshot {
            version: 1,
            replicas: vec![replica("p", Stage::Prefill), replica("d", Stage::Decode)],
            lapsing: Vec::new(),
        };
        pool.apply(NOW, &list);
        let prefill = key(&pool, Stage::Prefill);
        pool.note_pace(NOW, prefill, Duration::from_millis(100), 5_000.0);
        let decode = key(&pool, Stage::Decode);
        Self {
            pool,
            runs: Runs::new(),
            claims: Claims::new(),
            decode,
        }
    }

    fn run(&mut self) -> Id {
        self.runs.begin("llm", self.decode, SIZE)
    }

    fn may_read(&mut self, tokens: u64) -> bool {
        self.pool.foresee_all(NOW, &self.runs, &self.claims);
        self.pool.may_read(self.decode, tokens, PAUSE)
    }
}

fn key(pool: &Pool, stage: Stage) -> Key {
    let want = Want {
        service: "llm",
        stage: Some(stage),
        tried: &[],
        near: Zone::new("here"),
        ask: None,
    };
    pool.choose(NOW, &want, || 0.0).unwrap()
}

#[test]
fn a_replica_without_other_runs_reads_any_prompt() {
    let mut world = World::new();
    world.run();
    assert!(world.may_read(50_000));
}

#[test]
fn streams_are_not_held_up_for_longer_than_they_may_pause() {
    let mut world = World::new();
    world.run();
    world.run();
    // At half the speed, 5,000 tokens take 200 ms and 6,000 take 240 ms.
    assert!(world.may_read(5_000));
    assert!(!world.may_read(6_000));
}

#[test]
fn two_prompts_are_not_read_at_once() {
    let mut world = World::new();
    world.run();
    let reading = world.run();
    world.runs.reads(reading);
    assert!(!world.may_read(1_000));
    world.runs.made(NOW, reading, 64);
    assert!(world.may_read(1_000));
}

#[test]
fn reads_of_other_daemons_count() {
    let mut world = World::new();
    world.run();
    let claim = Claim::new("d", 1, 1, u16::MAX, &Curve::flat(5_000.0));
    world.claims.take(NOW, Instance(1), vec![claim]);
    assert!(!world.may_read(1_000));
}

#[test]
fn where_any_pause_will_do_one_prompt_is_read_at_a_time() {
    let mut world = World::new();
    world.run();
    let reading = world.run();
    world.pool.foresee_all(NOW, &world.runs, &world.claims);
    assert!(world.pool.may_read(world.decode, 50_000, None));
    world.runs.reads(reading);
    world.pool.foresee_all(NOW, &world.runs, &world.claims);
    assert!(!world.pool.may_read(world.decode, 50_000, None));
}
