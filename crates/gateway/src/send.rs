//! One send of a request to one replica.

use std::rc::Rc;

use boottime::Instant;
use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use platform::caller::Task;
use platform::reply::Head;
use platform::reply::Subject;
use relay::attempt::Outcome;
use relay::permit::Permit;
use relay::permit::Work;
use relay::server::Key;

use crate::guard::Claim;
use crate::job::Job;
use crate::links::Failure;
use crate::links::Link;
use crate::shared::Shared;

/// The head of a replica's genuine answer, with what is needed to read the rest.
#[derive(Debug)]
pub struct Reply {
    /// What the head says.
    pub head: Head,
    /// Its headers and its body, not read yet.
    pub response: Response<Incoming>,
    /// The connection; closed if this is dropped.
    pub link: Link,
    /// The replica.
    pub claim: Claim,
}

/// Sends `job` to the replica `key`, which is to do `task`, and reads the head of the answer. The permit
/// goes back to the job if no byte of the request left. What waited for a place or a retry meanwhile is quarantined
/// here, if replicas ended under the same request.
///
/// # Errors
/// How the send ended, if not in a genuine answer.
pub async fn send(
    shared: &Rc<Shared>,
    job: &Job,
    key: Key,
    task: Task,
    reservation: Option<&str>,
    permit: Permit,
) -> Result<Reply, Outcome> {
    let work = match task {
        Task::Prefill => Work::Read,
        _ => Work::Run,
    };
    let sent = if !shared.may_send(job.fingerprint).await {
        Err(Outcome::Quarantined)
    } else if shared.is_revoked(job) {
        Err(Outcome::Denied)
    } else {
        counted(job, work, send_once(shared, job, key, task, reservation)).await
    };
    if matches!(
        sent,
        Err(Outcome::NotSent | Outcome::Quarantined | Outcome::Denied)
    ) {
        job.allowance.borrow_mut().put(work, permit);
    }
    sent
}

/// Awaits a send of `job`, and notes whether it may have run: only then it counts against its customer's quota.
async fn counted(
    job: &Job,
    work: Work,
    sent: impl Future<Output = Result<Reply, Outcome>>,
) -> Result<Reply, Outcome> {
    let Some(charge) = job.charge.as_ref().filter(|_| work == Work::Run) else {
        return sent.await;
    };
    let before = charge.set_ran(true);
    let sent = sent.await;
    if matches!(sent, Err(Outcome::NotSent | Outcome::NotRun)) {
        charge.set_ran(before);
    }
    sent
}

async fn send_once(
    shared: &Rc<Shared>,
    job: &Job,
    key: Key,
    task: Task,
    reservation: Option<&str>,
) -> Result<Reply, Outcome> {
    let tokens = match task {
        Task::Prefill => job.prompt(),
        _ => job.tokens(),
    };
    let claim = Claim::new(shared, key, tokens, task == Task::Prefill);
    let now = shared.clock.now();
    let target = shared.pool.borrow().get(key).map(|server| {
        let replica = &server.replica;
        let target = (replica.id.clone(), replica.address, server.in_flight);
        (target, server.may_receive(now))
    });
    let (id, address, in_flight) = match target {
        Some((target, true)) => target,
        Some((_, false)) => {
            let cause = "the replica is draining or no longer listed";
            note(shared, job, key, Outcome::NotSent, cause, 0);
            return Err(Outcome::NotSent);
        }
        None => return Err(Outcome::NotSent),
    };
    let (prompt, output) = job.call.tokens.unwrap_or_default();
    log::info!(kind = "send", request = job.call.id, content = job.fingerprint.to_string(), replica = id, task = word(&task), cache = cache(&task), in_flight = in_flight, prompt = prompt, output = output, replicas = shared.replicas_version(), reserved = reservation.is_some(), plan = job.plan, left_ms = job.left().as_millis() as u64; "sending");
    let prefill = task == Task::Prefill;
    let decode = matches!(task, Task::Decode { .. });
    let begun = Instant::now();
    let request = job.request(&id, task, reservation).map_err(|error| {
        log::error!(kind = "send", request = job.call.id, cause = error.to_string(); "a request cannot be built");
        Outcome::NotSent
    })?;
    // A new connection, since a request that may run once must not be lost to a late second answer, and since the second
    // answer to an earlier send of this request to the replica has the same id.
    let is_first = job.is_first_send(key);
    let fresh = !is_first || !(prefill || job.route.mode.repeatable());
    let (response, link) = match shared.links.send(address, request, fresh).await {
        Ok(answer) => answer,
        Err(failure) => return Err(failed(shared, job, key, &failure)),
    };
    let head = Head::read(&job.call.id, response.status(), response.headers());
    if !link.may_answer(head.subject) {
        return Err(foreign(shared, job, key, &head, &link));
    }
    if let Some(load) = head.load {
        shared
            .pool
            .borrow_mut()
            .record_load(shared.clock.now(), key, load);
    }
    if head.other_replica {
        shared.pool.borrow_mut().mark_replaced(key);
    }
    // An unsigned answer may come from an intermediary, so it cannot lift a limit.
    if head.limit.is_some() || head.genuine {
        shared.note_limit(key, head.limit);
    }
    if let Some((outcome, cause)) = fault(&head, prefill) {
        let load = head
            .load
            .map_or((0, 0), |load| (load.running, load.waiting));
        let cause = format!("{cause}; running {}, waiting {}", load.0, load.1);
        note(shared, job, key, outcome, &cause, head.status.as_u16());
        return Err(outcome);
    }
    if decode {
        shared.record_work(key, begun.elapsed(), 1.0);
    }
    Ok(Reply {
        head,
        response,
        link,
        claim,
    })
}

