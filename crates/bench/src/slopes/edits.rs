//! Measures edits of the table: time until they are accepted and in force everywhere, and bytes; also
//! how many daemons may still decide during an outage of the store.

use std::time::Duration;

use table::edit::Edit;

use crate::report::Report;
use crate::simulation::Simulation;
use crate::simulation::kind::Kind;
use crate::simulation::size::Size;

const COLUMNS: [&str; 14] = [
    "daemons",
    "rows",
    "accepted",
    "answer_ms",
    "all_ms",
    "push_frames",
    "push_KB",
    "most_sent_KB",
    "found_all_ms",
    "found_push_KB",
    "fresh_1s_pct",
    "fresh_4s_pct",
    "fresh_20s_pct",
    "back_ms",
];
const SETTLE: Duration = Duration::from_mins(2);
/// Longest wait for an answer, and for the last daemon.
const LIMIT: Duration = Duration::from_secs(30);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
const FRESH_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Edits per simulation.
const EDITS: usize = 2;

/// Measures each of `sizes` daemons with tables of each of `rows` rows.
pub fn measure(sizes: &[usize], rows: &[usize], seed: u64) -> Report {
    let mut report = Report::new("edits", &COLUMNS);
    for daemons in sizes {
        for rows in rows {
            let size = Size {
                daemons: *daemons,
                zones: 11.min(*daemons),
                replicas: 0,
                pools: 14,
                rows: *rows,
            };
            let label = format!("{daemons} daemons {rows} rows");
            report.push(&label, &measure_one(size, seed));
        }
    }
    report.print();
    report
}

fn measure_one(size: Size, seed: u64) -> Vec<f64> {
    let mut simulation = Simulation::new(size, seed);
    simulation.settle(SETTLE);
    simulation.run(Duration::from_secs(5));
    simulation.counters.reset();
    let mut answers = Vec::new();
    let mut propagations = Vec::new();
    for number in 0..EDITS {
        let (answer, propagation) = measure_edit(&mut simulation, number);
        answers.push(answer);
        propagations.push(propagation);
    }
    let accepted = simulation.counters.answers.accepted;
    let each = EDITS as f64;
    let frames = simulation.counters.frames(Kind::Push) * size.daemons as f64 / each;
    let bytes = simulation.counters.bytes(Kind::Push) * size.daemons as f64 / each;
    let most = simulation
        .counters
        .sent_of_each()
        .into_iter()
        .fold(0.0, f64::max);
    let mut values = vec![
        size.daemons as f64,
        size.rows as f64,
        accepted as f64 / each,
        mean_ms(&answers),
        mean_ms(&propagations),
        frames,
        bytes / 1_024.0,
        most / each / 1_024.0,
    ];
    values.extend(measure_unannounced(&mut simulation));
    values.extend(measure_outage(&mut simulation, size.daemons));
    values
}

/// Submits one edit; returns the time until the operator is answered and until all daemons have it.
fn measure_edit(
    simulation: &mut Simulation,
    number: usize,
) -> (Option<Duration>, Option<Duration>) {
    let edit = next_edit(simulation, number);
    let generation = simulation.store.table().generation + 1;
    let before = answered_edits(simulation);
    simulation.edit(number, edit);
    let answer = simulation.run_until(LIMIT, CHECK_INTERVAL, |simulation| {
        answered_edits(simulation) > before
    });
    let daemons = simulation.daemons();
    let rest = simulation.run_until(LIMIT, CHECK_INTERVAL, |simulation| {
        simulation.in_force_count(generation) == daemons
    });
    let propagation = answer.zip(rest).map(|(answer, rest)| answer + rest);
    (answer, propagation)
}

/// Commits an edit that no daemon announces; returns the time until all daemons have it, in
/// milliseconds, and the kilobytes of [`Kind::Push`] sent meanwhile.
fn measure_unannounced(simulation: &mut Simulation) -> [f64; 2] {
    let edit = next_edit(simulation, EDITS);
    let generation = simulation.store.table().generation + 1;
    simulation.counters.reset();
    simulation.store.commit(&edit);
    let daemons = simulation.daemons();
    let propagation = simulation.run_until(LIMIT, CHECK_INTERVAL, |simulation| {
        simulation.in_force_count(generation) == daemons
    });
    simulation.run(Duration::from_secs(1));
    let bytes = simulation.counters.bytes(Kind::Push) * daemons as f64;
    [mean_ms(&[propagation]), bytes / 1_024.0]
}

/// An edit of one row of the store's current table.
fn next_edit(simulation: &Simulation, number: usize) -> Edit {
    let base = simulation.store.table();
    let mut rows = base.rows.clone();
    rows[0].share += 1;
    Edit::between(&format!("edit-{number}"), "ana", base, &rows)
}

fn answered_edits(simulation: &Simulation) -> u64 {
    simulation.counters.answers.accepted + simulation.counters.answers.undecided
}

/// Percentage of daemons that may decide 1, 4 and 20 s into an outage of the store, and the time after
/// it until all may again, in milliseconds.
fn measure_outage(simulation: &mut Simulation, daemons: usize) -> [f64; 4] {
    simulation.store.up = false;
    let shares = [1, 3, 16].map(|seconds| {
        simulation.run(Duration::from_secs(seconds));
        (simulation.fresh_count(|_| true) as f64 / daemons as f64 * 100.0).round()
    });
    simulation.store.up = true;
    let recovery = simulation.run_until(LIMIT, FRESH_CHECK_INTERVAL, |simulation| {
        simulation.fresh_count(|_| true) == daemons
    });
    let recovery = recovery.map_or(f64::NAN, |recovery| recovery.as_secs_f64() * 1e3);
    [shares[0], shares[1], shares[2], recovery]
}

/// Mean in milliseconds; NaN if a value is missing.
fn mean_ms(spans: &[Option<Duration>]) -> f64 {
    let sum: Option<Duration> = spans.iter().copied().sum();
    sum.map_or(f64::NAN, |sum| sum.as_secs_f64() * 1e3 / spans.len() as f64)
}
