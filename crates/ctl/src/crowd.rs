//! Counts who waits, who is refused and why, from the log lines of gateway daemons.
//!
//! A daemon sees single attempts: a request that is refused and retried by its caller counts twice.
//! Fields that older daemons do not log count as unknown.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Serialize;
use serde_json::Value;

/// Name of what no line tells.
pub const UNKNOWN: &str = "unknown";
/// Name of the requests without a customer.
pub const NO_CUSTOMER: &str = "none";

/// What the log lines say about one attempt.
#[derive(Debug, Default)]
struct Attempt {
    customer: Option<String>,
    rank: Option<String>,
    /// Instance that its caller was connected to.
    instance: String,
    returned: bool,
    late: bool,
    /// Whether no decode replica had room for it.
    found_no_room: bool,
    /// Outcome and cause of its end.
    end: Option<(String, String)>,
    retry_after_ms: Option<u64>,
    units_granted: u64,
    units_refused: u64,
    keepers: Vec<String>,
}

/// Counts of the requests of one customer, rank or data centre.
#[derive(Debug, Default, PartialEq, Eq, Serialize)]
pub struct Group {
    /// Requests that ended.
    pub requests: u64,
    /// Those that were answered.
    pub answered: u64,
    /// Answered ones whose first event was late.
    pub late: u64,
    /// Refused beyond the quota.
    pub beyond_quota: u64,
    /// Refused since no decode replica had room.
    pub no_room: u64,
    /// Other refusals by cause.
    pub refused_otherwise: BTreeMap<String, u64>,
    /// Returned requests that were answered.
    pub returns_served: u64,
    /// Returned requests that were refused again.
    pub returns_refused: u64,
    /// Units granted at the quota.
    pub units_granted: u64,
    /// Units refused at the quota.
    pub units_refused: u64,
    /// Decisions at the quota by the instance that made them.
    pub keepers: BTreeMap<String, u64>,
    /// Median of the return times told to refused callers, in milliseconds.
    pub retry_after_median_ms: Option<u64>,
    /// 90th percentile of these.
    pub retry_after_p90_ms: Option<u64>,
    #[serde(skip)]
    retry_after_ms: Vec<u64>,
}

/// Counts by customer, by rank and by data centre.
#[derive(Debug, Default, PartialEq, Eq, Serialize)]
pub struct CrowdReport {
    /// By customer, those with most refusals first.
    pub customers: Vec<(String, Group)>,
    /// By rank, the most urgent first.
    pub ranks: Vec<(String, Group)>,
    /// By data centre of the instance that the caller was connected to.
    pub data_centres: Vec<(String, Group)>,
}

impl CrowdReport {
    /// Counts the requests in `lines`; the report has at most `max_customers` customers.
    pub fn new(lines: &[Value], max_customers: usize) -> Self {
        let places = data_centres(lines);
        let (mut customers, mut ranks, mut data_centres) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        for attempt in attempts(lines).values() {
            let customer = match attempt.customer.as_deref() {
                Some("") => NO_CUSTOMER,
                known => known.unwrap_or(UNKNOWN),
            };
            let rank = attempt.rank.as_deref().unwrap_or(UNKNOWN);
            let place = places.get(&attempt.instance);
            let place = place.map_or(UNKNOWN, String::as_str);
            let counted = [
                (&mut customers, customer),
                (&mut ranks, rank),
                (&mut data_centres, place),
            ];
            for (groups, name) in counted {
                groups
                    .entry(name.to_owned())
                    .or_insert_with(Group::default)
                    .add(attempt);
            }
        }
        let mut customers = finish(customers);
        customers.sort_by_key(|(_, group)| std::cmp::Reverse(group.refused()));
        customers.truncate(max_customers);
        Self {
            customers,
            ranks: finish(ranks),
            data_centres: finish(data_centres),
        }
    }
}

impl Group {
    /// All refusals.
    pub fn refused(&self) -> u64 {
        self.beyond_quota + self.no_room + self.refused_otherwise.values().sum::<u64>()
    }

