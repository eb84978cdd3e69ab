//! Messages about the begins of streams between daemons.

use std::collections::HashMap;
use std::time::Duration;

use relay::begins::Begin;
use relay::begins::Stream;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;

/// Time for which a stream may be resumed after its begin, as a multiple of the timeout of its route:
/// it lasts for up to one, and its caller returns within another one.
pub const LIFETIME_FACTOR: u32 = 2;

/// Message about the begins of streams between daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// Streams and the versions that they were sent to, as daemons of an earlier version announce them.
    /// It does not tell which version began a stream.
    Sent(Vec<Sending>),
    /// Asks which version began a stream.
    Question {
        /// Repeated in the answer.
        number: u32,
        /// The stream; `None` if the caller does not name it.
        stream: Option<Stream>,
        /// Its service.
        service: String,
    },
    /// The answer.
    Answer {
        /// Number of the question.
        number: u32,
        /// What the daemon knows.
        finding: Finding,
    },
    /// Announces streams and the versions that began them. New messages are added at the end, so that
    /// daemons of an earlier version can read all others.
    Begun(Vec<Begin>),
}

/// A stream and the version that it was sent to.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Sending {
    stream: Stream,
    software: String,
    change: u8,
    lifetime: Duration,
}

/// What is known of the begin of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finding {
    /// This version began it.
    Began(String),
    /// Only this version has served for as long as a stream can be resumed. Of another daemon it proves
    /// nothing: its list may be older than the stream.
    Only(String),
    /// It may have been any version.
    Unknown,
    /// The stream was sent to this version, as daemons of an earlier version answer. It proves nothing.
    Sent {
        /// The version.
        software: String,
        /// Number of versions before it that brought no event.
        change: u8,
    },
}

impl Finding {
    /// The version that began the stream, if it is known.
    pub fn into_software(self) -> Option<String> {
        match self {
            Self::Began(software) | Self::Only(software) => Some(software),
            Self::Unknown | Self::Sent { .. } => None,
        }
    }

    /// Name used in log lines and metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Began(_) => "began",
            Self::Only(_) => "only",
            Self::Unknown | Self::Sent { .. } => "unknown",
        }
    }
}

/// Questions to other daemons that wait for answers, by number.
pub type Questions = HashMap<u32, mpsc::UnboundedSender<Finding>>;
