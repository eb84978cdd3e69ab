//! `crowd`: shows who waits, who is refused and why, from log files.

use std::path::PathBuf;

use serde_json::Value;
use serde_json::json;

use crate::crowd::CrowdReport;
use crate::crowd::Group;
use crate::error::Error;
use crate::output::Output;
use crate::timeline::Log;

/// Maximum number of customers in the report.
const MAX_CUSTOMERS: usize = 20;

/// Prints one report on all `logs`.
pub(super) fn run(logs: &[PathBuf], output: Output) -> Result<(), Error> {
    let mut lines = Vec::new();
    let mut unreadable = 0;
    for path in logs {
        let log = Log::read(path)?;
        lines.extend(log.lines);
        unreadable += log.unreadable;
    }
    let report = CrowdReport::new(&lines, MAX_CUSTOMERS);
    output.value(&json!({
        "customers": to_json(&report.customers),
        "ranks": to_json(&report.ranks),
        "data_centres": to_json(&report.data_centres),
        "unreadable": unreadable,
    }));
    output.line(&format!("{unreadable} lines could not be read"));
    let tables = [
        ("customer", &report.customers),
        ("rank", &report.ranks),
        ("data centre", &report.data_centres),
    ];
    for (title, groups) in tables {
        for line in format_table(title, groups) {
            output.line(&line);
        }
    }
    Ok(())
}

fn to_json(groups: &[(String, Group)]) -> Vec<Value> {
    let groups = groups.iter();
    let groups = groups.map(|(name, group)| json!({"name": name, "counts": group}));
    groups.collect()
}

fn format_table(title: &str, groups: &[(String, Group)]) -> Vec<String> {
    let mut lines = vec![format!(
        "{title:<16} requests answered   late  quota  room  other  return told  returns  units"
    )];
    for (name, group) in groups {
        lines.push(format_group(name, group));
        let causes = group.refused_otherwise.iter();
        lines.extend(causes.map(|(cause, count)| format!("    refused {count}: {cause}")));
        let keepers = group.keepers.iter();
        lines.extend(
            keepers.map(|(keeper, count)| format!("    quota decided by {keeper}: {count}")),
        );
    }
    lines
}

fn format_group(name: &str, group: &Group) -> String {
    let ms = |ms: Option<u64>| ms.map_or_else(|| "-".to_owned(), |ms| ms.to_string());
    let told = format!(
        "{}/{} ms",
        ms(group.retry_after_median_ms),
        ms(group.retry_after_p90_ms)
    );
    format!(
        "{name:<16} {:>8} {:>8} {:>6} {:>6} {:>5} {:>6}  {told}  {}/{}  {}/{}",
        group.requests,
        group.answered,
        group.late,
        group.beyond_quota,
        group.no_room,
        group.refused_otherwise.values().sum::<u64>(),
        group.returns_served,
        group.returns_refused,
        group.units_granted,
        group.units_refused,
    )
}
