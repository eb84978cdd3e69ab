//! Messages about the begins of streams between daemons.

use std::collections::HashMap;

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
    /// Announces streams.
    Announcement(Vec<Begin>),
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
}

/// What a daemon knows of the begin of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finding {
    /// This version began it.
    Began(String),
    /// Only this version has served for as long as a stream can be resumed.
    Only(String),
    /// It may have been any version.
    Unknown,
    /// The stream was sent to this version, which began it unless the daemon has missed that another
    /// one did. New findings are added at the end, so that daemons of an earlier version can read all
    /// others.
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
            Self::Began(software) | Self::Only(software) | Self::Sent { software, .. } => {
                Some(software)
            }
            Self::Unknown => None,
        }
    }

    /// Name used in log lines and metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Began(_) => "began",
            Self::Only(_) => "only",
            Self::Unknown => "unknown",
            Self::Sent { .. } => "sent",
        }
    }

    /// The more certain one of `self` and `other`; `self` if they are alike.
    #[must_use]
    pub fn or_better(self, other: Self) -> Self {
        if other.certainty() > self.certainty() {
            other
        } else {
            self
        }
    }

    const fn certainty(&self) -> (u8, u8) {
        match self {
            Self::Began(_) => (3, 0),
            Self::Sent { change, .. } => (2, *change),
            Self::Only(_) => (1, 0),
            Self::Unknown => (0, 0),
        }
    }
}

/// Questions to other daemons that wait for answers, by number.
pub type Questions = HashMap<u32, mpsc::UnboundedSender<Finding>>;
