//! Short calls of replicas that are no requests of callers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use platform::engine;
use relay::server::Key;
use tokio::time::timeout;

use crate::links::Failure;
use crate::shared::Shared;

/// Time for the answer; replicas answer such calls without waiting for a slot.
const TIMEOUT: Duration = Duration::from_millis(150);
/// Bytes of an answer at most.
const MAX_ANSWER: usize = 64 * 1024;

/// One call.
#[derive(Debug)]
pub struct Call {
    /// Where the replica is.
    pub to: SocketAddr,
    /// Id of the replica that is meant.
    pub replica: String,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// JSON; may be empty.
    pub body: Vec<u8>,
}

/// Makes `call`; gives the status and the body of the answer.
///
/// # Errors
/// What went wrong; the call may have been carried out.
pub async fn call(shared: &Shared, call: Call) -> Result<(StatusCode, Bytes), String> {
    let (name, id) = engine::aimed_at(&call.replica);
    let request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(header::HOST, call.to.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(name, id)
        .body(Full::new(Bytes::from(call.body)))
        .map_err(|error| error.to_string())?;
    match timeout(TIMEOUT, exchange(shared, call.to, request)).await {
        Ok(answer) => answer,
        Err(_) => {
            shared.links.forget(call.to);
            Err("no answer in time".to_owned())
        }
    }
}

async fn exchange(
    shared: &Shared,
    to: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), String> {
    let sent = shared.links.send(to, request, false).await;
    let (answer, link) = sent.map_err(|failure| match failure {
        Failure::NotSent { step, cause } => format!("{step}: {cause}"),
        Failure::Lost { cause } => cause,
    })?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_ANSWER).collect().await;
    let body = body.map_err(|error| error.to_string())?;
    shared.links.keep(link, None);
    Ok((status, body.to_bytes()))
}

/// Whether the replica `key` answers a question.
pub async fn answers(shared: &Shared, key: Key) -> bool {
    let replica = shared.pool.borrow().get(key).map(|s| s.replica.clone());
    let Some(replica) = replica else { return false };
    let report = Call {
        to: replica.address,
        replica: replica.id,
        method: Method::GET,
        path: engine::REPORT_PATH.to_owned(),
        body: Vec::new(),
    };
    matches!(call(shared, report).await, Ok((StatusCode::OK, _)))
}
