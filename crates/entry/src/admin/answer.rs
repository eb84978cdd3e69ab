//! Responses to operators.

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use serde::Serialize;
use serde_json::json;
use volo_http::body::Body;

/// A response with `value` as JSON.
pub(super) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_string(value) {
        Ok(text) => with_type(status, "application/json", text),
        Err(error) => with_type(
            StatusCode::INTERNAL_SERVER_ERROR,
            "application/json",
            json!({"error": error.to_string()}).to_string(),
        ),
    }
}

/// An error response with its cause.
pub(super) fn error(status: StatusCode, cause: &str) -> Response<Body> {
    json(status, &json!({"error": cause}))
}

/// Metrics as plain text.
pub(super) fn text(text: String) -> Response<Body> {
    with_type(
        StatusCode::OK,
        "text/plain; version=0.0.4; charset=utf-8",
        text,
    )
}

/// The response when the daemon is about to end.
pub(super) fn stopping() -> Response<Body> {
    error(
        StatusCode::SERVICE_UNAVAILABLE,
        "this instance is about to end; ask another one",
    )
}

fn with_type(status: StatusCode, kind: &'static str, text: String) -> Response<Body> {
    let mut answer = Response::new(Body::from(text));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    answer
}
