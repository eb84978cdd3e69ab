//! Logging to standard error, one JSON object per line, and the decision lines for `explain`.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use flexi_logger::DeferredNow;
use flexi_logger::LogSpecification;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use launch::error::Error;
use node::decision::Decision;
use serde_json::Value;

/// Log levels: `info` for this product, `warn` for libraries.
const LOG_LEVELS: &str = "warn, entry=info, waxwingd=info";
/// Decision lines kept for `explain`.
const MAX_LINES: usize = 8_000;
/// Longest field of a kept decision line, in bytes; longer ones are truncated.
const MAX_FIELD_BYTES: usize = 256;

/// Starts logging; dropping the handle ends it.
///
/// # Errors
/// `Start` if a logger is already running.
pub fn start() -> Result<LoggerHandle, Error> {
    LogSpecification::parse(LOG_LEVELS)
        .map(Logger::with)
        .and_then(|logger| logger.format(logs::line::write).start())
        .map_err(|error| Error::Start {
            step: "logs",
            cause: error.to_string(),
        })
}

/// The latest decision lines.
#[derive(Debug, Default)]
pub struct RecentDecisions {
    lines: Mutex<VecDeque<Line>>,
}

#[derive(Debug)]
struct Line {
    /// Time in RFC 3339 format.
    time: String,
    decision: Decision,
}

impl RecentDecisions {
    /// Creates an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Logs `decision` and keeps its line.
    pub fn record(&self, decision: &Decision) {
        log::info!(
            kind = "decision",
            request = decision.request.as_str(),
            step = decision.step.as_str(),
            choice = decision.choice.as_str(),
            alternatives = decision.alternatives.as_str(),
            reason = decision.reason.as_str(),
            generation = decision.generation;
            "{}", decision.step.as_str()
        );
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() == MAX_LINES {
            lines.pop_front();
        }
        lines.push_back(Line {
            time: DeferredNow::new().format_rfc3339(),
            decision: truncated(decision),
        });
    }

    /// Returns the kept lines whose request contains `text`, oldest first.
    pub fn find(&self, text: &str) -> Vec<Value> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines
            .iter()
            .filter(|line| line.decision.request.contains(text))
            .map(json)
            .collect()
    }
}

fn truncated(decision: &Decision) -> Decision {
    let mut kept = decision.clone();
    for field in [
        &mut kept.request,
        &mut kept.choice,
        &mut kept.alternatives,
        &mut kept.reason,
    ] {
        field.truncate(field.floor_char_boundary(MAX_FIELD_BYTES));
    }
    kept
}

fn json(line: &Line) -> Value {
    let decision = &line.decision;
    serde_json::json!({
        "time": line.time,
        "kind": "decision",
        "request": decision.request,
        "step": decision.step.as_str(),
        "choice": decision.choice,
        "alternatives": decision.alternatives,
        "reason": decision.reason,
        "generation": decision.generation,
    })
}
