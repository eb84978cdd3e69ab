//! Requests that are refused before the core sees them.

use http::Response;
use http::StatusCode;
use volo_http::body::Body;

use super::answer;

/// A malformed request; no byte of it reached a back end.
#[derive(Debug)]
pub(super) struct Rejection {
    status: StatusCode,
    cause: String,
    full: bool,
}

impl Rejection {
    /// A rejection with an HTTP status and what is wrong.
    pub(super) fn new(status: StatusCode, cause: impl Into<String>) -> Self {
        Self {
            status,
            cause: cause.into(),
            full: false,
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
        }
    }

    /// The response.
    pub(super) fn into_response(self) -> Response<Body> {
        if self.full {
            answer::full(&self.cause)
        } else {
            answer::invalid(self.status, &self.cause)
        }
    }
}