    fn add(&mut self, attempt: &Attempt) {
        self.units_granted += attempt.units_granted;
        self.units_refused += attempt.units_refused;
        for keeper in &attempt.keepers {
            *self.keepers.entry(keeper.clone()).or_default() += 1;
        }
        let Some((outcome, cause)) = &attempt.end else {
            return;
        };
        self.requests += 1;
        let refused_before = self.refused();
        match outcome.as_str() {
            "answered" => {
                self.answered += 1;
                self.late += u64::from(attempt.late);
                self.returns_served += u64::from(attempt.returned);
            }
            "beyond-quota" => self.beyond_quota += 1,
            "refused" if attempt.found_no_room => self.no_room += 1,
            "refused" => *self.refused_otherwise.entry(cause.clone()).or_default() += 1,
            _ => {}
        }
        if self.refused() > refused_before {
            self.returns_refused += u64::from(attempt.returned);
            self.retry_after_ms.extend(attempt.retry_after_ms);
        }
    }
}

/// The groups with the percentiles of their return times.
fn finish(groups: BTreeMap<String, Group>) -> Vec<(String, Group)> {
    let groups = groups.into_iter().map(|(name, mut group)| {
        group.retry_after_ms.sort_unstable();
        let percentile = |percent: usize| {
            let rank = (group.retry_after_ms.len() * percent).div_ceil(100);
            group.retry_after_ms.get(rank.saturating_sub(1)).copied()
        };
        let (median, p90) = (percentile(50), percentile(90));
        group.retry_after_median_ms = median;
        group.retry_after_p90_ms = p90;
        (name, group)
    });
    groups.collect()
}

/// Data centre of each instance, from the lines that it logged when it started.
fn data_centres(lines: &[Value]) -> HashMap<String, String> {
    let starts = lines.iter().filter(|line| line["kind"] == "start");
    let named =
        starts.filter_map(|line| Some((text(line, "instance")?, text(line, "data_centre")?)));
    named.collect()
}

/// The attempts by the ids of their requests.
fn attempts(lines: &[Value]) -> HashMap<&str, Attempt> {
    let mut attempts: HashMap<&str, Attempt> = HashMap::new();
    for line in lines {
        let Some(request) = line["request"].as_str() else {
            continue;
        };
        match line["kind"].as_str() {
            Some("first") => {
                let attempt = attempts.entry(request).or_default();
                attempt.late |= is_true(line, "late");
            }
            // With a cause, a reservation failed for another reason.
            Some("reserve") if line["cause"].is_null() => {
                attempts.entry(request).or_default().found_no_room = true;
            }
            Some("quota") => apply_quota(attempts.entry(request).or_default(), line),
            Some("end") => apply_end(attempts.entry(request).or_default(), line),
            _ => {}
        }
    }
    // What only a peer logged of a request has no customer, rank or end.
    attempts.retain(|_, attempt| attempt.customer.is_some() || attempt.end.is_some());
    attempts
}

fn apply_quota(attempt: &mut Attempt, line: &Value) {
    apply_owner(attempt, line);
    let units = line["units"].as_u64().unwrap_or_default();
    let decision = text(line, "decision").unwrap_or_default();
    match decision.split(' ').next() {
        Some("Granted") => attempt.units_granted += units,
        Some("Refused") => attempt.units_refused += units,
        _ => {}
    }
    let keeper = text(line, "keeper").filter(|keeper| !keeper.is_empty());
    attempt.keepers.extend(keeper);
}

fn apply_end(attempt: &mut Attempt, line: &Value) {
    apply_owner(attempt, line);
    let outcome = text(line, "outcome").unwrap_or_default();
    let cause = text(line, "cause").unwrap_or_default();
    attempt.end = Some((outcome, cause));
    attempt.retry_after_ms = line["retry_after_ms"].as_u64().filter(|ms| *ms > 0);
}

fn apply_owner(attempt: &mut Attempt, line: &Value) {
    attempt.customer = text(line, "customer").or(attempt.customer.take());
    attempt.rank = text(line, "rank").or(attempt.rank.take());
    attempt.returned |= is_true(line, "returned");
    attempt.instance = text(line, "instance").unwrap_or_default();
}

fn is_true(line: &Value, name: &str) -> bool {
    text(line, name).as_deref() == Some("true")
}

/// The field `name` as text; `None` if the line does not have it.
fn text(line: &Value, name: &str) -> Option<String> {
    match &line[name] {
        Value::String(text) => Some(text.clone()),
        Value::Null => None,
        other => Some(other.to_string()),
    }
}
