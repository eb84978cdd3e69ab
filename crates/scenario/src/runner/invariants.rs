//! Checks the invariants that must hold at the end of every scenario.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::Value;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::error::Error;
use crate::runner::POLL_INTERVAL;
use crate::runner::Runner;
use crate::runner::connection::Connection;
use crate::runner::connection::End;
use crate::runner::decisions;
use crate::runner::decisions::DecisionLine;
use crate::runner::request::Request;

/// Time within which engines must release everything after all callers have disconnected. The
/// documented bound (callers' grace, orphan grace and a few inspections) is less than half of it.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after the acceptance of an edit from which no decision may use an older table. The
/// documented bound is the lease.
const MAX_STALE_DECISION_MS: u64 = 6_000;

impl Runner {
    /// Checks all invariants.
    pub(super) async fn check_invariants(&mut self) -> Result<(), Error> {
        for request in self.requests.values() {
            for connection in &request.connections {
                connection.task.abort();
            }
        }
        let engines = self.collector.replica_names();
        self.check_released(&engines, RELEASE_TIMEOUT).await?;
        self.check_idle().await?;
        let runs = self.collector.all_runs().await;
        let logs: BTreeMap<String, Vec<DecisionLine>> = self
            .daemons()
            .into_iter()
            .map(|name| (name.clone(), self.decision_lines(&name)))
            .collect();
        let lines: Vec<DecisionLine> = logs.values().flatten().cloned().collect();
        for (name, request) in &self.requests {
            let faults = [
                self.lost_connection(request),
                tokens_fault(request),
                repeated_answer(request),
                repeated_run(request, &runs),
                false_refusal(request, &runs, &lines),
            ];
            if let Some(fault) = faults.into_iter().flatten().next() {
                return Err(self.failure(format!("{name}: {fault}")));
            }
        }
        for (name, lines) in &logs {
            self.check_generations(name, lines)?;
        }
        self.check_edits(&lines)
    }

