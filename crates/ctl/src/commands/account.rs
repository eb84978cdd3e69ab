//! `account`: counts the generations in log files by why and when they were late or lost.

use std::path::PathBuf;

use serde_json::json;

use crate::account::Cause;
use crate::account::OutcomeReport;
use crate::error::Error;
use crate::output::Output;
use crate::timeline::Log;

/// Prints one report on all `logs`.
pub(super) fn run(logs: &[PathBuf], output: Output) -> Result<(), Error> {
    let mut lines = Vec::new();
    let mut unreadable = 0;
    for path in logs {
        let log = Log::read(path)?;
        lines.extend(log.lines);
        unreadable += log.unreadable;
    }
    let report = OutcomeReport::new(&lines);
    let causes = report.causes.iter();
    let causes = causes.map(|(cause, count)| json!({"cause": cause.text(), "count": count}));
    let value = json!({"generations": report.total(), "causes": causes.collect::<Vec<_>>(), "customers": report.customers});
    output.value(&value);
    for line in format_report(&report, unreadable) {
        output.line(&line);
    }
    Ok(())
}

fn format_report(report: &OutcomeReport, unreadable: usize) -> Vec<String> {
    let total = report.total().max(1) as f64;
    let mut lines = vec![format!(
        "{} generations ({unreadable} lines could not be read)",
        report.total()
    )];
    let mut causes: Vec<(&Cause, &u64)> = report.causes.iter().collect();
    causes.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    for (cause, count) in causes {
        let share = 100.0 * *count as f64 / total;
        lines.push(format!("{count:6} {share:5.1} %  {}", cause.text()));
    }
    for (customer, outcomes) in &report.customers {
        let outcomes = outcomes
            .iter()
            .map(|(outcome, count)| format!("{count} {outcome}"));
        let outcomes: Vec<String> = outcomes.collect();
        lines.push(format!("customer {customer}: {}", outcomes.join(", ")));
    }
    lines.push("seconds with late or lost generations:".to_owned());
    for (second, causes) in &report.seconds {
        let lost = causes.iter().filter(|(cause, _)| **cause != Cause::InTime);
        let lost: Vec<String> = lost
            .map(|(cause, count)| format!("{count} {}", cause.text()))
            .collect();
        if !lost.is_empty() {
            lines.push(format!("{}  {}", format_time(*second), lost.join(", ")));
        }
    }
    lines
}

fn format_time(second: u64) -> String {
    format!(
        "{:02}:{:02}:{:02}",
        second / 3_600,
        second / 60 % 60,
        second % 60
    )
}
