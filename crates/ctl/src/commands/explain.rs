//! `explain`: shows what was decided for a request, and why.

use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::answer::Explanation;
use crate::cli::Options;
use crate::client::AdminClient;
use crate::config::Config;
use crate::error::Error;
use crate::error::FailedAttempt;
use crate::output::Output;
use crate::timeline;
use crate::timeline::Log;

/// Decision lines of one instance or log file.
struct SourceLines {
    source: String,
    lines: Vec<Value>,
}

/// Fields of a decision line that are printed.
#[derive(Debug, Deserialize)]
struct Decision {
    /// Time in RFC 3339 format; lines from an instance have none, but are in order.
    #[serde(default)]
    time: String,
    request: String,
    step: String,
    choice: String,
    #[serde(default)]
    alternatives: String,
    #[serde(default)]
    reason: String,
    #[serde(default)]
    generation: u64,
}

/// Searches the log files, and the instances unless only log files are given.
pub(super) async fn run(
    options: &Options,
    request: &str,
    logs: &[PathBuf],
    output: Output,
) -> Result<(), Error> {
    let contents: Vec<Log> = logs
        .iter()
        .map(|path| Log::read(path))
        .collect::<Result<_, _>>()?;
    if print_timeline(&contents, request, output) {
        return Ok(());
    }
    let sources = logs.iter().zip(&contents);
    let mut found: Vec<SourceLines> = sources
        .map(|(path, log)| find_decisions(path, request, log))
        .collect();
    let mut failed = Vec::new();
    match Config::new(options) {
        Ok(config) => query(&AdminClient::new(config), request, &mut found, &mut failed).await?,
        // Log files alone need no instance; invalid admin addresses are still an error.
        Err(Error::Usage { .. }) if !logs.is_empty() && options.admins.is_empty() => {}
        Err(error) => return Err(error),
    }
    print_decisions(&found, output);
    let empty = found.iter().all(|found| found.lines.is_empty());
    match (failed.is_empty(), empty) {
        (true, true) => Err(Error::NotFound {
            request: request.to_owned(),
        }),
        (true, false) => Ok(()),
        (false, _) => Err(Error::Unreachable {
            step: "GET /v1/explain".to_owned(),
            failures: failed,
        }),
    }
}

async fn query(
    admin: &AdminClient,
    request: &str,
    found: &mut Vec<SourceLines>,
    failed: &mut Vec<FailedAttempt>,
) -> Result<(), Error> {
    let path = format!("/v1/explain?request={}", percent_encode(request));
    for &address in admin.addresses() {
        match admin.get_at(address, &path).await {
            Ok(answer) => {
                let explained: Explanation = answer.parse()?;
                found.push(SourceLines {
                    source: answer.peer,
                    lines: explained.lines,
                });
            }
            Err(attempt) => failed.push(attempt),
        }
    }
    Ok(())
}

/// Finds the decision lines of a log whose request contains `request`.
fn find_decisions(path: &Path, request: &str, log: &Log) -> SourceLines {
    let lines = log.lines.iter().filter(|line| {
        let named = line["request"]
            .as_str()
            .is_some_and(|text| text.contains(request));
        named && line["kind"] == "decision"
    });
    SourceLines {
        source: path.display().to_string(),
        lines: lines.cloned().collect(),
    }
}

/// Prints the timeline of `request`; returns whether any line names it.
fn print_timeline(logs: &[Log], request: &str, output: Output) -> bool {
    let lines: Vec<Value> = logs.iter().flat_map(|log| log.lines.clone()).collect();
    let timeline = timeline::build(&lines, request);
    for sentence in &timeline {
        output.line(sentence);
    }
    let unreadable: usize = logs.iter().map(|log| log.unreadable).sum();
    if unreadable > 0 {
        output.line(&format!("({unreadable} lines could not be read)"));
    }
    if !timeline.is_empty() {
        output.value(&json!({ "life": timeline, "bad_lines": unreadable }));
    }
    !timeline.is_empty()
}

fn print_decisions(found: &[SourceLines], output: Output) {
    let all = found
        .iter()
        .flat_map(|found| found.lines.iter().map(|line| (&found.source, line)));
    let mut decisions: Vec<(&String, Decision)> = all
        .filter_map(|(source, line)| Some((source, serde_json::from_value(line.clone()).ok()?)))
        .collect();
    // The sort is stable: lines without a time keep the order of their source.
    decisions.sort_by(|(_, a), (_, b)| a.time.cmp(&b.time));
    for (source, decision) in &decisions {
        output.line(&describe_decision(source, decision));
    }
    let sources = found
        .iter()
        .map(|found| json!({ "source": found.source, "lines": found.lines }));
    output.value(&json!({ "found": sources.collect::<Vec<_>>() }));
}

fn describe_decision(source: &str, decision: &Decision) -> String {
    let Decision {
        request,
        step,
        choice,
        alternatives,
        reason,
        generation,
        ..
    } = decision;
    let instead = if alternatives.is_empty() {
        String::new()
    } else {
        format!(" (instead of {alternatives})")
    };
    format!("{source}: {request}: {step} {choice}{instead}: {reason} [generation {generation}]")
}

/// Percent-encodes the characters that are not allowed in a query value.
fn percent_encode(text: &str) -> String {
    let unreserved = |byte: &u8| byte.is_ascii_alphanumeric() || b"-_.~/".contains(byte);
    text.bytes()
        .map(|byte| {
            if unreserved(&byte) {
                char::from(byte).to_string()
            } else {
                format!("%{byte:02X}")
            }
        })
        .collect()
}
