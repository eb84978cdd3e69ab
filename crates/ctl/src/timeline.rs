//! One request's life, told from the log lines of gateway daemons.

use std::collections::HashMap;
use std::fs;
use std::io;
use std::io::Read;
use std::path::Path;

use serde::Deserialize;
use serde_json::Value;

use crate::error::Error;

/// Path that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// The lines of a source, read one by one.
#[derive(Debug, Default)]
pub struct Log {
    /// Lines that are JSON objects.
    pub lines: Vec<Value>,
    /// Lines that are not, such as one cut off at the end.
    pub unreadable: usize,
}

/// What all lines about a request have.
#[derive(Debug, Deserialize)]
struct LineHeader {
    #[serde(default)]
    instance: String,
    /// The run of its process.
    #[serde(default)]
    run: String,
    #[serde(default)]
    up_ms: u64,
    #[serde(default)]
    time: String,
    #[serde(default)]
    kind: String,
}

impl Log {
    /// Reads the file at `path`, or standard input if that is `-`.
    ///
    /// # Errors
    /// `Read` if it cannot be read.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let mut bytes = Vec::new();
        let read = match path.to_str() {
            Some(STANDARD_INPUT) => io::stdin().read_to_end(&mut bytes).map(drop),
            _ => fs::read(path).map(|read| bytes = read),
        };
        read.map_err(|cause| Error::Read {
            path: path.to_owned(),
            cause,
        })?;
        Ok(Self::parse(&String::from_utf8_lossy(&bytes)))
    }

    /// Takes the lines of `text`; what stands before the first brace of a line is passed over.
    pub fn parse(text: &str) -> Self {
        let mut log = Self::default();
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let object = line.find('{').map(|start| &line[start..]);
            match object.and_then(|object| serde_json::from_str::<Value>(object).ok()) {
                Some(value) => log.lines.push(value),
                None => log.unreadable += 1,
            }
        }
        log
    }
}

/// Kinds of lines about a whole daemon that bear on each of its requests at that time.
const DAEMON_KINDS: [&str; 3] = ["pause", "stop", "overload"];

/// The life of `request` in plain words, in order of time; empty if no line names it.
pub fn build(lines: &[Value], request: &str) -> Vec<String> {
    let parsed = lines.iter().filter_map(|value| {
        Some((
            serde_json::from_value::<LineHeader>(value.clone()).ok()?,
            value,
        ))
    });
    let parsed: Vec<(LineHeader, &Value)> =
        parsed.filter(|(line, _)| line.kind != "decision").collect();
    let mut request_lines: Vec<&(LineHeader, &Value)> = parsed
        .iter()
        .filter(|(_, value)| value["request"] == request)
        .collect();
    let ended = request_lines.iter().any(|(line, _)| line.kind == "end");
    let daemon_lines: Vec<&(LineHeader, &Value)> = parsed
        .iter()
        .filter(|(line, _)| {
            DAEMON_KINDS.contains(&line.kind.as_str())
                && overlaps_request(&request_lines, line, ended)
        })
        .collect();
    request_lines.extend(daemon_lines);
    sort_and_dedup(&mut request_lines);
    let mut timeline: Vec<String> = request_lines
        .iter()
        .map(|(line, value)| {
            let at = line.up_ms as f64 / 1_000.0;
            let event = describe_line(&line.kind, value);
            format!("{} {at:.3} s: {event}", line.instance)
        })
        .collect();
    if let Some((last, _)) = request_lines.last().filter(|_| !ended) {
        timeline.push(explain_missing_end(&parsed, last));
    }
    timeline
}

/// Whether `line` falls into the time of one of the runs that `about` tells of; a request without
/// an end lasts for as long as the run.
fn overlaps_request(
    request_lines: &[&(LineHeader, &Value)],
    line: &LineHeader,
    ended: bool,
) -> bool {
    let same_run = request_lines
        .iter()
        .filter(|(other, _)| other.instance == line.instance && other.run == line.run);
    let times: Vec<u64> = same_run.map(|(other, _)| other.up_ms).collect();
    let first = times.iter().min();
    let last = times.iter().max();
    let started = first.is_some_and(|first| *first <= line.up_ms);
    started && (!ended || last.is_some_and(|last| line.up_ms <= *last))
}

/// Orders lines by instance and time, each once.
fn sort_and_dedup(request_lines: &mut Vec<&(LineHeader, &Value)>) {
    // The time of day may jump: it orders the runs, and their other clock orders the lines.
    let run = |line: &LineHeader| (line.instance.clone(), line.run.clone());
    let mut run_starts = HashMap::new();
    for (line, _) in request_lines.iter().rev() {
        run_starts.insert(run(line), line.time.clone());
    }
    request_lines
        .sort_by_key(|(line, _)| (run_starts.get(&run(line)).cloned(), run(line), line.up_ms));
    request_lines.dedup_by(|(_, left), (_, right)| left == right);
}

