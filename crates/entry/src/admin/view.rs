//! Read-only calls.

use http::Response;
use http::StatusCode;
use node::status::Status;
use serde_json::Value;
use serde_json::json;
use table::transaction::History;
use volo_http::body::Body;

use super::Shared;
use super::answer;
use crate::driver::inbox::StateQuery;
use crate::platform;

/// Whether the daemon is ready to decide requests.
pub(super) async fn health(shared: &Shared) -> Response<Body> {
    let ready = read_status(shared)
        .await
        .is_some_and(|status| status.generation > 0 && status.fresh && !status.leaving);
    let code = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    answer::json(code, &json!({"ready": ready}))
}

/// The metrics in the Prometheus text format.
pub(super) async fn metrics(shared: &Shared) -> Response<Body> {
    match read_status(shared).await {
        Some(status) => answer::text(shared.metrics.text(&status)),
        None => answer::stopping(),
    }
}

/// The full status.
pub(super) async fn status(shared: &Shared) -> Response<Body> {
    match read_status(shared).await {
        Some(status) => answer::json(StatusCode::OK, &status),
        None => answer::stopping(),
    }
}

/// The table in force.
pub(super) async fn table(shared: &Shared) -> Response<Body> {
    match shared.inbox.query(StateQuery::Table).await {
        Some(Some(table)) => answer::json(StatusCode::OK, &table),
        Some(None) => answer::error(
            StatusCode::SERVICE_UNAVAILABLE,
            "no table has been read yet; try again",
        ),
        None => answer::stopping(),
    }
}

/// Which instances have a generation in force.
pub(super) async fn force(shared: &Shared, query: &str) -> Response<Body> {
    let text = parameter(query, "generation").unwrap_or_default();
    let Ok(generation) = text.parse() else {
        let cause = format!("generation `{text}` is not a number; write ?generation=8");
        return answer::error(StatusCode::BAD_REQUEST, &cause);
    };
    match shared
        .inbox
        .query(|sender| StateQuery::Force(generation, sender))
        .await
    {
        Some(force) => answer::json(StatusCode::OK, &force),
        None => answer::stopping(),
    }
}

/// The latest edits.
pub(super) async fn history(shared: &Shared) -> Response<Body> {
    match platform::history(&shared.client).await {
        Ok(edits) => {
            let edits: Vec<Value> = edits.iter().map(edit_json).collect();
            answer::json(StatusCode::OK, &json!({"edits": edits}))
        }
        Err(error) => answer::error(StatusCode::BAD_GATEWAY, &error.to_string()),
    }
}

/// Recent decision lines of a request.
pub(super) fn explain(shared: &Shared, query: &str) -> Response<Body> {
    match parameter(query, "request") {
        Some(text) if !text.is_empty() => {
            let lines = shared.recent.find(&text);
            answer::json(StatusCode::OK, &json!({"lines": lines}))
        }
        _ => {
            let cause = "no request named; write ?request=TEXT";
            answer::error(StatusCode::BAD_REQUEST, cause)
        }
    }
}

async fn read_status(shared: &Shared) -> Option<Status> {
    shared.inbox.query(StateQuery::Status).await
}

fn edit_json(history: &History) -> Value {
    json!({
        "generation": history.generation,
        "id": history.edit.id,
        "operator": history.edit.operator,
        "note": history.edit.note,
        "unix_s": history.unix_seconds,
        "changes": history.edit.changes,
    })
}

fn parameter(query: &str, name: &str) -> Option<String> {
    form_urlencoded::parse(query.as_bytes())
        .find(|pair| pair.0 == name)
        .map(|pair| pair.1.into_owned())
}
