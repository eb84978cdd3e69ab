//! Requests that are rejected before they reach the core.

use http::Response;
use http::StatusCode;
use node::action::Outcome;
use volo_http::body::Body;

use super::answer;

/// A request that could not be read or parsed; no byte of it reached a replica.
#[derive(Debug)]
pub(super) struct Rejection {
    status: StatusCode,
    cause: String,
    full: bool,
    keyed: bool,
}

impl Rejection {
    /// A rejection with an HTTP status and a cause.
    pub(super) fn new(status: StatusCode, cause: impl Into<String>) -> Self {
        Self {
            status,
            cause: cause.into(),
            full: false,
            keyed: false,
        }
    }

    /// A rejection of a malformed request.
    pub(super) fn malformed(cause: impl Into<String>) -> Self {
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

    /// Marks a rejection of a request that was not read completely. If the request has a key, an
    /// earlier attempt with that key may have run, because the key has not been looked up.
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
