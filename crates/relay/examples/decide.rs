//! Measures what placing a generation costs a daemon, by the size of the fleet.
//!
//! `cargo run --release -p relay --example decide` prints, for fleets of 9 to 930 replicas, the median
//! time to choose a decode replica, and the time of a look at all of them.

use std::time::Duration;
use std::time::Instant;

use ident::Instance;
use ident::Time;
use ident::Zone;
use relay::admission::MemoryDemand;
use relay::claims;
use relay::claims::Claim;
use relay::claims::ClaimUpdate;
use relay::claims::Claims;
use relay::pool::Pool;
use relay::replica::Replica;
use relay::replica::Snapshot;
use relay::replica::Stage;
use relay::runs::Runs;
use relay::runs::Size;
use relay::score::Criteria;
use relay::server::Key;

/// Fleets: decode replicas, and runs at all of them.
const FLEETS: [(usize, usize); 4] = [(9, 120), (44, 590), (140, 1_870), (930, 12_400)];
/// Runs of one daemon.
const OWN_RUNS: usize = 31;
/// Daemons whose claims are told to one daemon at most.
const PEERS: usize = 16;
/// Decisions that are measured.
const DECISIONS: usize = 2_000;
const SIZE: Size = Size {
    prompt: 5_200,
    estimate: 4_400,
    max_tokens: 8_320,
    generated: 0,
};

fn main() {
    println!("| replicas | runs | choosing, median us | a look at all, us |");
    println!("| --- | --- | --- | --- |");
    for (replicas, runs) in FLEETS {
        let (choosing, look) = measure(replicas, runs);
        println!(
            "| {replicas} | {runs} | {:.1} | {:.0} |",
            choosing.as_secs_f64() * 1e6,
            look.as_secs_f64() * 1e6
        );
    }
}

fn measure(count: usize, runs: usize) -> (Duration, Duration) {
    let now = Time::from_millis(1_000);
    let mut pool = Pool::new();
    pool.set_memory("llm", 102_942);
    pool.apply(now, &list(count));
    let mut own = Runs::new();
    let mut claims = Claims::new();
    let keys = keys(&pool, now);
    for run in 0..OWN_RUNS {
        own.begin("llm", keys[run % keys.len()], SIZE);
    }
    for peer in 0..PEERS {
        let told = (peer..runs.min(count)).step_by(PEERS);
        let curve = own.forecast("llm", SIZE);
        let told = told.map(|replica| {
            Claim::new(
                claims::incarnation_hash(&replica.to_string(), None),
                1,
                0,
                100,
                &curve,
            )
        });
        claims.apply(now, Instance(peer as u64), ClaimUpdate::all(told.collect()));
    }
    let begun = Instant::now();
    pool.update_all_forecasts(now, &own, &claims);
    let look = begun.elapsed();
    let ask = MemoryDemand {
        curve: own.forecast("llm", SIZE),
        spreads: 3.0,
        spare: 0.0,
    };
    let mut times: Vec<Duration> = (0..DECISIONS)
        .map(|_| {
            let begun = Instant::now();
            let chosen = pool.choose(now, &want(&[], Some(ask)), || 0.5);
            assert!(chosen.is_some(), "a fleet with room has a replica");
            begun.elapsed()
        })
        .collect();
    times.sort_unstable();
    (times[DECISIONS / 2], look)
}

fn keys(pool: &Pool, now: Time) -> Vec<Key> {
    let mut keys = Vec::new();
    while let Some(key) = pool.choose(now, &want(&keys, None), || 0.0) {
        keys.push(key);
        if keys.len() >= OWN_RUNS {
            break;
        }
    }
    keys
}

fn want(tried: &[Key], demand: Option<MemoryDemand>) -> Criteria<'_> {
    Criteria {
        service: "llm",
        stage: Some(Stage::Decode),
        tried,
        data_centre: Zone::new("here"),
        demand,
    }
}

fn list(count: usize) -> Snapshot {
    let replicas = (0..count).map(|index| Replica {
        id: index.to_string(),
        service: "llm".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: Zone::new("here"),
        stage: Some(Stage::Decode),
        slots: 64,
        draining: false,
        cold: false,
        birth: None,
    });
    Snapshot {
        version: 1,
        replicas: replicas.collect(),
        lapsing: Vec::new(),
    }
}
