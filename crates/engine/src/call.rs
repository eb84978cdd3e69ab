//! Plain application calls.

use bytes::Bytes;
use http::HeaderMap;
use http::Method;

/// A call, sent exactly as many times as it is handed to the client.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path with query, beginning with a slash.
    pub path: String,
    /// Headers; those that concern a single connection are left out.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Request {
    /// A call without headers and body.
    pub fn new(method: Method, path: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// The call with `body`.
    #[must_use]
    pub fn with_body(mut self, body: Bytes) -> Self {
        self.body = body;
        self
    }

    /// The call with `headers`.
    #[must_use]
    pub fn with_headers(mut self, headers: HeaderMap) -> Self {
        self.headers = headers;
        self
    }
}

/// What the application answered, whatever its status.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}
