//! Classifies each generation in the log lines of gateway daemons by why it was late or lost.
//!
//! A daemon sees single attempts: a request that is refused and retried by its caller counts twice.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde_json::Value;

/// Distance within which pauses in streams of one replica count as simultaneous.
const PAUSE_WINDOW_MS: u64 = 700;
/// Most simultaneous pauses attributed to single runs; with more, the replica is the cause.
const MAX_UNRELATED_PAUSES: usize = 3;

/// Why a generation was late or lost, or that it was neither.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Complete and on time.
    InTime,
    /// No decode replica had room.
    Refused,
    /// The first event was sent later than the latency objective.
    LateFirstEvent,
    /// Its stream paused together with others of its replica: the replica was prefilling a prompt.
    ReplicaPaused,
    /// Only its own stream paused: its replica preempted it.
    Preempted,
    /// It was resumed on another replica after its own was lost.
    Resumed,
    /// Its stream broke off, its outcome is unknown, or it ran out of time.
    BrokenOff,
    /// The caller left before the end.
    CallerLeft,
    /// The replica answered with an error.
    Failed,
    /// No end was logged: its daemon was killed, or the logs stop earlier.
    NoEnd,
    /// An outcome that this version does not know.
    Other,
}

impl Cause {
    /// Description for operators, also the value of `cause` in JSON output.
    pub const fn text(self) -> &'static str {
        match self {
            Self::InTime => "in time",
            Self::Refused => "refused: no decode replica had room",
            Self::LateFirstEvent => "late: first event after the objective",
            Self::ReplicaPaused => "late: all streams of the replica paused",
            Self::Preempted => "late: the stream paused alone",
            Self::Resumed => "late: went on elsewhere after its replica was lost",
            Self::BrokenOff => "broken off",
            Self::CallerLeft => "the caller left",
            Self::Failed => "the replica's own failure",
            Self::NoEnd => "no end in the logs",
            Self::Other => "other",
        }
    }
}

/// What the log lines say about one generation.
#[derive(Debug, Default)]
struct Generation {
    /// Second of the day of its last line.
    second: u64,
    late: bool,
    resumed: bool,
    /// Replica and time in milliseconds of the first pause.
    pause: Option<(String, u64)>,
    outcome: Option<String>,
}

/// Numbers of generations by cause, in total and by second, and of requests by customer.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct OutcomeReport {
    /// Generations by cause.
    pub causes: BTreeMap<Cause, u64>,
    /// Ended requests by customer and outcome; those without a customer are left out.
    pub customers: BTreeMap<String, BTreeMap<String, u64>>,
    /// Generations by cause for each second of the day, by the daemons' clocks.
    pub seconds: BTreeMap<u64, BTreeMap<Cause, u64>>,
}

impl OutcomeReport {
    /// Classifies the generations in `lines`.
    pub fn new(lines: &[Value]) -> Self {
        let mut generations: HashMap<&str, Generation> = HashMap::new();
        let mut pauses: HashMap<String, Vec<u64>> = HashMap::new();
        for line in lines {
            let Some(request) = line["request"].as_str() else {
                continue;
            };
            let at = time_of_day_ms(line);
            if line["kind"] == "gap" {
                pauses.entry(field(line, "replica")).or_default().push(at);
            }
            if is_of_generation(line) || generations.contains_key(request) {
                apply_line(generations.entry(request).or_default(), line, at);
            }
        }
        let mut report = Self {
            customers: count_by_customer(lines),
            ..Self::default()
        };
        for generation in generations.values() {
            let cause = classify(generation, &pauses);
            *report.causes.entry(cause).or_default() += 1;
            let second = report.seconds.entry(generation.second).or_default();
            *second.entry(cause).or_default() += 1;
        }
        report
    }

    /// Number of generations.
    pub fn total(&self) -> u64 {
        self.causes.values().sum()
    }
}

/// Counts the ended requests of each customer by outcome.
fn count_by_customer(lines: &[Value]) -> BTreeMap<String, BTreeMap<String, u64>> {
    let mut customers: BTreeMap<String, BTreeMap<String, u64>> = BTreeMap::new();
    for line in lines.iter().filter(|line| line["kind"] == "end") {
        let customer = field(line, "customer");
        if !customer.is_empty() {
            let outcomes = customers.entry(customer).or_default();
            *outcomes.entry(field(line, "outcome")).or_default() += 1;
        }
    }
    customers
}

/// Whether `line` is of a kind that is logged for generations only.
fn is_of_generation(line: &Value) -> bool {
    match line["kind"].as_str() {
        Some("reserve" | "read" | "first" | "gap" | "move") => true,
        Some("send") => line["prompt"].as_u64().is_some_and(|prompt| prompt > 0),
        _ => false,
    }
}

fn apply_line(generation: &mut Generation, line: &Value, at: u64) {
    generation.second = at / 1_000;
    match line["kind"].as_str() {
        Some("first") => generation.late |= field(line, "late") == "true",
        Some("gap") if generation.pause.is_none() => {
            generation.pause = Some((field(line, "replica"), at));
        }
        Some("retry") => generation.resumed |= field(line, "granted") == "true",
        Some("end") => generation.outcome = Some(field(line, "outcome")),
        _ => {}
    }
}

fn classify(generation: &Generation, pauses: &HashMap<String, Vec<u64>>) -> Cause {
    let replica_paused = |(replica, at): &(String, u64)| {
        let times = pauses.get(replica).map_or(&[][..], Vec::as_slice);
        let nearby = times
            .iter()
            .filter(|time| time.abs_diff(*at) < PAUSE_WINDOW_MS);
        nearby.count() > MAX_UNRELATED_PAUSES
    };
    match (generation.outcome.as_deref(), &generation.pause) {
        (None, _) => Cause::NoEnd,
        (Some("answered"), _) if generation.late => Cause::LateFirstEvent,
        (Some("answered"), Some(pause)) if replica_paused(pause) => Cause::ReplicaPaused,
        (Some("answered"), Some(_)) if generation.resumed => Cause::Resumed,
        (Some("answered"), Some(_)) => Cause::Preempted,
        (Some("answered"), None) => Cause::InTime,
        (Some("refused"), _) => Cause::Refused,
        (Some("broken" | "unknown" | "overdue"), _) => Cause::BrokenOff,
        (Some("caller-left"), _) => Cause::CallerLeft,
        (Some("failed"), _) => Cause::Failed,
        (Some(_), _) => Cause::Other,
    }
}

/// Time of day in milliseconds; the clocks of the daemons are assumed to agree closely.
fn time_of_day_ms(line: &Value) -> u64 {
    let time = field(line, "time");
    let clock = time.get(11..23).unwrap_or_default();
    let mut parts = clock
        .split([':', '.'])
        .map(|part| part.parse().unwrap_or(0));
    let mut next = || -> u64 { parts.next().unwrap_or(0) };
    ((next() * 60 + next()) * 60 + next()) * 1_000 + next()
}

fn field(line: &Value, name: &str) -> String {
    match &line[name] {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
