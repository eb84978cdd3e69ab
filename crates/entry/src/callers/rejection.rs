//! Requests that are refused before the core sees them.

use http::Response;
use http::StatusCode;
use node::action::Outcome;
use volo_http::body::Body;

use super::answer;

/// A request that was not understood or not read; no byte of it reached a back end.
#[derive(Debug)]
pub(super) struct Rejection {
    status: StatusCode,
    cause: String,
    full: bool,
    keyed: bool,
}

impl Rejection {
    /// A rejection with an HTTP status and what is wrong.
    pub(super) fn new(status: StatusCode, cause: impl Into<String>) -> Self {
        Self {
            status,
            cause: cause.into(),
            full: false,
            keyed: false,
        }
    }

    /// A rejection of a request that cannot be understood.
    pub(super) fn bad(cause: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, cause)
    }

    /// A rejection for lack of memory.
    pub(super) fn full() -> Self {
        let cause = "request bodies fill the memory of this instance".to_owned();
        Self {
            status: StatusCode::TOO_MANY_REQUESTS,
            cause,
            full: true,
            keyed: false,
        }
    }

    /// The same rejection of a request that was not read to its end. If it carries a key, an earlier
    /// try with that key may have run, and the key was not looked up.
    pub(super) fn with_key(mut self, keyed: bool) -> Self {
        self.keyed = keyed;
        self
    }

    /// The response.
    pub(super) fn into_response(self) -> Response<Body> {
        let outcome = if self.keyed {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        if self.full {
            answer::full(outcome, &self.cause)
        } else {
            answer::invalid(self.status, outcome, &self.cause)
        }
    }
}
