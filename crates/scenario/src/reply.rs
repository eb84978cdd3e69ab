//! What comes of a request.

use crate::error::Error;
use crate::refusal::Refusal;
use crate::stream::Stream;

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
