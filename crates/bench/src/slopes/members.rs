//! Membership, news of the table and timers, by the number of daemons.

use std::time::Duration;

use crate::report::Report;
use crate::usage;
use crate::world::World;
use crate::world::kind::Kind;
use crate::world::size::Size;

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

/// Measures idle fleets of `sizes` daemons for `span` of virtual time each, with `replicas` on the
/// list in `pools` pools.
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
        report.push(&format!("{daemons} daemons"), &one(size, span, seed));
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

fn one(size: Size, span: Duration, seed: u64) -> Vec<f64> {
    let memory = usage::own_memory().unwrap_or(0.0);
    let mut world = World::new(size, seed);
    let settle = world.settle(SETTLE);
    world.run(Duration::from_secs(5));
    let grown = usage::own_memory().unwrap_or(0.0) - memory;
    world.tally.reset();
    world.store.reset();
    world.run(span);
    let seconds = span.as_secs_f64();
    let tally = &world.tally;
    let micros = |kind: Kind| tally.seconds(kind) / seconds * 1e6;
    let all: f64 = Kind::ALL.iter().map(|kind| micros(*kind)).sum();
    vec![
        size.daemons as f64,
        settle.as_secs_f64(),
        tally.frames(Kind::Gossip) / seconds,
        tally.bytes(Kind::Gossip) / seconds,
        tally.frames(Kind::News) / seconds,
        tally.bytes(Kind::News) / seconds,
        micros(Kind::Gossip),
        micros(Kind::News),
        micros(Kind::List),
        micros(Kind::Timer),
        all / 1e4,
        world.store.calls.generations as f64 / seconds,
        world.store.calls.lists as f64 / seconds,
        grown / size.daemons as f64 / 1_024.0,
    ]
}