/// Why the request that `last` is the last line of has no end.
fn explain_missing_end(parsed: &[(LineHeader, &Value)], last: &LineHeader) -> String {
    let restart = parsed.iter().find(|(line, _)| {
        line.kind == "start"
            && line.instance == last.instance
            && line.run != last.run
            && line.time > last.time
    });
    match restart {
        Some((line, _)) => format!(
            "NO END is told: the process of {} ended without a word and was started again at {}",
            last.instance, line.time
        ),
        None => "NO END is told: the lines end before the request".to_owned(),
    }
}

fn describe_line(kind: &str, line: &Value) -> String {
    let text = |name: &str| match &line[name] {
        Value::String(text) => text.clone(),
        Value::Null => "?".to_owned(),
        other => other.to_string(),
    };
    match kind {
        "send" => format!(
            "sent to {} to {}{} ({} of this daemon at work there, list of replicas {}, plan {}, {} ms left)",
            text("replica"),
            describe_task(&text("task")),
            describe_cache(&text("cache")),
            text("in_flight"),
            text("replicas"),
            text("plan"),
            text("left_ms")
        ),
        "quota" => describe_quota(line, &text),
        "read" => format!(
            "the prompt was read after {} ms{}",
            text("ms"),
            describe_cache(&text("cache"))
        ),
        "first" => format!("the first event went to the caller after {} ms", text("ms")),
        "reserve" if !line["cause"].is_null() => format!(
            "a decode replica did not answer when it was asked for room: {}",
            text("cause")
        ),
        "reserve" => format!(
            "no decode replica had room for {} tokens in {} rounds",
            text("tokens"),
            text("rounds")
        ),
        "retry" if text("granted") == "true" => format!(
            "a retry was granted ({} were left, shared by {} daemons)",
            text("left"),
            text("sharers")
        ),
        "retry" => format!(
            "no retry was left ({} for this daemon, shared by {})",
            text("left"),
            text("sharers")
        ),
        "failure" => format!(
            "{} failed: {} (outcome {}, status {})",
            text("replica"),
            text("cause"),
            text("outcome"),
            text("status")
        ),
        "silence" => format!(
            "{} has been silent for {} ms; asked on another connection, it {}",
            text("replica"),
            text("ms"),
            if text("answers") == "true" {
                "answers"
            } else {
                "does not answer"
            }
        ),
        "gap" => format!(
            "no event came from {} for {} ms, after {} events",
            text("replica"),
            text("ms"),
            text("events")
        ),
        "move" if text("stopped") == "true" => format!(
            "the run left {}, whose memory was about to end, for {} after {} events{}",
            text("replica"),
            text("to"),
            text("events"),
            if text("copied") == "true" {
                ""
            } else {
                "; its memory could not be copied"
            }
        ),
        "move" => format!(
            "the run was to leave {} for {} and did not: {}",
            text("replica"),
            text("to"),
            text("cause")
        ),
        "pause" => format!("(the process stood still for {} ms)", text("ms")),
        "stop" => format!("(the daemon is {})", text("text")),
        "overload" => "(an instance of the data centre was overloaded)".to_owned(),
        "end" => format!("END: {}", describe_end(&text("outcome"), &text)),
        _ => text("text"),
    }
}

/// What was decided on the quota of a customer, and by whom.
fn describe_quota(line: &Value, text: &impl Fn(&str) -> String) -> String {
    let asked = format!(
        "the quota of {} was asked for {} units",
        text("customer"),
        text("units")
    );
    let decision = text("decision");
    match line["keeper"].as_str() {
        None | Some("") => format!("{asked}, and no daemon that keeps it could tell"),
        Some(keeper) => format!(
            "{asked}; {keeper} told after {} ms: {decision}, {} units left",
            text("ms"),
            text("left")
        ),
    }
}

/// Which KV cache a line names; nothing if it names none.
fn describe_cache(name: &str) -> String {
    match name {
        "" | "?" => String::new(),
        name => format!(" (KV cache {name})"),
    }
}

fn describe_task(word: &str) -> &str {
    match word {
        "prefill" => "read the prompt",
        "decode" => "make tokens from the prompt read elsewhere",
        "resume" => "go on after the last event",
        _ => "answer",
    }
}

fn describe_end(outcome: &str, text: &impl Fn(&str) -> String) -> String {
    let after = format!("after {} ms", text("ms"));
    match outcome {
        "answered" => format!("answered with {} {after}", text("status")),
        "failed" => format!(
            "the replica's failure {} was passed on {after}; it ran",
            text("status")
        ),
        "refused" => format!("refused, it has not run: {}", text("cause")),
        "beyond-quota" => format!(
            "refused with {}, it has not run: {}",
            text("status"),
            text("cause")
        ),
        "rejected" => format!("rejected with {}: {}", text("status"), text("cause")),
        "unknown" => format!(
            "outcome unknown, it may have run: {} ({after})",
            text("cause")
        ),
        "overdue" => format!("time was up, it may have run: {} ({after})", text("cause")),
        "broken" => format!("the stream was broken off: {} ({after})", text("cause")),
        "caller-left" => format!("the caller left {after}"),
        other => format!("{other}: {}", text("cause")),
    }
}
