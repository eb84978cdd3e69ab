//! Builds the timeline of one request from the log lines of gateway daemons.

mod describe;

use std::collections::HashMap;
use std::fs;
use std::io;
use std::io::Read;
use std::path::Path;

use serde::Deserialize;
use serde_json::Value;

use crate::error::Error;
use crate::timeline::describe::describe_line;

/// Path that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Parsed lines of a log file.
#[derive(Debug, Default)]
pub struct Log {
    /// Lines that are JSON objects.
    pub lines: Vec<Value>,
    /// Number of other lines, such as one truncated at the end of the file.
    pub unreadable: usize,
}

/// Fields that the lines of all kinds have in common.
#[derive(Debug, Deserialize)]
struct LineHeader {
    #[serde(default)]
    instance: String,
    /// Id of the run of the daemon's process.
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
    /// [`Error::Read`] if it can't be read.
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

    /// Parses the lines of `text`; any prefix before the first brace of a line is skipped.
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

/// Kinds of lines about a daemon as a whole, which affect all of its requests at that time.
const DAEMON_KINDS: [&str; 4] = ["pause", "stop", "overload", "evacuation"];

/// Describes what happened to `request`, in order of time; empty if no line names it.
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
    let evacuations = earlier_evacuations(&parsed, &request_lines);
    let paces = known_paces(&parsed, &request_lines);
    request_lines.extend(daemon_lines);
    request_lines.extend(paces);
    request_lines.extend(evacuations);
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

/// Whether `line` is from a run that handled the request, at a time when it did; a request without
/// an end lasts until the end of the run.
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

/// The lines about evacuations that were in force at a run of the request when the run began to
/// handle it.
fn earlier_evacuations<'a, 'b>(
    parsed: &'a [(LineHeader, &'b Value)],
    request_lines: &[&(LineHeader, &Value)],
) -> Vec<&'a (LineHeader, &'b Value)> {
    let is_earlier = |line: &LineHeader| {
        let mut same_run = request_lines
            .iter()
            .filter(|(other, _)| other.instance == line.instance && other.run == line.run);
        let earliest = same_run.clone().map(|(other, _)| other.up_ms).min();
        same_run.next().is_some() && earliest.is_some_and(|earliest| line.up_ms < earliest)
    };
    let mut latest = HashMap::new();
    let lines = parsed.iter().filter(|(line, _)| line.kind == "evacuation");
    for entry in lines.filter(|(line, _)| is_earlier(line)) {
        let (line, value) = entry;
        let name = value["evacuated_data_centre"].to_string();
        let run = (line.instance.clone(), line.run.clone(), name);
        let known: &mut &(LineHeader, &Value) = latest.entry(run).or_insert(entry);
        if known.0.up_ms <= line.up_ms {
            *known = entry;
        }
    }
    let latest = latest.into_values();
    latest
        .filter(|(_, value)| value["begins"] == true)
        .collect()
}

/// For each replica of the request, the latest line on its speed that a run of the request logged
/// before the end of the request.
fn known_paces<'a, 'b>(
    parsed: &'a [(LineHeader, &'b Value)],
    request_lines: &[&(LineHeader, &Value)],
) -> Vec<&'a (LineHeader, &'b Value)> {
    let concerns_request = |line: &LineHeader, value: &Value| {
        let mut same_run = request_lines
            .iter()
            .filter(|(other, _)| other.instance == line.instance && other.run == line.run);
        let is_used = same_run
            .clone()
            .any(|(_, other)| other["replica"] == value["replica"]);
        is_used && same_run.any(|(other, _)| line.up_ms <= other.up_ms)
    };
    let mut latest = HashMap::new();
    let lines = parsed.iter().filter(|(line, _)| line.kind == "pace");
    for entry in lines.filter(|(line, value)| concerns_request(line, value)) {
        let (line, value) = entry;
        let replica = value["replica"].to_string();
        let run = (line.instance.clone(), line.run.clone(), replica);
        let known: &mut &(LineHeader, &Value) = latest.entry(run).or_insert(entry);
        if known.0.up_ms <= line.up_ms {
            *known = entry;
        }
    }
    latest.into_values().collect()
}

/// Orders lines by run and time, and removes duplicates.
fn sort_and_dedup(request_lines: &mut Vec<&(LineHeader, &Value)>) {
    // The time of day may jump, so it only orders the runs; `up_ms` orders the lines of a run.
    let run = |line: &LineHeader| (line.instance.clone(), line.run.clone());
    let mut run_starts = HashMap::new();
    for (line, _) in request_lines.iter().rev() {
        run_starts.insert(run(line), line.time.clone());
    }
    request_lines
        .sort_by_key(|(line, _)| (run_starts.get(&run(line)).cloned(), run(line), line.up_ms));
    request_lines.dedup_by(|(_, left), (_, right)| left == right);
}

/// Explains why the request with the last line `last` has no end.
fn explain_missing_end(parsed: &[(LineHeader, &Value)], last: &LineHeader) -> String {
    let restart = parsed.iter().find(|(line, _)| {
        line.kind == "start"
            && line.instance == last.instance
            && line.run != last.run
            && line.time > last.time
    });
    match restart {
        Some((line, _)) => format!(
            "NO END: the process of {} died without a log line and was restarted at {}",
            last.instance, line.time
        ),
        None => "NO END: the log lines stop before the request ends".to_owned(),
    }
}
