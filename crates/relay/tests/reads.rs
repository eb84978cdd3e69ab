//! Prompts that a decode replica reads itself.

mod common;

use ident::Instance;
use ident::Time;
use relay::claims;
use relay::claims::Claim;
use relay::claims::ClaimUpdate;
use relay::claims::Claims;
use relay::forecast::Curve;
use relay::pool::Pool;
use relay::replica::Stage;
use relay::runs::RunId;
use relay::runs::Runs;
use relay::runs::Size;
use relay::server::Key;

const NOW: Time = Time::from_millis(100_000);
const SIZE: Size = Size {
    prompt: 5_000,
    estimate: 4_000,
    max_tokens: 8_000,
    generated: 0,
};

/// A decode replica.
struct World {
    pool: Pool,
    runs: Runs,
    claims: Claims,
    decode: Key,
}

impl World {
    fn new() -> Self {
        let replica = common::replica("d", "llm", Some(Stage::Decode), 64);
        let pool = common::pool(NOW, vec![replica]);
        let decode = key(&pool, Stage::Decode);
        Self {
            pool,
            runs: Runs::new(),
            claims: Claims::new(),
            decode,
        }
    }

    fn run(&mut self) -> RunId {
        self.runs.begin("llm", self.decode, SIZE)
    }

    fn may_read(&mut self) -> bool {
        self.pool
            .update_all_forecasts(NOW, &self.runs, &self.claims);
        self.pool.may_prefill(self.decode)
    }
}

fn key(pool: &Pool, stage: Stage) -> Key {
    let want = common::want("llm", Some(stage), &[], None);
    pool.choose(NOW, &want, || 0.0).unwrap()
}

#[test]
fn a_replica_reads_one_prompt_beside_its_streams() {
    let mut world = World::new();
    world.run();
    world.run();
    assert!(world.may_read());
}

#[test]
fn a_replica_without_streams_reads_on() {
    let mut world = World::new();
    let reading = world.run();
    world.runs.mark_prefilling(reading);
    assert!(world.may_read());
}

#[test]
fn two_prompts_are_not_read_at_once() {
    let mut world = World::new();
    world.run();
    let reading = world.run();
    world.runs.mark_prefilling(reading);
    assert!(!world.may_read());
    world.runs.record_tokens(NOW, reading, 64);
    assert!(world.may_read());
}

#[test]
fn reads_of_other_daemons_count() {
    let mut world = World::new();
    world.run();
    let claim = Claim::new(
        claims::incarnation_hash("d", None),
        1,
        1,
        u16::MAX,
        &Curve::flat(5_000.0),
    );
    world
        .claims
        .apply(NOW, Instance(1), ClaimUpdate::all(vec![claim]));
    assert!(!world.may_read());
}
