//! Plain application calls.

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Method;
use http::header;

/// Hop-by-hop headers, which apply to one connection only.
const HOP_BY_HOP: [HeaderName; 11] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// A call; the client sends it once and never retries it.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path and query, starting with a slash.
    pub path: String,
    /// Headers; hop-by-hop headers are removed before sending.
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

/// The application's answer, with any status.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Removes the hop-by-hop headers.
pub(crate) fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers
}
