//! Edits of the table: time until accepted and until in force everywhere, bytes, and what is left
//! of the fleet while the store is out.

use std::time::Duration;

use table::edit::Edit;

use crate::report::Report;
use crate::world::World;
use crate::world::kind::Kind;
use crate::world::size::Size;

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
/// Longest waits for an answer and for the last daemon.
const LIMIT: Duration = Duration::from_secs(30);
const LOOK: Duration = Duration::from_millis(20);
const FRESH_LOOK: Duration = Duration::from_millis(100);
/// Edits in each fleet.
const EDITS: usize = 2;

/// Measures fleets of each of `sizes` daemons with tables of each of `rows` rows.
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
            report.push(&label, &one(size, seed));
        }
    }
    report.print();
    report
}

fn one(size: Size, seed: u64) -> Vec<f64> {
    let mut world = World::new(size, seed);
    world.settle(SETTLE);
    world.run(Duration::from_secs(5));
    world.tally.reset();
    let mut answers = Vec::new();
    let mut spreads = Vec::new();
    for number in 0..EDITS {
        let (answer, spread) = edit(&mut world, number);
        answers.push(answer);
        spreads.push(spread);
    }
    let accepted = world.tally.answers.accepted;
    let each = EDITS as f64;
    let frames = world.tally.frames(Kind::Push) * size.daemons as f64 / each;
    let bytes = world.tally.bytes(Kind::Push) * size.daemons as f64 / each;
    let most = world.tally.sent_of_each().into_iter().fold(0.0, f64::max);
    let mut figures = vec![
        size.daemons as f64,
        size.rows as f64,
        accepted as f64 / each,
        mean_ms(&answers),
        mean_ms(&spreads),
        frames,
        bytes / 1_024.0,
        most / each / 1_024.0,
    ];
    figures.extend(found(&mut world));
    figures.extend(outage(&mut world, size.daemons));
    figures
}

/// One edit; the time until the operator was answered and until all daemons have it.
fn edit(world: &mut World, number: usize) -> (Option<Duration>, Option<Duration>) {
    let edit = next(world, number);
    let generation = world.store.table().generation + 1;
    let before = count(world);
    world.edit(number, edit);
    let answer = world.run_until(LIMIT, LOOK, |world| count(world) > before);
    let daemons = world.daemons();
    let rest = world.run_until(LIMIT, LOOK, |world| world.in_force(generation) == daemons);
    let spread = answer.zip(rest).map(|(answer, rest)| answer + rest);
    (answer, spread)
}

/// An edit that nobody announces: the time until all daemons have it, in milliseconds, and the
/// kilobytes that carried it.
fn found(world: &mut World) -> [f64; 2] {
    let edit = next(world, EDITS);
    let generation = world.store.table().generation + 1;
    world.tally.reset();
    world.store.commit(&edit);
    let daemons = world.daemons();
    let spread = world.run_until(LIMIT, LOOK, |world| world.in_force(generation) == daemons);
    world.run(Duration::from_secs(1));
    let bytes = world.tally.bytes(Kind::Push) * daemons as f64;
    [mean_ms(&[spread]), bytes / 1_024.0]
}

/// An edit of one row of the table that the store holds.
fn next(world: &World, number: usize) -> Edit {
    let base = world.store.table();
    let mut wanted = base.rows.clone();
    wanted[0].share += 1;
    Edit::between(&format!("edit-{number}"), "ana", base, &wanted)
}

fn count(world: &World) -> u64 {
    world.tally.answers.accepted + world.tally.answers.undecided
}

/// The share of daemons that may decide 1, 4 and 20 s into an outage of the store, in percent, and
/// the time until all may again after it.
fn outage(world: &mut World, daemons: usize) -> [f64; 4] {
    world.store.up = false;
    let shares = [1, 3, 16].map(|seconds| {
        world.run(Duration::from_secs(seconds));
        (world.fresh(|_| true) as f64 / daemons as f64 * 100.0).round()
    });
    world.store.up = true;
    let back = world.run_until(LIMIT, FRESH_LOOK, |world| world.fresh(|_| true) == daemons);
    let back = back.map_or(f64::NAN, |back| back.as_secs_f64() * 1e3);
    [shares[0], shares[1], shares[2], back]
}

/// The mean in milliseconds; not a number if one is missing.
fn mean_ms(spans: &[Option<Duration>]) -> f64 {
    let sum: Option<Duration> = spans.iter().copied().sum();
    sum.map_or(f64::NAN, |sum| sum.as_secs_f64() * 1e3 / spans.len() as f64)
}
