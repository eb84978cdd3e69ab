//! Measures simultaneous restarts: reads of the store and time until all daemons may decide.

use std::time::Duration;

use crate::report::Report;
use crate::simulation::Simulation;
use crate::simulation::size::Size;
use crate::simulation::store::Calls;

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
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
const SECOND: Duration = Duration::from_secs(1);

/// Restarts each of `counts` out of `daemons` daemons simultaneously.
pub fn measure(daemons: usize, counts: &[usize], seed: u64) -> Report {
    let mut report = Report::new("restarts", &COLUMNS);
    for count in counts {
        let label = format!("{count} of {daemons}");
        report.push(&label, &measure_one(daemons, *count, seed));
    }
    report.print();
    report
}

fn measure_one(daemons: usize, count: usize, seed: u64) -> Vec<f64> {
    let size = Size {
        daemons,
        zones: 11.min(daemons),
        replicas: 0,
        pools: 14,
        rows: 100,
    };
    let mut simulation = Simulation::new(size, seed);
    simulation.settle(SETTLE);
    simulation.run(SECOND * 5);
    let before = count_calls(&mut simulation);
    for index in 0..count {
        simulation.restart(index);
    }
    let started = simulation.now;
    let mut fresh = f64::NAN;
    let mut agreed = f64::NAN;
    let seconds = [(); 3].map(|()| {
        simulation.store.reset();
        let end = simulation.now + SECOND;
        while simulation.now < end {
            simulation.run(CHECK_INTERVAL);
            let passed = simulation.now.since(started).as_secs_f64() * 1e3;
            if fresh.is_nan() && simulation.fresh_count(|_| true) == daemons {
                fresh = passed;
            }
            if agreed.is_nan() && simulation.agreeing_count(daemons, |_| true) == daemons {
                agreed = passed;
            }
        }
        simulation.store.calls
    });
    let since = |simulation: &Simulation| simulation.now.since(started).as_secs_f64() * 1e3;
    if fresh.is_nan() {
        let rest = simulation.run_until(LIMIT, CHECK_INTERVAL, |simulation| {
            simulation.fresh_count(|_| true) == daemons
        });
        fresh = rest.map_or(fresh, |_| since(&simulation));
    }
    if agreed.is_nan() {
        let all = |simulation: &Simulation| simulation.agreeing_count(daemons, |_| true) == daemons;
        let rest = simulation.run_until(LIMIT, CHECK_INTERVAL, all);
        agreed = rest.map_or(agreed, |_| since(&simulation));
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

fn count_calls(simulation: &mut Simulation) -> Calls {
    simulation.store.reset();
    simulation.run(SECOND);
    simulation.store.calls
}
