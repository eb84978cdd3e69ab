//! Responses that are not streams.

use bytes::Bytes;
use futures::stream;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body::Frame;
use node::action::Outcome;
use node::action::Reason;
use node::action::Refusal;
use serde_json::Value;
use serde_json::json;
use volo_http::body::Body;
use volo_http::error::BoxError;

use crate::stop;

const OUTCOME: &str = "waxwing-outcome";
const JSON: HeaderValue = HeaderValue::from_static("application/json");
const BYTES: HeaderValue = HeaderValue::from_static("application/octet-stream");
/// Chunk size in which a plain answer is passed to the connection.
const CHUNK_BYTES: usize = 64 << 10;
/// Retry delay sent by an instance without memory for a body, in milliseconds.
const FULL_RETRY_MS: u64 = 1_000;

/// The application's answer; `response` is dropped once the last chunk has been passed on.
pub(super) fn plain(
    status: u16,
    body: Bytes,
    repeated: bool,
    response: stop::PendingResponse,
) -> Response<Body> {
    let outcome = if repeated {
        "answered_before"
    } else {
        "answered"
    };
    let kind = if looks_like_json(&body) { JSON } else { BYTES };
    let length = body.len();
    let chunks = stream::unfold((body, response), |(mut body, response)| async move {
        let chunk = body.split_to(body.len().min(CHUNK_BYTES));
        let frame = Ok::<_, BoxError>(Frame::data(chunk.clone()));
        (!chunk.is_empty()).then_some((frame, (body, response)))
    });
    let mut answer = Response::new(Body::from_stream(chunks));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = answer.headers_mut();
    headers.insert(header::CONTENT_TYPE, kind);
    headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    headers.insert(OUTCOME, HeaderValue::from_static(outcome));
    answer
}

/// A refusal with its outcome and reason.
pub(super) fn refusal(refusal: &Refusal) -> Response<Body> {
    let status = status(refusal.outcome, refusal.reason);
    typed(
        status,
        refusal.outcome,
        refusal.retry_after_ms,
        &refusal_json(refusal),
    )
}

/// The response when the core closes the connection without an answer.
pub(super) fn lost() -> Response<Body> {
    refusal(&Refusal {
        outcome: Outcome::Unknown,
        reason: Reason::Backend,
        retry_after_ms: 0,
        addresses: Vec::new(),
    })
}

/// The response to a request that could not be read or parsed.
pub(super) fn invalid(status: StatusCode, outcome: Outcome, cause: &str) -> Response<Body> {
    let body = rejection_json(outcome, Reason::Invalid, 0, cause);
    typed(status, outcome, 0, &body)
}

/// The response to a request whose body exceeds the memory budget.
pub(super) fn full(outcome: Outcome, cause: &str) -> Response<Body> {
    let body = rejection_json(outcome, Reason::Full, FULL_RETRY_MS, cause);
    let status = StatusCode::TOO_MANY_REQUESTS;
    typed(status, outcome, FULL_RETRY_MS, &body)
}

/// A refusal as JSON.
pub fn refusal_json(refusal: &Refusal) -> Value {
    json!({
        "outcome": refusal.outcome.as_str(),
        "reason": refusal.reason.as_str(),
        "retry_after_ms": refusal.retry_after_ms,
        "addresses": refusal.addresses,
    })
}

/// A JSON response.
pub(super) fn json(status: StatusCode, body: &Value) -> Response<Body> {
    let mut answer = Response::new(Body::from(body.to_string()));
    *answer.status_mut() = status;
    answer.headers_mut().insert(header::CONTENT_TYPE, JSON);
    answer
}

fn rejection_json(result: Outcome, why: Reason, retry_after_ms: u64, cause: &str) -> Value {
    json!({
        "outcome": result.as_str(),
        "reason": why.as_str(),
        "retry_after_ms": retry_after_ms,
        "addresses": [],
        "cause": cause,
    })
}

fn typed(status: StatusCode, result: Outcome, retry_after_ms: u64, body: &Value) -> Response<Body> {
    let mut answer = json(status, body);
    let headers = answer.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(result.as_str()));
    if retry_after_ms > 0 {
        let seconds = retry_after_ms.div_ceil(1_000);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    answer
}

fn looks_like_json(body: &[u8]) -> bool {
    matches!(body.trim_ascii_start().first(), Some(b'{' | b'['))
}

const fn status(outcome: Outcome, reason: Reason) -> StatusCode {
    match (outcome, reason) {
        (Outcome::Unknown, _) => StatusCode::GATEWAY_TIMEOUT,
        (Outcome::Failed, Reason::StreamLost | Reason::AnswerGone)
        | (Outcome::NotRun, Reason::KeyExpired) => StatusCode::GONE,
        (Outcome::Failed, _) => StatusCode::BAD_GATEWAY,
        (Outcome::NotRun, Reason::Invalid | Reason::BadToken) => StatusCode::BAD_REQUEST,
        (Outcome::NotRun, Reason::NoRow) => StatusCode::NOT_FOUND,
        (Outcome::NotRun, Reason::OtherRunner) => StatusCode::MISDIRECTED_REQUEST,
        (Outcome::NotRun, Reason::KeyNeeded) => StatusCode::PRECONDITION_REQUIRED,
        (Outcome::NotRun, Reason::Ceiling | Reason::RetryBudget | Reason::Full) => {
            StatusCode::TOO_MANY_REQUESTS
        }
        (Outcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
    }
}
