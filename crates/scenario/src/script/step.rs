//! Steps of a scenario.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_norway::Value;

use crate::script::expect::Expect;
use crate::script::start::Between;

/// One step.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Sends a request, or several, and goes on at once.
    Send(Send),
    /// Sends a request again under the same key.
    Retry(Retry),
    /// Presents the resume token of a request.
    Resume(Resume),
    /// The caller of a request goes away.
    Cancel(String),
    /// Ends a process without notice.
    Kill(String),
    /// Stops a process where it stands.
    Freeze(String),
    /// Lets a frozen process go on.
    Wake(String),
    /// Asks a daemon for a planned stop.
    Stop(String),
    /// Starts a process again, ending it first if it runs.
    Restart(String),
    /// Cuts links: connections are closed.
    Cut(Between),
    /// Holds links up: connections stay open, nothing passes.
    Hang(Between),
    /// Delays what passes over links.
    Slow(Slow),
    /// Has links send each answer a second time, where the next one on the connection is due.
    Repeat(Between),
    /// Puts links in order again.
    Mend(Between),
    /// Sets a fault of a stand-in.
    Fault(Fault),
    /// An operator's edit; the step ends with its verdict.
    Edit(Edit),
    /// Edits sent at the same moment, all based on the table before.
    Race(Vec<Edit>),
    /// Marks an entry of the platform's list as leaving.
    Mark(String),
    /// Takes an entry off the platform's list.
    Unlist(String),
    /// How late changes of the platform's list show.
    LagMs(u64),
    /// Waits for something to happen.
    Wait(Wait),
    /// Lets time pass, in seconds.
    Sleep(f64),
    /// What must be true now or soon.
    Expect(Expect),
}

/// A request to send.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Send {
    /// Name by which other steps speak of it; numbered from 1 if `count` is given.
    pub name: String,
    /// The table's service.
    pub service: String,
    /// Where it is sent, in turn.
    pub via: Vec<String>,
    /// Whose key it carries; the daemon it is sent to if left out.
    pub key_of: Option<String>,
    /// The customer.
    #[serde(default = "customer")]
    pub customer: String,
    /// The caller class.
    #[serde(default = "class")]
    pub class: String,
    /// For language-model requests: words of the prompt and most tokens wanted.
    pub model: Option<Model>,
    /// Marks a call as non-repeatable.
    #[serde(default)]
    pub once: bool,
    /// How many are sent.
    pub count: Option<u32>,
    /// Time between two of them.
    #[serde(default)]
    pub every_ms: u64,
}

/// The size of a language-model request.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Words of the prompt.
    pub prompt: usize,
    /// Most tokens wanted; the answer has at least half of them.
    pub tokens: u32,
}

/// A repeat under the same key, which goes once to another instance if it is told to.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// The request.
    pub request: String,
    /// Where it is sent.
    pub via: String,
}

/// A resume token presented.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resume {
    /// The request.
    pub request: String,
    /// Where it is presented.
    pub via: String,
    /// Tokens the caller says it has; those it has got if left out.
    pub offset: Option<u64>,
    /// Who presents it; the caller itself if left out.
    pub customer: Option<String>,
    /// Whether the token is damaged first.
    #[serde(default)]
    pub damaged: bool,
}

/// Links that become slow.
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
    /// Its time.
    #[serde(default)]
    pub ms: u64,
}

/// An operator's edit.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// Name by which other steps speak of it.
    pub name: String,
    /// The instance it is sent to.
    pub via: String,
    /// Columns to change, by `service/class/pool`.
    #[serde(default)]
    pub set: BTreeMap<String, BTreeMap<String, Value>>,
    /// Replicas to drain.
    #[serde(default)]
    pub drain: Vec<String>,
    /// Sends this earlier edit again, as it was.
    pub again: Option<String>,
}

/// Something to wait for.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wait {
    /// The head of a request's answer.
    Head(String),
    /// Tokens of a request's answer, over all its connections.
    Tokens(Tokens),
    /// The end of the latest connection of each request of this name.
    End(String),
    /// Work that a replica has or had.
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
    /// How many.
    #[serde(default)]
    pub count: u64,
    /// How many are still to come, in place of a count.
    pub left: Option<u64>,
}

/// Work to wait for.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Work {
    /// The replica.
    pub at: String,
    /// At an engine, the phase that an attempt must be in now; calls ever begun at an application.
    pub phase: Option<String>,
    /// How many.
    pub count: u64,
}

fn customer() -> String {
    "krmiva".to_owned()
}

fn class() -> String {
    crate::caller::DEFAULT_CLASS.to_owned()
}
