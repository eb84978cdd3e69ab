//! Formats statistics of several seeds as a table and as CSV.

use std::fmt::Write;

use crate::stats::Stats;
use crate::stats::percent;
use crate::workload::Workload;

/// Number of columns.
pub const WIDTH: usize = 16;
/// Names of the columns.
pub const COLUMNS: [&str; WIDTH] = [
    "good%",
    "good/s",
    "waste%",
    "lost%",
    "refused%",
    "failed%",
    "ttft50ms",
    "ttft95ms",
    "tbt95ms",
    "plain%",
    "plain95ms",
    "fair",
    "over",
    "truth%",
    "offered/s",
    "hit%",
];
/// Number of leading columns that the printed table shows as median and range.
const RANGED: usize = 3;

/// Computes the columns of one run.
pub fn columns(workload: &Workload, stats: &Stats) -> [f64; WIDTH] {
    let sum = |plain: bool, of: fn(&crate::stats::ClassCounts) -> u64| -> u64 {
        let all = workload.classes.iter().zip(&stats.classes);
        all.filter(|(class, _)| class.plain == plain)
            .map(|(_, counts)| of(counts))
            .sum()
    };
    let offered = sum(false, |counts| counts.offered);
    let good = sum(false, |counts| counts.good);
    let ms = |micros: u64| micros as f64 / 1_000.0;
    [
        percent(good, offered),
        good as f64 / stats.seconds,
        percent(stats.wasted, stats.computed),
        percent(stats.lost, stats.prefills),
        percent(sum(false, |counts| counts.refused), offered),
        percent(sum(false, |counts| counts.failed), offered),
        ms(stats.ttft.value_at_quantile(0.5)),
        ms(stats.ttft.value_at_quantile(0.95)),
        ms(stats.tbt.value_at_quantile(0.95)),
        percent(
            sum(true, |counts| counts.good),
            sum(true, |counts| counts.offered),
        ),
        ms(stats.plain.value_at_quantile(0.95)),
        fairness(workload, stats),
        overshoot(workload, stats),
        percent(stats.truthful, stats.checked),
        offered as f64 / stats.seconds,
        percent(stats.cached, stats.cached + stats.computed),
    ]
}

/// Smallest fraction of its entitlement that a model row received; 1.0 is fair.
///
/// A row's entitlement is its part by share of all completed requests, at most what it offered.
fn fairness(workload: &Workload, stats: &Stats) -> f64 {
    let rows: Vec<(f64, f64, f64)> = workload
        .classes
        .iter()
        .zip(&stats.classes)
        .filter(|(class, _)| !class.plain && class.rule.decode_ceiling >= 1_000)
        .map(|(class, counts)| {
            (
                f64::from(class.rule.share),
                counts.offered as f64,
                counts.complete as f64,
            )
        })
        .collect();
    let total: f64 = rows.iter().map(|row| row.2).sum();
    let level = water_level(&rows, total);
    rows.iter()
        .map(|(share, offered, complete)| complete / (share * level).min(*offered).max(1.0))
        .fold(1.0, f64::min)
}

fn water_level(rows: &[(f64, f64, f64)], total: f64) -> f64 {
    let (mut low, mut high) = (0.0, total + 1.0);
    for _ in 0..60 {
        let level = f64::midpoint(low, high);
        let filled: f64 = rows.iter().map(|row| (row.0 * level).min(row.1)).sum();
        (low, high) = if filled < total {
            (level, high)
        } else {
            (low, level)
        };
    }
    low
}

/// Largest number of requests in decode by which a row exceeded its ceiling.
fn overshoot(workload: &Workload, stats: &Stats) -> f64 {
    let rows = workload
        .classes
        .iter()
        .zip(&stats.classes)
        .filter(|(class, _)| !class.plain);
    rows.map(|(class, counts)| {
        counts
            .peak
            .saturating_sub(u64::from(class.rule.decode_ceiling))
    })
    .max()
    .unwrap_or(0) as f64
}

/// The header of the printed table.
pub fn header() -> String {
    let mut line = format!("{:<44}", "workload load fault waste_percent rival");
    for (index, name) in COLUMNS.iter().enumerate() {
        let width = if index < RANGED { 20 } else { 10 };
        let _ = write!(line, "{name:>width$}");
    }
    line
}

/// One line of the printed table, from one array of columns per seed.
pub fn line(label: &str, runs: &[[f64; WIDTH]]) -> String {
    let mut line = format!("{label:<44}");
    for index in 0..COLUMNS.len() {
        let mut values: Vec<f64> = runs.iter().map(|run| run[index]).collect();
        values.sort_by(f64::total_cmp);
        let median = values[values.len() / 2];
        let text = match (values.first(), values.last()) {
            (Some(least), Some(most)) if index < RANGED => {
                format!("{median:.2} ({least:.2}-{most:.2})")
            }
            _ => format!("{median:.2}"),
        };
        let width = if index < RANGED { 20 } else { 10 };
        let _ = write!(line, "{text:>width$}");
    }
    line
}

/// One CSV line.
pub fn csv(label: &str, seed: u64, columns: &[f64; WIDTH]) -> String {
    let mut line = format!("{},{seed}", label.replace(' ', ","));
    for value in columns {
        let _ = write!(line, ",{value:.4}");
    }
    line
}
