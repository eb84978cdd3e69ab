//! Room for a run, now and until it ends.

mod common;

use ident::Time;
use relay::admission::MemoryDemand;
use relay::claims::Claims;
use relay::pool::Pool;
use relay::replica::Load;
use relay::replica::Stage;
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

fn pool(memory: u64) -> Pool {
    let replica = common::replica("i-1", "llm", Some(Stage::Decode), 64);
    let mut pool = common::pool(NOW, vec![replica]);
    pool.set_memory("llm", memory);
    pool
}

fn choose(pool: &Pool, ask: Option<MemoryDemand>) -> Option<Key> {
    let want = common::want("llm", Some(Stage::Decode), &[], ask);
    pool.choose(NOW, &want, || 0.0)
}

/// Runs that are taken at once by a replica of `memory` tokens.
fn taken(memory: u64, spreads: f64, spare: f64) -> usize {
    let mut pool = pool(memory);
    let mut runs = Runs::new();
    let mut count = 0;
    loop {
        let ask = MemoryDemand {
            curve: runs.forecast("llm", SIZE),
            spreads,
            spare,
        };
        let Some(key) = choose(&pool, Some(ask)) else {
            return count;
        };
        runs.begin("llm", key, SIZE);
        pool.update_forecast(NOW, key, &runs, &Claims::new());
        count += 1;
    }
}

#[test]
fn runs_that_come_together_are_taken_for_what_they_will_hold() {
    // Prompts alone would be 20, and with the most that each may make 7.
    let count = taken(100_000, 0.0, 0.0);
    assert!((11..17).contains(&count), "{count}");
}

#[test]
fn certainty_costs_places() {
    assert!(taken(100_000, 2.5, 0.0) < taken(100_000, 0.0, 0.0));
    assert!(taken(100_000, 0.0, 0.2) < taken(100_000, 0.0, 0.0));
}

#[test]
fn a_large_replica_takes_more_for_each_token_of_its_memory() {
    let (small, large) = (taken(30_000, 2.5, 0.0), taken(300_000, 2.5, 0.0));
    assert!(large > 10 * small, "{small} and {large}");
}

#[test]
fn runs_that_only_the_replica_tells_of_count() {
    let mut pool = pool(30_000);
    let key = choose(&pool, None).unwrap();
    let ask = MemoryDemand {
        curve: Runs::new().forecast("llm", SIZE),
        spreads: 0.0,
        spare: 0.0,
    };
    assert!(choose(&pool, Some(ask)).is_some());
    let load = Load {
        running: 6,
        waiting: 0,
    };
    pool.record_load(NOW, key, load);
    assert!(choose(&pool, Some(ask)).is_none());
}
