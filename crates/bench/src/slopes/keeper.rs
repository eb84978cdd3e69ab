//! Measures frames, bytes and processor time of a pool's keeper by request rate and replicas.

use std::time::Duration;

use crate::report::Report;
use crate::simulation::Simulation;
use crate::simulation::kind::Kind;
use crate::simulation::size::Size;

const COLUMNS: [&str; 14] = [
    "daemons",
    "replicas",
    "pools",
    "rate",
    "done/s",
    "refused/s",
    "keeper_msg/s",
    "keeper_KB/s",
    "keeper_pct",
    "other_KB/s",
    "other_pct",
    "place_B/req",
    "advance_B/req",
    "audit_B/req",
];
const SETTLE: Duration = Duration::from_mins(2);
/// Time under load before the measurement starts.
const WARM_UP: Duration = Duration::from_secs(3);

/// A load to measure.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Daemons.
    pub daemons: usize,
    /// Replicas.
    pub replicas: usize,
    /// Pools, to which the replicas are assigned in turn.
    pub pools: usize,
    /// Requests per second in all pools.
    pub rate: f64,
    /// Prefix blocks of each prompt.
    pub blocks: usize,
    /// Generated tokens of each request.
    pub tokens: u32,
}

/// Measures each of `loads` for `span` of virtual time; the busiest daemon counts as the keeper.
pub fn measure(name: &str, loads: &[Load], span: Duration, seed: u64) -> Report {
    let mut report = Report::new(name, &COLUMNS);
    for load in loads {
        let label = format!("{} replicas {}/s", load.replicas, load.rate);
        report.push(&label, &measure_one(load, span, seed));
    }
    report.print();
    report
}

fn measure_one(load: &Load, span: Duration, seed: u64) -> Vec<f64> {
    let size = Size {
        daemons: load.daemons,
        zones: 11.min(load.daemons),
        replicas: load.replicas,
        pools: load.pools,
        rows: 100,
    };
    let mut simulation = Simulation::new(size, seed);
    simulation.settle(SETTLE);
    simulation.load(load.rate, WARM_UP, load.blocks, load.tokens);
    simulation.counters.reset();
    simulation.load(load.rate, span, load.blocks, load.tokens);
    let seconds = span.as_secs_f64();
    let counters = &simulation.counters;
    let daemons = load.daemons as f64;
    let requests = load.rate * seconds;
    let each = |kind: Kind| counters.bytes(kind) * daemons / requests;
    let [bytes, frames, work] = [
        counters.bytes_of_each(),
        counters.frames_of_each(),
        counters.seconds_of_each(),
    ];
    vec![
        daemons,
        load.replicas as f64,
        load.pools as f64,
        load.rate,
        counters.answers.done as f64 / seconds,
        counters.answers.refused as f64 / seconds,
        most(&frames) / seconds,
        most(&bytes) / seconds / 1_024.0,
        most(&work) / seconds * 100.0,
        median(&bytes) / seconds / 1_024.0,
        median(&work) / seconds * 100.0,
        each(Kind::Place),
        each(Kind::Advance),
        each(Kind::Audit),
    ]
}

fn most(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}
