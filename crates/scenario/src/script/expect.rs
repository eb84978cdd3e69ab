//! Expectations of a scenario.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_norway::Value;

/// What must be true now or soon.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// The end of a request's latest connection is one of those named.
    Outcome(Outcome),
    /// Every request of this name was answered: the last token has come, and none is missing.
    Whole(String),
    /// Runs of a request at the stand-ins.
    Runs(Runs),
    /// Engines hold nothing more.
    Released(Released),
    /// A process ends by itself.
    Exit(Exit),
    /// An edit is in force at all running daemons, or at those named.
    InForce(InForce),
    /// Verdicts of edits, in any order.
    Verdicts(Verdicts),
    /// A daemon does not decide.
    NotReady(NotReady),
    /// A replica gets no new work after a drain.
    Drained(Drained),
    /// Lines of a daemon's decision log.
    Decisions(Decisions),
    /// A replica never has more attempts in progress than this, for some time.
    AtMost(AtMost),
    /// A pool's keeper, which is the same in every run.
    Keeper(Keeper),
    /// A row as a daemon has it in force.
    Row(Row),
}

/// Ends that are right.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// The request, or the name of several.
    pub of: String,
    /// Words: `answered`, `answered_before`, `done`, `superseded`, `cut`, `lost`, `not_run`,
    /// `unknown`, `failed`, or a refusal with its reason as `not_run/bad_token`.
    pub is: Vec<String>,
    /// Counted from the first; the latest connection if left out.
    pub connection: Option<usize>,
    /// Longest time from sending to the end, in seconds.
    pub within: Option<f64>,
    /// How many of several must end so; all if left out.
    pub least: Option<usize>,
}

/// Runs at the stand-ins.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Runs {
    /// The request, or the name of several; each is counted for itself.
    pub of: String,
    /// Least.
    #[serde(default)]
    pub least: u64,
    /// Most.
    pub most: u64,
}

/// Held memory.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Released {
    /// Engines.
    pub at: Vec<String>,
    /// Longest time from now, in seconds.
    pub within: f64,
}

/// End of a process.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exit {
    /// The process.
    pub of: String,
    /// Exit code.
    pub code: i32,
    /// Longest time from now, in seconds.
    pub within: f64,
    /// Shortest time from the request to stop, in seconds.
    #[serde(default)]
    pub not_before: f64,
}

/// Reach of an edit.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InForce {
    /// The edit.
    pub edit: String,
    /// Daemons; all if left out.
    #[serde(default)]
    pub at: Vec<String>,
    /// Longest time from its verdict, in seconds.
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

/// A daemon that must not decide.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NotReady {
    /// The daemon.
    pub at: String,
    /// Longest time from now, in seconds.
    pub within: f64,
}

/// A drained replica.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drained {
    /// The replica.
    pub at: String,
    /// Longest time from the verdict of the edit or the mark on the list, in seconds.
    pub within: f64,
}

/// Decision lines.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Decisions {
    /// Daemons; all if left out.
    #[serde(default)]
    pub at: Vec<String>,
    /// Kind of decision.
    pub step: String,
    /// Least number, over all the daemons.
    #[serde(default)]
    pub least: usize,
    /// Most.
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
    /// Columns that it must have.
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

/// A limit on what a replica does at once.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AtMost {
    /// The replica.
    pub at: String,
    /// Most attempts in transfer or decode.
    pub most: u64,
    /// The peak must reach this, or the limit shows nothing.
    pub least: u64,
    /// How long it is watched, in seconds.
    pub seconds: f64,
}