    /// Waits until no daemon has open requests, holds, or placed or waiting generations.
    async fn check_idle(&self) -> Result<(), Error> {
        let end = Instant::now() + RELEASE_TIMEOUT;
        for daemon in self.daemons() {
            let admin = self.fleet.daemon(&daemon)?.admin.clone();
            loop {
                let status = self.fleet.get_as_operator(&admin, "/v1/status").await;
                let status = status.unwrap_or_default();
                if is_idle(&status) {
                    break;
                }
                self.ensure(
                    Instant::now() < end,
                    format!("{daemon} is not idle: {status}"),
                )?;
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Reports a connection that was lost although its daemon was not disrupted.
    fn lost_connection(&self, request: &Request) -> Option<String> {
        let lost = request.connections.iter().find(|connection| {
            let ended = connection.ended();
            let lost = ended.is_some_and(|ended| matches!(ended.end, End::Cut | End::Lost(_)));
            lost && !self.disrupted.contains(&connection.daemon())
        })?;
        Some(format!(
            "{} lost the connection: {:?}",
            lost.daemon(),
            lost.ended()
        ))
    }

    /// Checks that the generation of a daemon's decisions never decreases.
    fn check_generations(&self, daemon: &str, lines: &[DecisionLine]) -> Result<(), Error> {
        let mut highest = 0;
        for line in lines.iter().filter(|line| line.is_governed()) {
            let found = format!(
                "{daemon} used generation {} after {highest}",
                line.generation
            );
            self.ensure(line.generation >= highest, found)?;
            highest = line.generation;
        }
        Ok(())
    }

    /// Checks that no decision uses an older table for longer than the limit after an edit is
    /// accepted.
    fn check_edits(&self, lines: &[DecisionLine]) -> Result<(), Error> {
        let accepted = self
            .submitted_edits
            .iter()
            .filter(|(_, submitted)| submitted.generation > 0);
        for (name, submitted) in accepted {
            let older = lines
                .iter()
                .filter(|line| line.is_governed() && line.generation < submitted.generation);
            let last = older.map(|line| line.unix_ms).max().unwrap_or(0);
            let late = last.saturating_sub(submitted.unix_ms);
            self.print_measurement(
                &format!("last decision under the table before edit {name}, after its acceptance"),
                late as f64 / 1_000.0,
            );
            let found = format!("an older table was used {late} ms after edit {name} was accepted");
            self.ensure(late < MAX_STALE_DECISION_MS, found)?;
        }
        Ok(())
    }
}

/// Returns whether a daemon's status shows nothing in progress; true if it does not answer.
fn is_idle(status: &Value) -> bool {
    let none = |value: &Value| value.as_u64().unwrap_or(0) == 0;
    let pools = status["pools"].as_array().cloned().unwrap_or_default();
    let empty = pools
        .iter()
        .all(|pool| none(&pool["placed"]) && none(&pool["waiting"]));
    none(&status["open"]) && none(&status["holds"]) && empty
}

/// Reports tokens that are wrong or out of order, or an incomplete answer marked as done.
fn tokens_fault(request: &Request) -> Option<String> {
    let expected = request.expected();
    request
        .connections
        .iter()
        .find_map(|connection| connection_fault(connection, &expected))
}

fn connection_fault(connection: &Connection, expected: &[String]) -> Option<String> {
    let progress = connection.progress.borrow().clone();
    let first = (connection.offset as usize).min(expected.len());
    let last = (first + progress.tokens as usize).min(expected.len());
    let own = expected[first..last].concat();
    let whole = expected.len() as u64;
    let reached = connection.offset + progress.tokens;
    match progress.end.map(|ended| ended.end) {
        _ if !progress.gaps.is_empty() => Some(format!("tokens out of order: {:?}", progress.gaps)),
        _ if progress.text != own => Some(format!(
            "wrong tokens from offset {first}: {}",
            progress.text
        )),
        Some(End::Done(tokens)) if tokens != whole || reached != whole => Some(format!(
            "done event says {tokens} tokens, received {reached}, expected {whole}"
        )),
        _ => None,
    }
}

/// Reports a complete answer given to two connections at the same time.
fn repeated_answer(request: &Request) -> Option<String> {
    let whole = |connection: &&Connection| {
        let ended = connection.ended();
        ended.is_some_and(|ended| matches!(ended.end, End::Done(_) | End::Answered { .. }))
    };
    let answered: Vec<&Connection> = request.connections.iter().filter(whole).collect();
    if request.spec.model.is_none() {
        return first_answers(&answered);
    }
    let twice = answered.iter().enumerate().find_map(|(index, one)| {
        let others = &answered[index + 1..];
        others.iter().find(|other| one.overlaps(other))
    });
    twice.map(|other| {
        format!(
            "two complete answers at the same time, the second from {}",
            other.daemon()
        )
    })
}

/// Reports an application's answer that was given again without being marked as repeated.
fn first_answers(answered: &[&Connection]) -> Option<String> {
    let first = answered.iter().filter(|connection| {
        let ended = connection.ended();
        ended.is_some_and(|ended| matches!(ended.end, End::Answered { before: false, .. }))
    });
    let count = first.count();
    (count > 1).then(|| format!("{count} answers not marked as repeated"))
}

/// Reports a call that ran twice although it is not repeatable.
fn repeated_run(request: &Request, runs: &BTreeMap<String, u64>) -> Option<String> {
    let key = request.key.borrow().clone()?;
    let count = runs.get(&key).copied().unwrap_or(0);
    let answers = request.connections.iter().filter_map(Connection::ended);
    let later = answers.filter_map(|ended| match ended.end {
        End::Answered { body, .. } => serde_json::from_str(&body).ok(),
        _ => None,
    });
    let run = later.filter_map(|body: Value| body["run"].as_u64()).max();
    let most = count.max(run.unwrap_or(0));
    (request.spec.once && most > 1).then(|| format!("ran {most} times, but is not repeatable"))
}

/// Reports a *not run* refusal of a request that did run, according to a stand-in.
fn false_refusal(
    request: &Request,
    runs: &BTreeMap<String, u64>,
    lines: &[DecisionLine],
) -> Option<String> {
    let key = request.key.borrow().clone()?;
    let ended: Vec<_> = request.connections.iter().map(Connection::ended).collect();
    let alone = |index: usize| {
        let connection = &request.connections[index];
        let mut others = request.connections.iter().enumerate();
        others.all(|(other, open)| other == index || !connection.overlaps(open))
    };
    for (index, ended) in ended.iter().enumerate() {
        let then = ended.as_ref().and_then(|ended| ended.runs).unwrap_or(0);
        if then > 0 && alone(index) {
            return Some(format!("refused as `not_run` after {then} runs"));
        }
    }
    let all = ended
        .iter()
        .all(|ended| ended.as_ref().is_some_and(|ended| ended.end.is_not_run()));
    let handles = decisions::handles(lines, &key);
    let names = handles.iter().chain(std::iter::once(&key));
    let ran: Vec<&String> = names.filter(|name| runs.contains_key(*name)).collect();
    (all && !ran.is_empty()).then(|| format!("refused as `not_run`, but these ran: {ran:?}"))
}
