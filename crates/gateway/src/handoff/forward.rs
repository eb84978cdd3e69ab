//! Forwards a peer's answer to the caller.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use boottime::Instant;
use boottime::timer::timeout_at;
use bytes::Bytes;
use h2::RecvStream;
use http::HeaderMap;
use http::Response;
use http::StatusCode;

use crate::body::Body;
use crate::body::PartSender;
use crate::bounds::READ_GRACE;
use crate::ending;
use crate::ending::MAX_ANSWER_BYTES;
use crate::handoff::client::Answered;
use crate::handoff::message;
use crate::handoff::message::Answer;
use crate::handoff::message::DEADLINE_MARGIN;
use crate::job::Job;
use crate::memory::answer;
use crate::memory::answer::Reading;
use crate::responses;
use crate::shared::Shared;

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
        return stream(shared, job, status, headers, start, rest);
    }
    match timeout_at(
        job.deadline + DEADLINE_MARGIN,
        read_whole(shared, answer.length, start, rest),
    )
    .await
    {
        Ok(Ok(body)) if answer.length == Some(body.bytes.len() as u64) => {
            shared
                .metrics
                .latency(&job.route.name, job.age().as_secs_f64());
            job.end(outcome(status, &answer), answer.status, SERVED_CAUSE);
            let body = Body::whole(body.bytes).with_charge(body.charge);
            response(status, headers, body)
        }
        Ok(Ok(_)) => lost(shared, &mut job, peer, "the answer has another length"),
        Ok(Err(error)) => {
            shared.note_bounded(&error, peer);
            lost(shared, &mut job, peer, &error.to_string())
        }
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

async fn read_whole(
    shared: &Shared,
    length: Option<u64>,
    start: Bytes,
    rest: RecvStream,
) -> Result<answer::Answer, answer::Error> {
    let cut_off = |error: h2::Error| answer::Error::CutOff {
        cause: error.to_string(),
    };
    let mut rest = rest;
    let mut reading = Reading::new(&shared.memory.answers, length, MAX_ANSWER_BYTES);
    reading.push(&start).await?;
    while let Some(part) = reading.wait_for(rest.data()).await? {
        let part = part.map_err(cut_off)?;
        reading.push(&part).await?;
        // The peer sends no more than has been read.
        rest.flow_control()
            .release_capacity(part.len())
            .map_err(cut_off)?;
    }
    Ok(reading.finish())
}

/// A response whose body a task forwards as it arrives.
fn stream(
    shared: &Shared,
    job: Job,
    status: StatusCode,
    headers: HeaderMap,
    start: Bytes,
    rest: RecvStream,
) -> Response<Body> {
    job.response_started.set(true);
    let (parts, body) = Body::queue(&shared.memory.answers);
    tokio::task::spawn_local(forward_parts(job, status, start, rest, parts));
    response(status, headers, body)
}

/// Forwards the parts of a stream. Dropping `parts` without an end cuts off the response.
async fn forward_parts(
    job: Job,
    status: StatusCode,
    start: Bytes,
    rest: RecvStream,
    parts: PartSender,
) {
    let (mut job, mut rest) = (job, rest);
    if !parts.send(start).await {
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
                parts.end().await;
                return;
            }
            Err(_) => return job.end("overdue", status.as_u16(), "the deadline passed"),
        };
        let length = part.len();
        if !parts.send(part).await {
            return;
        }
        if let Err(error) = rest.flow_control().release_capacity(length) {
            return job.end("broken", status.as_u16(), &format!("peer: {error}"));
        }
    }
}
