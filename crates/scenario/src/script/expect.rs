//! Types of the expectations in a scenario.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_norway::Value;

/// A condition that must hold now or within a time limit.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// A request's latest connection ends in one of the listed ways.
    Outcome(Outcome),
    /// Every request of this name got the complete answer, with no token missing.
    Whole(String),
    /// Number of runs of a request at the stand-ins.
    Runs(Runs),
    /// Engines hold nothing.
    Released(Released),
    /// A process exits.
    Exit(Exit),
    /// An edit is in force at all running daemons, or at the listed ones.
    InForce(InForce),
    /// Verdicts of edits, in any order.
    Verdicts(Verdicts),
    /// A daemon is not ready and makes no decisions.
    NotReady(NotReady),
    /// A draining replica gets no new work.
    Drained(Drained),
    /// Number of decision lines in the logs of daemons.
    Decisions(Decisions),
    /// A replica does not exceed a number of concurrent attempts during some time.
    AtMost(AtMost),
    /// The keeper of a pool, which is the same in every run.
    Keeper(Keeper),
    /// A row of the table in force at a daemon.
    Row(Row),
}

/// Permitted ends of a connection.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// The request, or the common name of several.
    pub of: String,
    /// Any of `answered`, `answered_before`, `done`, `superseded`, `cut`, `lost`, `not_run`,
    /// `unknown`, `failed`, or a refusal with its reason as `not_run/bad_token`.
    pub is: Vec<String>,
    /// Number of the connection, from 1; by default, the latest.
    pub connection: Option<usize>,
    /// Maximum time from sending to the end, in seconds.
    pub within: Option<f64>,
    /// Minimum number of requests that must end so; by default, all.
    pub least: Option<usize>,
}

/// Bounds on the runs at the stand-ins.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Runs {
    /// The request, or the common name of several, which are counted separately.
    pub of: String,
    /// Minimum.
    #[serde(default)]
    pub least: u64,
    /// Maximum.
    pub most: u64,
}

/// Release of slots and KV caches.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Released {
    /// Engines.
    pub at: Vec<String>,
    /// Maximum time from now, in seconds.
    pub within: f64,
}

/// Exit of a process.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exit {
    /// The process.
    pub of: String,
    /// Exit code.
    pub code: i32,
    /// Maximum time from now, in seconds.
    pub within: f64,
    /// Minimum time from the request to stop, in seconds.
    #[serde(default)]
    pub not_before: f64,
}

/// Rollout of an edit.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InForce {
    /// The edit.
    pub edit: String,
    /// Daemons; by default, all.
    #[serde(default)]
    pub at: Vec<String>,
    /// Maximum time from its verdict, in seconds.
    pub within: f64,
}

/// Verdicts of edits.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Verdicts {
    /// The edits.
    pub of: Vec<String>,
    /// Their verdicts, sorted.
    pub are: Vec<String>,
}

/// A daemon that must stop making decisions.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NotReady {
    /// The daemon.
    pub at: String,
    /// Maximum time from now, in seconds.
    pub within: f64,
}

/// A draining replica.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drained {
    /// The replica.
    pub at: String,
    /// Maximum time from the verdict of the edit or the mark on the list to the last new work, in
    /// seconds.
    pub within: f64,
}

/// Bounds on the number of decision lines.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Decisions {
    /// Daemons; by default, all.
    #[serde(default)]
    pub at: Vec<String>,
    /// Kind of decision.
    pub step: String,
    /// Minimum over all the daemons.
    #[serde(default)]
    pub least: usize,
    /// Maximum.
    pub most: Option<usize>,
}

/// A row in force.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The daemon.
    pub at: String,
    /// `service/class/pool`.
    pub key: String,
    /// Required values, by column.
    pub has: BTreeMap<String, Value>,
}

/// The keeper of a pool.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keeper {
    /// The service.
    pub of: String,
    /// The daemon.
    pub is: String,
}

/// A limit on the concurrent attempts of a replica.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AtMost {
    /// The replica.
    pub at: String,
    /// Maximum number of attempts in transfer or decode.
    pub most: u64,
    /// Minimum peak; below it, the check would prove nothing about the limit.
    pub least: u64,
    /// Observation time in seconds.
    pub seconds: f64,
}