/// Notes that the answer is, or may be, another request's; this one may run all the same.
fn foreign(shared: &Shared, job: &Job, key: Key, head: &Head, link: &Link) -> Outcome {
    shared.metrics.foreign_answers.inc();
    shared.links.note_second_answer(link.address());
    let whose = match head.subject {
        Subject::Unnamed => "the answer names no request",
        _ => "the answer is another request's",
    };
    let cause = format!("{whose}; exchanges before: {}", link.exchanges_before());
    let outcome = Outcome::Lost;
    note(shared, job, key, outcome, &cause, head.status.as_u16());
    outcome
}

/// Why an answer with this head is none to the request; `None` if it is one.
fn fault(head: &Head, prefill: bool) -> Option<(Outcome, &'static str)> {
    match head {
        head if head.other_replica => Some((Outcome::NotRun, "another replica has its address")),
        head if head.not_run => Some((Outcome::NotRun, "it did not run the request")),
        // The answer to a prefill is for this daemon and bears no signature.
        head if prefill && head.status == StatusCode::OK => None,
        head if !head.genuine => Some((Outcome::Lost, "its answer is not genuine")),
        _ => None,
    }
}

/// Notes that a send to `key` ended in `outcome`.
pub fn note(shared: &Shared, job: &Job, key: Key, outcome: Outcome, cause: &str, status: u16) {
    if outcome == Outcome::Lost {
        shared.probe_lost(job.fingerprint, key);
    }
    let now = shared.clock.now();
    let mut pool = shared.pool.borrow_mut();
    pool.record_result(now, key, true);
    let replica = pool.get(key).map_or("", |server| &server.replica.id);
    shared.metrics.send(match outcome {
        Outcome::NotSent => "not-sent",
        Outcome::NotRun => "unrun",
        Outcome::Failed => "failed",
        Outcome::Lost => "lost",
        Outcome::Quarantined => "quarantined",
        Outcome::Denied => "denied",
    });
    log::info!(kind = "failure", request = job.call.id, content = job.fingerprint.to_string(), replica = replica, outcome = format!("{outcome:?}"), status = status, cause = cause; "a send failed");
}

/// Notes that a send to `key` ended well.
pub fn note_success(shared: &Shared, key: Key) {
    let now = shared.clock.now();
    shared.pool.borrow_mut().record_result(now, key, false);
    shared.metrics.send("answered");
}

/// Reads the rest of a whole answer, and keeps the connection for another request. An answer without a length is whole
/// where its connection ends without a reset.
///
/// # Errors
/// `Lost` if it breaks off or is longer than `most` bytes.
pub async fn whole(
    shared: &Shared,
    reply: Reply,
    most: usize,
) -> Result<(Head, HeaderMap, Bytes), Outcome> {
    let Reply {
        head,
        response,
        link,
        claim,
    } = reply;
    let (parts, body) = response.into_parts();
    match Limited::new(body, most).collect().await {
        Ok(body) => {
            shared.links.keep_after(&head, link);
            drop(claim);
            Ok((head, parts.headers, body.to_bytes()))
        }
        Err(_) => Err(Outcome::Lost),
    }
}

fn failed(shared: &Shared, job: &Job, key: Key, failure: &Failure) -> Outcome {
    let (outcome, cause) = match failure {
        Failure::Refused { cause } | Failure::Unreachable { cause } => {
            (Outcome::NotSent, format!("connecting: {cause}"))
        }
        Failure::NotSent { cause } => (Outcome::NotSent, format!("sending: {cause}")),
        Failure::Lost { cause } => (Outcome::Lost, cause.clone()),
    };
    note(shared, job, key, outcome, &cause, 0);
    outcome
}

/// Name of the KV cache, or of the moved memory, that `task` goes on from; empty if there is none.
fn cache(task: &Task) -> &str {
    match task {
        Task::Decode { handle, .. } | Task::GoOn { handle, .. } => handle,
        Task::Answer | Task::Prefill | Task::Resume { .. } => "",
    }
}

const fn word(task: &Task) -> &'static str {
    match task {
        Task::Answer => "answer",
        Task::Prefill => "prefill",
        Task::Decode { .. } => "decode",
        Task::GoOn { .. } => "go-on",
        Task::Resume { .. } => "resume",
    }
}
