//! Measures the cost of placing a generation, by fleet size.
//!
//! `cargo run --release -p relay --example decide` prints, for fleets of 9 to 20,000 replicas, the
//! median time to choose a decode replica, and the time to update the forecasts of all replicas.

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
use relay::revision::Revision;
use relay::runs::Runs;
use relay::runs::Size;
use relay::score::Criteria;
use relay::score::Version;
use relay::server::Key;

/// Fleets: decode replicas, and runs at all of them.
const FLEETS: [(usize, usize); 7] = [
    (9, 120),
    (44, 590),
    (140, 1_870),
    (930, 12_400),
    (10_000, 1_000),
    (10_000, 12_400),
    (20_000, 24_800),
];
/// Runs of this daemon.
const OWN_RUNS: usize = 31;
/// Maximum number of daemons that send their claims to one daemon.
const PEERS: usize = 16;
/// Number of measured updates.
const UPDATES: usize = 50;
/// Number of measured decisions.
const DECISIONS: usize = 2_000;
const SIZE: Size = Size {
    prompt: 5_200,
    estimate: 4_400,
    max_tokens: 8_320,
    generated: 0,
};

fn main() {
    println!("| replicas | runs | choosing, median us | update of all, us |");
    println!("| --- | --- | --- | --- |");
    for (replicas, runs) in FLEETS {
        let (choosing, update) = measure(replicas, runs);
        println!(
            "| {replicas} | {runs} | {:.1} | {:.0} |",
            choosing.as_secs_f64() * 1e6,
            update.as_secs_f64() * 1e6
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
        let claims_of_peer = (peer..runs.min(count)).step_by(PEERS);
        let curve = own.forecast("llm", SIZE);
        let claims_of_peer = claims_of_peer.map(|replica| {
            Claim::new(
                claims::incarnation_hash(&replica.to_string(), None),
                1,
                0,
                100,
                &curve,
            )
        });
        claims.apply(
            now,
            Instance(peer as u64),
            ClaimUpdate::all(claims_of_peer.collect()),
        );
    }
    let mut updates: Vec<Duration> = (0..UPDATES)
        .map(|_| {
            let begun = Instant::now();
            pool.update_all_forecasts(now, &own, &claims);
            begun.elapsed()
        })
        .collect();
    updates.sort_unstable();
    let update = updates[UPDATES / 2];
    let demand = MemoryDemand {
        curve: own.forecast("llm", SIZE),
        spreads: 3.0,
        spare: 0.0,
    };
    let mut times: Vec<Duration> = (0..DECISIONS)
        .map(|_| {
            let begun = Instant::now();
            let chosen = pool.choose(now, &criteria(&[], Some(demand)), || 0.5);
            assert!(chosen.is_some(), "a fleet with room has a replica");
            begun.elapsed()
        })
        .collect();
    times.sort_unstable();
    (times[DECISIONS / 2], update)
}

fn keys(pool: &Pool, now: Time) -> Vec<Key> {
    let mut keys = Vec::new();
    while let Some(key) = pool.choose(now, &criteria(&keys, None), || 0.0) {
        keys.push(key);
        if keys.len() >= OWN_RUNS {
            break;
        }
    }
    keys
}

fn criteria(tried: &[Key], demand: Option<MemoryDemand>) -> Criteria<'_> {
    Criteria {
        service: "llm",
        stage: Some(Stage::Decode),
        tried,
        homes: None,
        software: Version::Any,
        reserved: &[],
        data_centre: Zone::new("here"),
        demand,
        answer: None,
        prompt_tokens: 0,
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
        writes: 1,
        birth: None,
        software: Some("v1".to_owned()),
    });
    Snapshot {
        version: Revision::new(0, 1),
        replicas: replicas.collect(),
        lapsing: Vec::new(),
        grace: Duration::ZERO,
    }
}
