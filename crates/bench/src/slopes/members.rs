//! Measures membership, table status and timers by the number of daemons.

use std::time::Duration;

use crate::report::Report;
use crate::simulation::Simulation;
use crate::simulation::kind::Kind;
use crate::simulation::size::Size;
use crate::usage;

const COLUMNS: [&str; 14] = [
    "daemons",
    "settle_s",
    "gossip_msg/s",
    "gossip_B/s",
    "news_msg/s",
    "news_B/s",
    "gossip_us/s",
    "news_us/s",
    "list_us/s",
    "timer_us/s",
    "core_pct",
    "gen_reads/s",
    "list_reads/s",
    "core_KB",
];
/// Longest wait for all daemons to know each other.
const SETTLE: Duration = Duration::from_mins(2);

/// Measures each of `sizes` idle daemons for `span` of virtual time, with `replicas` listed replicas
/// in `pools` pools.
pub fn measure(
    sizes: &[usize],
    span: Duration,
    replicas: usize,
    pools: usize,
    seed: u64,
) -> Report {
    let mut report = Report::new(&format!("members-{replicas}-replicas"), &COLUMNS);
    for daemons in sizes {
        let size = Size {
            daemons: *daemons,
            zones: 11.min(*daemons),
            replicas,
            pools,
            rows: 100,
        };
        report.push(
            &format!("{daemons} daemons"),
            &measure_one(size, span, seed),
        );
    }
    report.print();
    let columns = [
        "gossip_B/s",
        "news_B/s",
        "gossip_us/s",
        "news_us/s",
        "list_us/s",
        "timer_us/s",
        "gen_reads/s",
        "core_KB",
    ];
    for column in columns {
        report.print_fit("daemons", column);
    }
    report
}

fn measure_one(size: Size, span: Duration, seed: u64) -> Vec<f64> {
    let memory = usage::own_memory().unwrap_or(0.0);
    let mut simulation = Simulation::new(size, seed);
    let settle = simulation.settle(SETTLE);
    simulation.run(Duration::from_secs(5));
    let grown = usage::own_memory().unwrap_or(0.0) - memory;
    simulation.counters.reset();
    simulation.store.reset();
    simulation.run(span);
    let seconds = span.as_secs_f64();
    let counters = &simulation.counters;
    let micros = |kind: Kind| counters.seconds(kind) / seconds * 1e6;
    let all: f64 = Kind::ALL.iter().map(|kind| micros(*kind)).sum();
    vec![
        size.daemons as f64,
        settle.as_secs_f64(),
        counters.frames(Kind::Gossip) / seconds,
        counters.bytes(Kind::Gossip) / seconds,
        counters.frames(Kind::News) / seconds,
        counters.bytes(Kind::News) / seconds,
        micros(Kind::Gossip),
        micros(Kind::News),
        micros(Kind::List),
        micros(Kind::Timer),
        all / 1e4,
        simulation.store.calls.generations as f64 / seconds,
        simulation.store.calls.lists as f64 / seconds,
        grown / size.daemons as f64 / 1_024.0,
    ]
}
