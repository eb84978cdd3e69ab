//! Replicas, lists and selection criteria for the tests.

#![allow(dead_code, reason = "each test file uses its part")]

use std::time::Duration;

use ident::Time;
use ident::Zone;
use relay::admission::MemoryDemand;
use relay::pool::Pool;
use relay::replica::Replica;
use relay::replica::Snapshot;
use relay::replica::Stage;
use relay::revision::Revision;
use relay::score::Criteria;
use relay::score::Version;
use relay::server::Key;

/// An available replica of `service`.
pub fn replica(id: &str, service: &str, stage: Option<Stage>, slots: u32) -> Replica {
    Replica {
        id: id.to_owned(),
        birth: None,
        software: Some("v1".to_owned()),
        service: service.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: Zone::new("here"),
        stage,
        slots,
        draining: false,
        cold: false,
        writes: 1,
    }
}

/// `count` replicas of the model `llm`, numbered from 0.
pub fn engines(count: usize, stage: Stage, slots: u32) -> Vec<Replica> {
    let numbers = 0..count;
    let engines = numbers.map(|number| replica(&number.to_string(), "llm", Some(stage), slots));
    engines.collect()
}

/// A snapshot with `replicas`.
pub fn snapshot(version: u64, replicas: Vec<Replica>) -> Snapshot {
    Snapshot {
        version: Revision::new(0, version),
        replicas,
        lapsing: Vec::new(),
        grace: Duration::ZERO,
    }
}

/// A pool that has applied `replicas` at `now`, as version 1.
pub fn pool(now: Time, replicas: Vec<Replica>) -> Pool {
    let mut pool = Pool::new();
    pool.apply(now, &snapshot(1, replicas)).unwrap();
    pool
}

/// Criteria of a request of `service` from the data centre of all replicas.
pub fn criteria<'a>(
    service: &'a str,
    stage: Option<Stage>,
    tried: &'a [Key],
    demand: Option<MemoryDemand>,
) -> Criteria<'a> {
    Criteria {
        service,
        stage,
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
