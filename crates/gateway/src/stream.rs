//! Generations: the prompt is read by a prefill replica, the tokens are made by a decode replica,
//! and the events are passed on as they come.

use std::rc::Rc;

use boottime::timer::timeout_at;
use http::Response;
use http::StatusCode;
use relay::attempt::Attempt;
use relay::attempt::Next;
use relay::attempt::Outcome;

use crate::body::Body;
use crate::flow;
use crate::job::Job;
use crate::own;
use crate::plain;
use crate::search;
use crate::search::Search;
use crate::send;
use crate::send::Reply;
use crate::shared::Shared;

/// Bytes of a replica's failure at most.
const MAX_FAILURE: usize = 64 * 1024;

/// Serves `job`.
pub async fn serve(shared: &Rc<Shared>, mut job: Job) -> Response<Body> {
    let mut attempt = Attempt::new(job.route.mode, job.route.max_attempts);
    let mut tried = Vec::new();
    let search = Search {
        attempt: &mut attempt,
        tried: &mut tried,
        place: None,
        last_event: None,
        made: 0,
    };
    let opened = timeout_at(job.deadline, search::open(shared, &job, search));
    match opened.await {
        Ok(Ok(opened)) if opened.reply.head.status == StatusCode::OK => {
            flow::pass_on(shared, job, attempt, tried, opened)
        }
        Ok(Ok(opened)) => failure(shared, job, opened.reply).await,
        Ok(Err(Next::Unknown)) => {
            plain::finish(&mut job, "unknown", own::unknown, "the replica was lost")
        }
        Ok(Err(_)) => refuse(shared, &mut job, "no replica took the request"),
        Err(_) if attempt.sends() == 0 => refuse(shared, &mut job, "no replica in time"),
        Err(_) => plain::finish(&mut job, "overdue", own::overdue, "no answer in time"),
    }
}

fn refuse(shared: &Shared, job: &mut Job, cause: &'static str) -> Response<Body> {
    plain::refuse(shared, job, shared.retry_after(&job.service), cause)
}

/// Passes a replica's failure on.
async fn failure(shared: &Rc<Shared>, mut job: Job, reply: Reply) -> Response<Body> {
    let key = reply.claim.key;
    let status = reply.head.status;
    let read = timeout_at(job.deadline, send::whole(shared, reply, MAX_FAILURE)).await;
    send::note(
        shared,
        &job,
        key,
        Outcome::Failed,
        "its own failure",
        status.as_u16(),
    );
    match read {
        Ok(Ok((_, headers, body))) => {
            job.end("failed", status.as_u16(), "the replica's own failure");
            plain::passed_on(status, &headers, body)
        }
        _ => plain::finish(&mut job, "unknown", own::unknown, "the replica was lost"),
    }
}
