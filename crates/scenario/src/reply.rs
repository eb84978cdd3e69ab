//! What comes of a request.

use serde::Deserialize;

use crate::error::Error;
use crate::stream::Stream;

/// The typed outcome of a request that was not answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Status code.
    pub status: u16,
    /// `not_run`, `unknown` or `failed`; empty if the answer is not the system's.
    pub outcome: String,
    /// Why.
    pub reason: String,
    /// When to come back.
    pub retry_after_ms: Option<u64>,
    /// Where to come back.
    pub addresses: Vec<String>,
}

#[derive(Debug, Default, Deserialize)]
struct RefusalBody {
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    reason: String,
    retry_after_ms: Option<u64>,
    #[serde(default)]
    addresses: Vec<String>,
}

impl Refusal {
    /// Reads the body of a refusal.
    pub(crate) fn with_body(status: u16, text: &str) -> Self {
        let body: RefusalBody = serde_json::from_str(text).unwrap_or_default();
        Self {
            status,
            outcome: body.outcome,
            reason: body.reason,
            retry_after_ms: body.retry_after_ms,
            addresses: body.addresses,
        }
    }
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {} ({})", self.status, self.outcome, self.reason)
    }
}

/// What came of a language-model request.
#[derive(Debug)]
pub enum Reply {
    /// Tokens follow.
    Stream(Stream),
    /// No answer.
    Refused(Refusal),
}

impl Reply {
    /// The stream, where a refusal is not expected.
    ///
    /// # Errors
    ///
    /// [`Error::Answer`] with the refusal.
    pub fn stream(self) -> Result<Stream, Error> {
        match self {
            Self::Stream(stream) => Ok(stream),
            Self::Refused(refusal) => Err(Error::Answer {
                step: "expect a stream".to_owned(),
                peer: "the system".to_owned(),
                status: refusal.status,
                body: refusal.to_string(),
            }),
        }
    }
}

/// What came of a call to a plain application.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// The application's answer.
    Answered {
        /// Status code of the application.
        status: u16,
        /// Its body.
        body: String,
        /// Whether an earlier request with the same key had this answer.
        before: bool,
    },
    /// No answer.
    Refused(Refusal),
}
