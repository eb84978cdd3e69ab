//! Replicas, lists of them, and what a request asks of one.

#![allow(dead_code, reason = "each test file uses its part")]

use ident::Time;
use ident::Zone;
use relay::admission::MemoryDemand;
use relay::pool::Pool;
use relay::replica::Replica;
use relay::replica::Snapshot;
use relay::replica::Stage;
use relay::score::Criteria;
use relay::server::Key;

/// A replica of `service` that takes requests.
pub fn replica(id: &str, service: &str, stage: Option<Stage>, slots: u32) -> Replica {
    Replica {
        id: id.to_owned(),
        birth: None,
        service: service.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: Zone::new("here"),
        stage,
        slots,
        draining: false,
        cold: false,
    }
}

/// `count` replicas of the model `llm`, numbered from 0.
pub fn engines(count: usize, stage: Stage, slots: u32) -> Vec<Replica> {
    let numbers = 0..count;
    let engines = numbers.map(|number| replica(&number.to_string(), "llm", Some(stage), slots));
    engines.collect()
}

/// A list of `replicas`.
pub fn snapshot(version: u64, replicas: Vec<Replica>) -> Snapshot {
    Snapshot {
        version,
        replicas,
        lapsing: Vec::new(),
    }
}

/// A pool that has taken `replicas` at `now`, as version 1.
pub fn pool(now: Time, replicas: Vec<Replica>) -> Pool {
    let mut pool = Pool::new();
    pool.apply(now, &snapshot(1, replicas)).unwrap();
    pool
}

/// What a request of `service` asks that comes from the data centre of all replicas.
pub fn want<'a>(
    service: &'a str,
    stage: Option<Stage>,
    tried: &'a [Key],
    demand: Option<MemoryDemand>,
) -> Criteria<'a> {
    Criteria {
        service,
        stage,
        tried,
        data_centre: Zone::new("here"),
        demand,
    }
}
