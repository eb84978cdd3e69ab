//! A connection of a caller for one request.

use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::error::Error;
use crate::refusal::Refusal;
use crate::reply::Outcome;
use crate::reply::Reply;
use crate::stream::Event;
use crate::stream::Head;
use crate::stream::Stream;

/// A connection, read in the background.
#[derive(Debug)]
pub struct Connection {
    /// Daemon that was to be contacted.
    pub target: String,
    /// Number of tokens that the caller claimed to have.
    pub offset: u64,
    /// When it was opened.
    pub opened: Instant,
    /// Data received so far.
    pub progress: watch::Receiver<Progress>,
    /// The reading task.
    pub task: JoinHandle<()>,
}

/// Data received over a connection.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    /// Daemon that was contacted, if it is not the target.
    pub redirected_to: Option<String>,
    /// Head of the stream.
    pub head: Option<Head>,
    /// Number of tokens received.
    pub tokens: u64,
    /// Their text.
    pub text: String,
    /// Runs of tokens that do not start where the previous one ended.
    pub gaps: Vec<String>,
    /// How the connection ended.
    pub end: Option<Ended>,
}

/// The end of a connection.
#[derive(Debug, Clone)]
pub struct Ended {
    /// How.
    pub end: End,
    /// When.
    pub at: Instant,
    /// Runs of the request counted by the stand-ins at that time, if the result was *not run*.
    pub runs: Option<u64>,
}

/// How a connection ends.
#[derive(Debug, Clone)]
pub enum End {
    /// A plain answer.
    Answered {
        /// Whether it was already given before.
        before: bool,
        /// Its body.
        body: String,
    },
    /// The last token has arrived.
    Done(u64),
    /// Another connection has taken over the stream.
    Superseded,
    /// A typed refusal.
    Refused(Refusal),
    /// The connection was lost after the head of the stream.
    Cut,
    /// The connection was lost before any answer.
    Lost(String),
}

impl End {
    /// Returns the name used in scenarios.
    pub fn as_str(&self) -> &str {
        match self {
            Self::Answered { before: false, .. } => "answered",
            Self::Answered { before: true, .. } => "answered_before",
            Self::Done(_) => "done",
            Self::Superseded => "superseded",
            Self::Refused(refusal) => &refusal.outcome,
            Self::Cut => "cut",
            Self::Lost(_) => "lost",
        }
    }

    /// Returns whether `word` names it, with or without the reason of a refusal.
    pub fn matches(&self, word: &str) -> bool {
        let full = match self {
            Self::Refused(refusal) => format!("{}/{}", refusal.outcome, refusal.reason),
            _ => self.as_str().to_owned(),
        };
        word == self.as_str() || word == full
    }

    /// Returns whether the response said that no byte of the request reached a backend server.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused(refusal) if refusal.outcome == "not_run")
    }
}

impl Connection {
    /// Returns the daemon that it is connected to.
    pub fn daemon(&self) -> String {
        let redirected_to = self.progress.borrow().redirected_to.clone();
        redirected_to.unwrap_or_else(|| self.target.clone())
    }

    /// Returns how it ended, if it has.
    pub fn ended(&self) -> Option<Ended> {
        self.progress.borrow().end.clone()
    }

    /// Returns whether it and `other` were open at the same time.
    pub fn overlaps(&self, other: &Self) -> bool {
        let opened_before_end =
            |one: &Self, two: &Self| two.ended().is_none_or(|ended| one.opened < ended.at);
        opened_before_end(self, other) && opened_before_end(other, self)
    }

    /// Waits until the received data meets `test`. Returns `false` after `limit`.
    pub async fn wait_until(&self, limit: Duration, test: impl Fn(&Progress) -> bool) -> bool {
        let mut progress = self.progress.clone();
        let reached = tokio::time::timeout(limit, progress.wait_for(|now| test(now))).await;
        matches!(reached, Ok(Ok(_)))
    }
}

/// Records the data received over a connection.
#[derive(Debug)]
pub struct Recorder {
    progress: watch::Sender<Progress>,
}

impl Recorder {
    /// Creates a recorder and the receiver of its records.
    pub fn new() -> (Self, watch::Receiver<Progress>) {
        let (progress, receiver) = watch::channel(Progress::default());
        (Self { progress }, receiver)
    }

    /// Records that the connection goes to `daemon`.
    pub fn redirect(&self, daemon: &str) {
        let daemon = daemon.to_owned();
        self.progress
            .send_modify(|now| now.redirected_to = Some(daemon));
    }

    /// Records the end.
    pub fn end(&self, end: End, runs: Option<u64>) {
        let at = Instant::now();
        self.progress
            .send_modify(|now| now.end = Some(Ended { end, at, runs }));
    }

    /// Reads a reply to its end.
    pub async fn read(&self, reply: Result<Reply, Error>) -> End {
        match reply {
            Ok(Reply::Stream(stream)) => self.stream(stream).await,
            Ok(Reply::Refused(refusal)) => refused_end(refusal),
            Err(cause) => End::Lost(cause.to_string()),
        }
    }

    async fn stream(&self, mut stream: Stream) -> End {
        loop {
            let expected = stream.offset();
            match stream.next().await {
                Event::Head(head) => self.progress.send_modify(|now| now.head = Some(head)),
                Event::Tokens(tokens) => self.progress.send_modify(|now| {
                    now.tokens += tokens.count;
                    now.text.push_str(&tokens.text);
                    if tokens.offset != expected {
                        let gap = format!("token {} after {expected}", tokens.offset);
                        now.gaps.push(gap);
                    }
                }),
                Event::Done(tokens) => return End::Done(tokens),
                Event::Superseded => return End::Superseded,
                Event::Failed(refusal) => return refused_end(refusal),
                Event::Cut => return End::Cut,
            }
        }
    }
}

/// Converts the result of a plain call.
pub fn call_end(outcome: Result<Outcome, Error>) -> End {
    match outcome {
        Ok(Outcome::Answered { before, body, .. }) => End::Answered { before, body },
        Ok(Outcome::Refused(refusal)) => refused_end(refusal),
        Err(cause) => End::Lost(cause.to_string()),
    }
}

/// Converts a refusal. A response without an outcome is not from a daemon and counts as lost.
fn refused_end(refusal: Refusal) -> End {
    match refusal.outcome.as_str() {
        "" => End::Lost(format!("answer without an outcome: {refusal}")),
        _ => End::Refused(refusal),
    }
}
