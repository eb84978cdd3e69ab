//! Many daemons that start at once: reads of the store and time until all serve.

use std::time::Duration;

use crate::report::Report;
use crate::world::World;
use crate::world::size::Size;
use crate::world::store::Calls;

const COLUMNS: [&str; 9] = [
    "daemons",
    "restarted",
    "reads/s_before",
    "reads_1st_s",
    "reads_2nd_s",
    "reads_3rd_s",
    "table_reads",
    "fresh_ms",
    "agreed_ms",
];
const SETTLE: Duration = Duration::from_mins(2);
const LIMIT: Duration = Duration::from_mins(1);
const LOOK: Duration = Duration::from_millis(50);
const SECOND: Duration = Duration::from_secs(1);

/// Restarts each of `counts` of `daemons` daemons at once.
pub fn measure(daemons: usize, counts: &[usize], seed: u64) -> Report {
    let mut report = Report::new("restarts", &COLUMNS);
    for count in counts {
        let label = format!("{count} of {daemons}");
        report.push(&label, &one(daemons, *count, seed));
    }
    report.print();
    report
}

fn one(daemons: usize, count: usize, seed: u64) -> Vec<f64> {
    let size = Size {
        daemons,
        zones: 11.min(daemons),
        replicas: 0,
        pools: 14,
        rows: 100,
    };
    let mut world = World::new(size, seed);
    world.settle(SETTLE);
    world.run(SECOND * 5);
    let before = second(&mut world);
    for index in 0..count {
        world.restart(index);
    }
    let begun = world.now;
    let mut fresh = f64::NAN;
    let mut agreed = f64::NAN;
    let seconds = [(); 3].map(|()| {
        world.store.reset();
        let end = world.now + SECOND;
        while world.now < end {
            world.run(LOOK);
            let passed = world.now.since(begun).as_secs_f64() * 1e3;
            if fresh.is_nan() && world.fresh(|_| true) == daemons {
                fresh = passed;
            }
            if agreed.is_nan() && world.agree(daemons, |_| true) == daemons {
                agreed = passed;
            }
        }
        world.store.calls
    });
    let since = |world: &World| world.now.since(begun).as_secs_f64() * 1e3;
    if fresh.is_nan() {
        let rest = world.run_until(LIMIT, LOOK, |world| world.fresh(|_| true) == daemons);
        fresh = rest.map_or(fresh, |_| since(&world));
    }
    if agreed.is_nan() {
        let all = |world: &World| world.agree(daemons, |_| true) == daemons;
        let rest = world.run_until(LIMIT, LOOK, all);
        agreed = rest.map_or(agreed, |_| since(&world));
    }
    vec![
        daemons as f64,
        count as f64,
        before.reads() as f64,
        seconds[0].reads() as f64,
        seconds[1].reads() as f64,
        seconds[2].reads() as f64,
        seconds.iter().map(|calls| calls.tables).sum::<u64>() as f64,
        fresh,
        agreed,
    ]
}

fn second(world: &mut World) -> Calls {
    world.store.reset();
    world.run(SECOND);
    world.store.calls
}
