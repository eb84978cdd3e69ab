//! Forwards a peer's answer to the caller.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use boottime::Instant;
use boottime::timer::timeout_at;
use bytes::Bytes;
use bytes::BytesMut;
use h2::RecvStream;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use tokio::sync::mpsc;
use tokio::sync::mpsc::Sender;

use crate::body::Body;
use crate::body::Part;
use crate::bounds::READ_GRACE;
use crate::ending;
use crate::ending::MAX_ANSWER_BYTES;
use crate::handoff::client::Answered;
use crate::handoff::message;
use crate::handoff::message::Answer;
use crate::handoff::message::DEADLINE_MARGIN;
use crate::job::Job;
use crate::responses;
use crate::shared::Shared;

/// Parts of a response buffered for a slow caller; beyond that, the peer is not read.
const MAX_BUFFERED_PARTS: usize = 32;
/// Cause in the line that ends a request which a peer served.
const SERVED_CAUSE: &str = "served by a peer";

/// Forwards the answer of `peer`: in one piece if its length is known, otherwise as it arrives.
pub async fn start(
    shared: &Rc<Shared>,
    job: Job,
    peer: SocketAddr,
    answered: Answered,
) -> Response<Body> {
    let mut job = job;
    let Answered {
        answer,
        start,
        rest,
    } = answered;
    let head = StatusCode::from_u16(answer.status).map_err(io::Error::other);
    let head = head.and_then(|status| Ok((status, message::from_pairs(&answer.headers)?)));
    let (status, headers) = match head {
        Ok(head) => head,
        Err(error) => return lost(shared, &mut job, peer, &error.to_string()),
    };
    if answer.length.is_none() {
        return stream(job, status, headers, start, rest);
    }
    match timeout_at(job.deadline + DEADLINE_MARGIN, read_whole(start, rest)).await {
        Ok(Ok(body)) if answer.length == Some(body.len() as u64) => {
            shared
                .metrics
                .latency(&job.route.name, job.age().as_secs_f64());
            job.end(outcome(status, &answer), answer.status, SERVED_CAUSE);
            response(status, headers, Body::whole(body))
        }
        Ok(Ok(_)) => lost(shared, &mut job, peer, "the answer has another length"),
        Ok(Err(error)) => lost(shared, &mut job, peer, &error.to_string()),
        Err(elapsed) => lost(shared, &mut job, peer, &elapsed.to_string()),
    }
}

/// Ends `job`, of whose answer a part is missing.
fn lost(shared: &Shared, job: &mut Job, peer: SocketAddr, cause: &str) -> Response<Body> {
    shared.note_lost_peer(peer, job, cause);
    let cause = "the peer that served it was lost";
    ending::finish(job, "unknown", responses::unknown, cause)
}

/// Outcome of a request that a peer answered with `status`.
fn outcome(status: StatusCode, answer: &Answer) -> &'static str {
    match status {
        _ if answer.is_refused => "refused",
        StatusCode::BAD_GATEWAY => "unknown",
        StatusCode::GATEWAY_TIMEOUT => "overdue",
        status if status.is_server_error() => "failed",
        _ => "answered",
    }
}

fn response(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

async fn read_whole(start: Bytes, rest: RecvStream) -> io::Result<Bytes> {
    let mut rest = rest;
    let mut whole = BytesMut::from(&start[..]);
    while let Some(part) = rest.data().await {
        let part = part.map_err(io::Error::other)?;
        rest.flow_control()
            .release_capacity(part.len())
            .map_err(io::Error::other)?;
        whole.extend_from_slice(&part);
        if whole.len() > MAX_ANSWER_BYTES {
            return Err(io::Error::other("the answer is too long"));
        }
    }
    Ok(whole.freeze())
}

/// A response whose body a task forwards as it arrives.
fn stream(
    job: Job,
    status: StatusCode,
    headers: HeaderMap,
    start: Bytes,
    rest: RecvStream,
) -> Response<Body> {
    job.response_started.set(true);
    let (parts, body) = mpsc::channel(MAX_BUFFERED_PARTS);
    tokio::task::spawn_local(forward_parts(job, status, start, rest, parts));
    response(status, headers, Body::parts(body))
}

/// Forwards the parts of a stream. Dropping `parts` without an end cuts off the response.
async fn forward_parts(
    job: Job,
    status: StatusCode,
    start: Bytes,
    rest: RecvStream,
    parts: Sender<Part>,
) {
    let (mut job, mut rest) = (job, rest);
    if !start.is_empty() && parts.send(Part::Data(start)).await.is_err() {
        return;
    }
    let deadline = job.deadline + DEADLINE_MARGIN;
    loop {
        // Parts may be ready without end.
        if Instant::now() >= deadline + READ_GRACE {
            return job.end("overdue", status.as_u16(), "the deadline passed");
        }
        let read = tokio::select! {
            read = timeout_at(deadline, rest.data()) => read,
            // Dropping the job logs it, and dropping the stream ends the request at the peer.
            () = parts.closed() => return,
        };
        let part = match read {
            Ok(Some(Ok(part))) => part,
            Ok(Some(Err(error))) => {
                return job.end("broken", status.as_u16(), &format!("peer: {error}"));
            }
            Ok(None) => {
                job.end("answered", status.as_u16(), SERVED_CAUSE);
                // The caller may be gone; then the end is not needed.
                let _ = parts.send(Part::End).await;
                return;
            }
            Err(_) => return job.end("overdue", status.as_u16(), "the deadline passed"),
        };
        let length = part.len();
        if parts.send(Part::Data(part)).await.is_err() {
            return;
        }
        if let Err(error) = rest.flow_control().release_capacity(length) {
            return job.end("broken", status.as_u16(), &format!("peer: {error}"));
        }
    }
}
