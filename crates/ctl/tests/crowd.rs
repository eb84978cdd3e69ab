//! Counts of who waits and who is refused, by customer, rank and data centre.

use ctl::crowd::CrowdReport;
use ctl::crowd::Group;
use serde_json::Value;

/// Lines of two instances; the last request is of an older daemon, which logs fewer fields.
const LINES: &str = include_str!("crowd.log");

fn report(max_customers: usize) -> CrowdReport {
    let lines: Vec<Value> = LINES
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    CrowdReport::new(&lines, max_customers)
}

fn group<'a>(groups: &'a [(String, Group)], name: &str) -> &'a Group {
    let found = groups.iter().find(|(known, _)| known == name);
    &found.unwrap_or_else(|| panic!("no {name} in {groups:?}")).1
}

#[test]
fn customers_are_counted_by_outcome() {
    let report = report(20);
    let hot = group(&report.customers, "krmiva");
    assert_eq!((hot.requests, hot.answered, hot.late), (5, 2, 1));
    assert_eq!((hot.beyond_quota, hot.no_room, hot.refused()), (2, 1, 3));
    assert_eq!((hot.returns_served, hot.returns_refused), (1, 1));
    assert_eq!((hot.units_granted, hot.units_refused), (6_300, 11_400));
    assert_eq!(hot.keepers["edge-2"], 4);
    let median = hot.retry_after_median_ms;
    assert_eq!((median, hot.retry_after_p90_ms), (Some(900), Some(4_000)));
}

#[test]
fn customers_with_most_refusals_come_first() {
    let names = |max| -> Vec<String> {
        let customers = report(max).customers.into_iter();
        customers.map(|(name, _)| name).collect()
    };
    assert_eq!(names(20)[..2], ["krmiva", "farma"]);
    assert_eq!(names(1), ["krmiva"]);
}

#[test]
fn ranks_and_data_centres_are_counted() {
    let report = report(20);
    let ranks: Vec<&str> = report.ranks.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(ranks, ["0", "2", "unknown"]);
    assert_eq!(group(&report.ranks, "0").answered, 1);
    assert_eq!(group(&report.ranks, "2").beyond_quota, 2);
    assert_eq!(group(&report.data_centres, "osijek").requests, 5);
    // The log of the other instance begins after its start.
    assert_eq!(group(&report.data_centres, "unknown").requests, 2);
}

#[test]
fn other_refusals_are_counted_by_cause() {
    let report = report(20);
    let causes = &group(&report.customers, "farma").refused_otherwise;
    assert_eq!(causes["the quota cannot be asked"], 1);
}

#[test]
fn lines_of_older_daemons_are_counted() {
    let report = report(20);
    let unknown = group(&report.ranks, "unknown");
    assert_eq!((unknown.requests, unknown.answered), (1, 1));
    assert_eq!(unknown.retry_after_median_ms, None);
    assert_eq!(group(&report.customers, "none").requests, 1);
}

#[test]
fn no_lines_make_an_empty_report() {
    assert_eq!(CrowdReport::new(&[], 20), CrowdReport::default());
}
