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
    pub bad: usize,
}

/// What all lines about a request have.
#[derive(Debug, Deserialize)]
struct Line {
    #[serde(default)]
    instance: String,
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
                None => log.bad += 1,
            }
        }
        log
    }
}

/// The life of `request` in plain words, in order of time; empty if no line names it.
pub fn tell(lines: &[Value], request: &str) -> Vec<String> {
    let about = lines.iter().filter(|line| line["request"] == request);
    let mut about: Vec<(Line, &Value)> = about
        .filter_map(|value| Some((serde_json::from_value::<Line>(value.clone()).ok()?, value)))
        .filter(|(line, _)| line.kind != "decision")
        .collect();
    // The time of day may jump: it orders the instances, and their other clock orders the lines.
    let begun: HashMap<String, String> =
        about.iter().rev().fold(HashMap::new(), |mut all, line| {
            all.insert(line.0.instance.clone(), line.0.time.clone());
            all
        });
    about.sort_by_key(|(line, _)| {
        let begun = begun.get(&line.instance).cloned();
        (begun, line.instance.clone(), line.up_ms)
    });
    about.dedup_by(|(_, left), (_, right)| left == right);
    about
        .iter()
        .map(|(line, value)| {
            let at = line.up_ms as f64 / 1_000.0;
            format!(
                "{} {at:.3} s: {}",
                line.instance,
                sentence(&line.kind, value)
            )
        })
        .collect()
}

fn sentence(kind: &str, line: &Value) -> String {
    let text = |name: &str| match &line[name] {
        Value::String(text) => text.clone(),
        Value::Null => "?".to_owned(),
        other => other.to_string(),
    };
    match kind {
        "send" => format!(
            "sent to {} to {} ({} of this daemon at work there, list of replicas {}, plan {}, {} ms left)",
            text("replica"),
            task(&text("task")),
            text("in_flight"),
            text("replicas"),
            text("plan"),
            text("left_ms")
        ),
        "read" => format!("the prompt was read after {} ms", text("ms")),
        "first" => format!("the first event went to the caller after {} ms", text("ms")),
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
        "end" => format!("END: {}", end(&text("outcome"), &text)),
        _ => text("text"),
    }
}

fn task(word: &str) -> &str {
    match word {
        "prefill" => "read the prompt",
        "decode" => "make tokens from the prompt read elsewhere",
        "resume" => "go on after the last event",
        _ => "answer",
    }
}

fn end(outcome: &str, text: &impl Fn(&str) -> String) -> String {
    let after = format!("after {} ms", text("ms"));
    match outcome {
        "answered" => format!("answered with {} {after}", text("status")),
        "failed" => format!(
            "the replica's failure {} was passed on {after}; it ran",
            text("status")
        ),
        "refused" => format!("refused, it has not run: {}", text("cause")),
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
