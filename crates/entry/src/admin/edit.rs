//! Edits of the table.

use std::time::Duration;

use boottime::timer::timeout;
use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use node::action::CallerMessage;
use node::action::Verdict;
use serde_json::json;
use table::edit::Edit;
use volo_http::body::Body;
use volo_http::request::Request;

use super::Shared;
use super::answer;
use crate::callers::refusal_json;
use crate::driver::inbox::Operation;

/// Longest edit, in bytes.
const MAX_BYTES: usize = 4 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Submits an edit to the core and responds with the verdict.
pub(super) async fn edit(shared: &Shared, operator: &str, request: Request) -> Response<Body> {
    let bytes = match read(request).await {
        Ok(bytes) => bytes,
        Err(response) => return response,
    };
    let edit = match serde_json::from_slice::<Edit>(&bytes) {
        Ok(edit) if edit.operator != operator => {
            let cause = format!(
                "the edit names operator `{}`, the call `{operator}`",
                edit.operator
            );
            return answer::error(StatusCode::FORBIDDEN, &cause);
        }
        Ok(edit) => edit,
        Err(error) => {
            let cause = format!("the body is not an edit: {error}");
            return answer::error(StatusCode::BAD_REQUEST, &cause);
        }
    };
    // Keeps a planned stop waiting until the verdict is sent.
    let _response = shared.stop.begin_response();
    let mut open = shared.inbox.open(Operation::Edit(edit)).await;
    match open.next().await {
        Some(CallerMessage::Edit(verdict)) => verdict_response(&verdict),
        Some(CallerMessage::Refusal(refusal)) => {
            answer::json(StatusCode::SERVICE_UNAVAILABLE, &refusal_json(&refusal))
        }
        Some(_) | None => verdict_response(&Verdict::Undecided {
            cause: "the instance gave it up".to_owned(),
        }),
    }
}

async fn read(request: Request) -> Result<Bytes, Response<Body>> {
    let body = Limited::new(request.into_body(), MAX_BYTES);
    match timeout(BODY_TIMEOUT, body.collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            let cause = format!("the edit is longer than {MAX_BYTES} bytes");
            Err(answer::error(StatusCode::PAYLOAD_TOO_LARGE, &cause))
        }
        Ok(Err(error)) => {
            let cause = format!("the body ended before its length: {error}");
            Err(answer::error(StatusCode::BAD_REQUEST, &cause))
        }
        Err(_) => {
            let cause = format!(
                "the body did not arrive within {} s",
                BODY_TIMEOUT.as_secs()
            );
            Err(answer::error(StatusCode::REQUEST_TIMEOUT, &cause))
        }
    }
}

fn verdict_response(verdict: &Verdict) -> Response<Body> {
    match verdict {
        Verdict::Accepted { generation } => answer::json(
            StatusCode::OK,
            &json!({"result": "accepted", "generation": generation}),
        ),
        Verdict::Repeated { generation } => answer::json(
            StatusCode::OK,
            &json!({"result": "repeated", "generation": generation}),
        ),
        Verdict::Conflict { lines } => answer::json(
            StatusCode::CONFLICT,
            &json!({"result": "conflict", "lines": lines}),
        ),
        Verdict::Rejected { cause } => answer::json(
            StatusCode::UNPROCESSABLE_ENTITY,
            &json!({"result": "rejected", "cause": cause}),
        ),
        Verdict::Undecided { cause } => answer::json(
            StatusCode::GATEWAY_TIMEOUT,
            &json!({"result": "undecided", "cause": cause}),
        ),
    }
}
