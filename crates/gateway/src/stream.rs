//! Serves generations: a prefill replica prefills the prompt, a decode replica generates the
//! tokens, and the events are forwarded as they arrive.

use std::rc::Rc;

use boottime::timer::timeout_at;
use http::Response;
use http::StatusCode;
use relay::attempt::Attempt;
use relay::attempt::Next;
use relay::attempt::Outcome;
use relay::replica::Stage;

use crate::body::Body;
use crate::ending;
use crate::forward;
use crate::handoff;
use crate::job::Job;
use crate::plain;
use crate::responses;
use crate::search;
use crate::search::Search;
use crate::send;
use crate::send::Reply;
use crate::shared::Shared;

/// Largest error response of a replica in bytes.
const MAX_FAILURE_BYTES: usize = 64 * 1024;

/// Serves `job` as a stream of events.
pub async fn serve(shared: &Rc<Shared>, mut job: Job) -> Response<Body> {
    let mut attempt = Attempt::new(job.route.mode, job.route.max_attempts);
    let mut tried = Vec::new();
    let search = Search {
        attempt: &mut attempt,
        tried: &mut tried,
        placement: None,
        last_event: None,
        generated: 0,
        overlap: None,
    };
    let opened = timeout_at(job.deadline, search::open(shared, &job, search));
    match opened.await {
        Ok(Ok(opened)) if opened.reply.head.status == StatusCode::OK => {
            forward::start(shared, job, attempt, tried, opened)
        }
        Ok(Ok(opened)) => forward_failure(shared, job, opened.reply).await,
        Ok(Err(Next::Unknown)) => ending::finish(
            &mut job,
            "unknown",
            responses::unknown,
            "the replica was lost",
        ),
        Ok(Err(_)) if handoff::may_follow(shared, &job, &attempt) => {
            match handoff::serve(shared, job, &attempt).await {
                Ok(response) => response,
                Err(untaken) => {
                    job = *untaken.job;
                    refuse(shared, &mut job, "no replica accepted the request")
                }
            }
        }
        Ok(Err(_)) => refuse(shared, &mut job, "no replica accepted the request"),
        Err(_) if attempt.sends() == 0 => refuse(shared, &mut job, "no replica in time"),
        Err(_) => ending::finish(&mut job, "overdue", responses::overdue, "no answer in time"),
    }
}

fn refuse(shared: &Shared, job: &mut Job, cause: &'static str) -> Response<Body> {
    let excluded = shared.exclusion_remaining(job.destination(), Some(Stage::Decode));
    let retry_after = excluded.unwrap_or_else(|| shared.retry_after(&job.service));
    ending::refuse(shared, job, retry_after, cause)
}

/// Forwards a replica's error response.
async fn forward_failure(shared: &Rc<Shared>, mut job: Job, reply: Reply) -> Response<Body> {
    let key = reply.guard.key;
    let status = reply.head.status;
    let read = timeout_at(
        job.deadline,
        send::read_whole(shared, reply, MAX_FAILURE_BYTES),
    )
    .await;
    send::record_failure(
        shared,
        &job,
        key,
        Outcome::Failed,
        "the replica answered with an error",
        status.as_u16(),
    );
    match read {
        Ok(Ok(whole)) => {
            job.end(
                "failed",
                status.as_u16(),
                "the replica answered with an error",
            );
            plain::forwarded(status, &whole.headers, whole.body, whole.charge)
        }
        _ => ending::finish(
            &mut job,
            "unknown",
            responses::unknown,
            "the replica was lost",
        ),
    }
}
