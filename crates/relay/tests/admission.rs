//! Admission of runs by their memory forecast.

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

fn choose(pool: &Pool, demand: Option<MemoryDemand>) -> Option<Key> {
    let criteria = common::criteria("llm", Some(Stage::Decode), &[], demand);
    pool.choose(NOW, &criteria, || 0.0)
}

/// Number of runs that a replica of `memory` tokens admits at once.
fn admitted(memory: u64, spreads: f64, spare: f64) -> usize {
    let mut pool = pool(memory);
    let mut runs = Runs::new();
    let mut count = 0;
    loop {
        let demand = MemoryDemand {
            curve: runs.forecast("llm", SIZE),
            spreads,
            spare,
        };
        let Some(key) = choose(&pool, Some(demand)) else {
            return count;
        };
        runs.begin("llm", key, SIZE);
        pool.update_forecast(NOW, key, &runs, &Claims::new());
        count += 1;
    }
}

#[test]
fn concurrent_runs_are_admitted_by_their_forecast() {
    // Prompts alone would allow 20 runs, the maximum of each answer 7.
    let count = admitted(100_000, 0.0, 0.0);
    assert!((11..17).contains(&count), "{count}");
}

#[test]
fn a_larger_margin_admits_fewer_runs() {
    assert!(admitted(100_000, 2.5, 0.0) < admitted(100_000, 0.0, 0.0));
    assert!(admitted(100_000, 0.0, 0.2) < admitted(100_000, 0.0, 0.0));
}

#[test]
fn a_large_replica_admits_more_runs_per_token_of_memory() {
    let (small, large) = (admitted(30_000, 2.5, 0.0), admitted(300_000, 2.5, 0.0));
    assert!(large > 10 * small, "{small} and {large}");
}

#[test]
fn runs_reported_only_by_the_replica_count() {
    let mut pool = pool(30_000);
    let key = choose(&pool, None).unwrap();
    let demand = MemoryDemand {
        curve: Runs::new().forecast("llm", SIZE),
        spreads: 0.0,
        spare: 0.0,
    };
    assert!(choose(&pool, Some(demand)).is_some());
    let load = Load {
        running: 6,
        waiting: 0,
    };
    pool.record_load(NOW, key, load);
    assert!(choose(&pool, Some(demand)).is_none());
}
