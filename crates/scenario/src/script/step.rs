//! Types of the steps in a scenario.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_norway::Value;

use crate::script::expect::Expect;
use crate::script::start::Between;

/// One step.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Sends one or more requests without waiting for them.
    Send(Send),
    /// Sends a request again with the same key.
    Retry(Retry),
    /// Resumes a request with its resume token.
    Resume(Resume),
    /// Closes all connections of a request.
    Cancel(String),
    /// Kills a process.
    Kill(String),
    /// Pauses a process.
    Freeze(String),
    /// Continues a paused process.
    Wake(String),
    /// Requests a planned stop of a daemon.
    Stop(String),
    /// Restarts a process, killing it first if it runs.
    Restart(String),
    /// Cuts links: connections are closed.
    Cut(Between),
    /// Stalls links: connections stay open, but nothing passes.
    Hang(Between),
    /// Delays the bytes on links.
    Slow(Slow),
    /// Makes links send each answer a second time, in place of the next one on the connection.
    Repeat(Between),
    /// Restores links.
    Mend(Between),
    /// Sets a fault of a stand-in.
    Fault(Fault),
    /// Submits an edit of an operator and waits for the verdict.
    Edit(Edit),
    /// Submits edits concurrently, all based on the table before.
    Race(Vec<Edit>),
    /// Marks an entry of the platform's list as leaving.
    Mark(String),
    /// Removes an entry from the platform's list.
    Unlist(String),
    /// Sets the lag after which changes of the platform's list become visible.
    LagMs(u64),
    /// Waits for an event.
    Wait(Wait),
    /// Sleeps for a number of seconds.
    Sleep(f64),
    /// Checks a condition.
    Expect(Expect),
}

/// A request to send.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Send {
    /// Name used by other steps; a number from 1 is appended if `count` is given.
    pub name: String,
    /// Service in the table.
    pub service: String,
    /// Daemons to which requests are sent in turn.
    pub via: Vec<String>,
    /// Daemon whose key prefix is used; by default, the one it is sent to.
    pub key_of: Option<String>,
    /// The customer.
    #[serde(default = "customer")]
    pub customer: String,
    /// The caller class.
    #[serde(default = "class")]
    pub class: String,
    /// Size of a language-model request; absent for plain calls.
    pub model: Option<Model>,
    /// Marks a call as not repeatable.
    #[serde(default)]
    pub once: bool,
    /// Number of requests.
    pub count: Option<u32>,
    /// Interval between two requests.
    #[serde(default)]
    pub every_ms: u64,
}

/// The size of a language-model request.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Number of words in the prompt.
    pub prompt: usize,
    /// Maximum number of tokens; the answer has at least half of them.
    pub tokens: u32,
}

/// A repeat with the same key, which follows one redirect to another instance.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// The request.
    pub request: String,
    /// Daemon to which it is sent.
    pub via: String,
}

/// A resume of a request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resume {
    /// The request.
    pub request: String,
    /// Daemon to which it is sent.
    pub via: String,
    /// Number of tokens that the caller claims to have; by default, the number received.
    pub offset: Option<u64>,
    /// Customer that presents it; by default, that of the request.
    pub customer: Option<String>,
    /// Whether the token is corrupted first.
    #[serde(default)]
    pub damaged: bool,
}

/// Links to slow down.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slow {
    /// A daemon.
    pub between: String,
    /// Daemons, replicas or `platform`.
    pub and: Vec<String>,
    /// Delay in each direction.
    pub ms: u64,
}

/// A fault of a stand-in.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The stand-in.
    pub at: String,
    /// The mode, as in `docs/PROTOCOLS.md`.
    pub mode: String,
    /// Time parameter of the mode, in milliseconds.
    #[serde(default)]
    pub ms: u64,
}

/// An operator's edit.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// Name used by other steps.
    pub name: String,
    /// Daemon to which it is sent.
    pub via: String,
    /// Columns to change, by `service/class/pool`.
    #[serde(default)]
    pub set: BTreeMap<String, BTreeMap<String, Value>>,
    /// Replicas to drain.
    #[serde(default)]
    pub drain: Vec<String>,
    /// Earlier edit to send again unchanged.
    pub again: Option<String>,
}

/// An event to wait for.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wait {
    /// The head of a request's answer.
    Head(String),
    /// Tokens of a request's answer, over all its connections.
    Tokens(Tokens),
    /// The end of the latest connection of each request of this name.
    End(String),
    /// Attempts or calls at a replica.
    Work(Work),
    /// A daemon is ready.
    Ready(String),
}

/// Tokens to wait for.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tokens {
    /// The request.
    pub of: String,
    /// Minimum number.
    #[serde(default)]
    pub count: u64,
    /// Maximum number of missing tokens, in place of `count`.
    pub left: Option<u64>,
}

/// Attempts or calls to wait for.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Work {
    /// The replica.
    pub at: String,
    /// Phase of the attempts, at an engine; absent for calls started by an application.
    pub phase: Option<String>,
    /// Minimum number.
    pub count: u64,
}

fn customer() -> String {
    "krmiva".to_owned()
}

fn class() -> String {
    crate::caller::DEFAULT_CLASS.to_owned()
}
