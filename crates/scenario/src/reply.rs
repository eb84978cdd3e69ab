//! Results of requests.

use crate::error::Error;
use crate::refusal::Refusal;
use crate::stream::Stream;

/// Result of a language-model request.
#[derive(Debug)]
pub enum Reply {
    /// A stream of tokens.
    Stream(Stream),
    /// The request was refused.
    Refused(Refusal),
}

impl Reply {
    /// Returns the stream, or the refusal as an error.
    ///
    /// # Errors
    ///
    /// [`Error::UnexpectedAnswer`] with the refusal.
    pub fn stream(self) -> Result<Stream, Error> {
        match self {
            Self::Stream(stream) => Ok(stream),
            Self::Refused(refusal) => Err(Error::UnexpectedAnswer {
                step: "expect a stream".to_owned(),
                peer: "the system".to_owned(),
                status: refusal.status,
                body: refusal.to_string(),
            }),
        }
    }
}

/// Result of a call to a plain application.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// The application answered.
    Answered {
        /// Status code of the application.
        status: u16,
        /// Its body.
        body: String,
        /// Whether an earlier request with the same key already got this answer.
        before: bool,
    },
    /// The request was refused.
    Refused(Refusal),
}
