//! Generations: the prompt is read by a prefill replica, the tokens are made by a decode replica,
//! and the events are passed on as they come.

use std::rc::Rc;

use http::Response;
use http::StatusCode;
use platform::caller::Task;
use relay::attempt::Attempt;
use relay::attempt::Next;
use relay::attempt::Outcome;
use relay::pool::Key;
use tokio::time::timeout_at;

use crate::body::Body;
use crate::flow;
use crate::job::Job;
use crate::own;
use crate::place;
use crate::place::Place;
use crate::plain;
use crate::prefill;
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
        task: None,
    };
    let opened = timeout_at(job.deadline, open(shared, &job, search));
    match opened.await {
        Ok(Ok(reply)) if reply.head.status == StatusCode::OK => {
            flow::pass_on(shared, job, attempt, tried, reply)
        }
        Ok(Ok(reply)) => failure(shared, job, reply).await,
        Ok(Err(Next::Unknown)) => {
            plain::finish(&mut job, "unknown", own::unknown, "the replica was lost")
        }
        Ok(Err(_)) => refuse(shared, &mut job, "no replica took the request"),
        Err(_) if attempt.sends() == 0 => refuse(shared, &mut job, "no replica in time"),
        Err(_) => plain::finish(&mut job, "overdue", own::overdue, "no answer in time"),
    }
}

fn refuse(shared: &Shared, job: &mut Job, cause: &'static str) -> Response<Body> {
    plain::refuse(job, shared.come_back(&job.service), cause)
}

/// Where a request was sent, and what the next replica is to do.
#[derive(Debug)]
pub struct Search<'a> {
    /// What was sent so far.
    pub attempt: &'a mut Attempt,
    /// Replicas that it was sent to.
    pub tried: &'a mut Vec<Key>,
    /// A place that was found already.
    pub place: Option<Place>,
    /// `None` if the prompt is to be read by a prefill replica first.
    pub task: Option<Task>,
}

/// Finds a replica that answers.
///
/// # Errors
/// What to tell the caller.
pub async fn open(shared: &Rc<Shared>, job: &Job, search: Search<'_>) -> Result<Reply, Next> {
    let Search {
        attempt,
        tried,
        mut place,
        mut task,
    } = search;
    loop {
        let found = match place.take() {
            Some(place) => Some(place),
            None => place::find(shared, job, tried).await,
        };
        let Some(place) = found else {
            let unknown = attempt.may_have_run();
            return Err(if unknown { Next::Unknown } else { Next::Refuse });
        };
        let now = match &task {
            Some(task) => task.clone(),
            None => prefill::read(shared, job).await.ok_or(Next::Refuse)?,
        };
        let key = place.key();
        tried.push(key);
        attempt.sent();
        let sent = send::send(shared, job, key, now, place.reservation());
        let outcome = match sent.await {
            Ok(reply) => {
                place.used();
                return Ok(reply);
            }
            Err(outcome) => outcome,
        };
        match attempt.after(outcome, || shared.take_retry(&job.service, &job.call.id)) {
            Next::Retry => {}
            next => return Err(next),
        }
        // The KV cache may be gone; the next replica reads the prompt itself.
        task = task.or(Some(Task::Answer));
    }
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
