//! Sends a request to one replica and classifies the result.

use std::rc::Rc;

use boottime::Instant;
use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Body as _;
use platform::caller::Task;
use platform::reply::Head;
use platform::reply::RequestMatch;
use relay::attempt::Outcome;
use relay::permit::Permit;
use relay::permit::Work;
use relay::replica::Replica;
use relay::score::Version;
use relay::server::Key;

use crate::connections::Connection;
use crate::connections::Failure;
use crate::connections::body::Body;
use crate::guard::InFlight;
use crate::job::Job;
use crate::memory::Charge;
use crate::memory::answer;
use crate::memory::answer::Answer;
use crate::memory::answer::Error;
use crate::quarantine::probe;
use crate::shared::Shared;

/// What a replica is to do for a request.
#[derive(Debug)]
pub struct Assignment<'a> {
    /// The task.
    pub task: Task,
    /// Software versions that may carry it out. The entry of the replica may have changed since the
    /// choice.
    pub versions: Version<'a>,
    /// Reservation at the replica, if there is one.
    pub reservation: Option<&'a str>,
}

/// The head of a replica's genuine answer, and what is needed to read the rest.
#[derive(Debug)]
pub struct Reply {
    /// The parsed head.
    pub head: Head,
    /// Headers and unread body.
    pub response: Response<Body>,
    /// The connection; closed when this is dropped.
    pub connection: Connection,
    /// Counts the request at the replica.
    pub guard: InFlight,
    /// The replica when the request was sent; it may leave the list meanwhile.
    pub replica: Rc<Replica>,
}

/// Sends `job` to the replica `key` for `assignment` and reads the head of the answer. The permit returns
/// to the job if no byte of the request was sent. A request that was quarantined while it waited
/// for a placement or a retry is withheld here.
///
/// # Errors
/// How the send ended, if not with a genuine answer.
pub async fn send(
    shared: &Rc<Shared>,
    job: &Job,
    key: Key,
    assignment: Assignment<'_>,
    permit: Permit,
) -> Result<Reply, Outcome> {
    let work = match assignment.task {
        Task::Prefill => Work::Read,
        _ => Work::Run,
    };
    let sent = if !shared.may_send(&job.content).await {
        Err(Outcome::Quarantined)
    } else if shared.is_revoked(job) {
        Err(Outcome::Denied)
    } else {
        with_charge(job, work, send_once(shared, job, key, assignment)).await
    };
    if matches!(
        sent,
        Err(Outcome::NotSent | Outcome::Quarantined | Outcome::Denied)
    ) {
        job.permits.borrow_mut().put(work, permit);
    }
    sent
}

/// Awaits a send of `job` and records whether it may have run: only then does it count against its
/// customer's quota.
async fn with_charge(
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
    assignment: Assignment<'_>,
) -> Result<Reply, Outcome> {
    let Assignment {
        task,
        versions,
        reservation,
    } = assignment;
    let tokens = match task {
        Task::Prefill => job.prompt_tokens(),
        _ => job.expected_tokens(),
    };
    let guard = InFlight::new(shared, key, tokens, task == Task::Prefill);
    let now = shared.clock.now();
    let target = shared.pool.borrow().get(key).map(|server| {
        let target = (Rc::new(server.replica.clone()), server.in_flight);
        (target, server.withheld_cause(now))
    });
    let (replica, in_flight) = match target {
        Some(((replica, _), _)) if !versions.allows(replica.software.as_deref()) => {
            let cause = "its entry shows another software version";
            record_failure(shared, job, key, Outcome::NotSent, cause, 0);
            return Err(Outcome::NotSent);
        }
        Some((target, None)) => target,
        Some((_, Some(cause))) => {
            record_failure(shared, job, key, Outcome::NotSent, cause, 0);
            return Err(Outcome::NotSent);
        }
        None => return Err(Outcome::NotSent),
    };
    let (prompt, output) = job.call.tokens.unwrap_or_default();
    log::info!(kind = "send", request = job.call.id, content = job.content.whole.to_string(), parts = job.call.parts.join(","), replica = replica.id, software = replica.software.as_deref().unwrap_or_default(), task = task_name(&task), cache = cache_handle(&task), in_flight = in_flight, prompt = prompt, output = output, replicas = shared.replicas_version().version, reserved = reservation.is_some(), plan = job.plan, left_ms = job.time_left().as_millis() as u64; "sending");
    let prefill = task == Task::Prefill;
    let decode = matches!(task, Task::Decode { .. });
    let begun = Instant::now();
    let request = job.build_request(&replica.id, task, reservation).map_err(|error| {
        log::error!(kind = "send", request = job.call.id, cause = error.to_string(); "cannot build a request");
        Outcome::NotSent
    })?;
    // Use a new connection if the request must not run twice, since a late duplicate answer would
    // lose it, and for a second send to the same replica, since a duplicate answer to the first one
    // carries the same id.
    let work = if prefill { Work::Read } else { Work::Run };
    let is_first = job.record_send(key, work);
    let needs_new_connection = !is_first || !(prefill || job.route.mode.repeatable());
    let sent = shared
        .connections
        .send(replica.address, request, needs_new_connection, || {
            job.written.notify_waiters();
        })
        .await;
    note_reach(shared, job, key, &sent);
    let (head, response, connection) = own_answer(shared, job, key, sent).await?;
    if let Some(load) = head.load {
        shared
            .pool
            .borrow_mut()
            .record_load(shared.clock.now(), key, load);
    }
    if let Some(slowdown) = head.slowdown {
        shared.note_slowdown(key, slowdown);
    }
    if head.other_replica {
        shared.pool.borrow_mut().mark_replaced(key);
    }
    // An unsigned answer may come from an intermediary, so it cannot lift a limit.
    if head.limit.is_some() || head.genuine {
        shared.note_limit(key, head.limit);
    }
    let has_length = has_explicit_end(&response);
    if !has_length {
        shared
            .connections
            .record_answer_without_length(connection.address());
    }
    let is_exact = has_length || connection.exchanges_before() == 0;
    if let Some((outcome, cause)) = invalid_reason(&head, prefill, is_exact) {
        let load = head
            .load
            .map_or((0, 0), |load| (load.running, load.waiting));
        let cause = format!("{cause}; running {}, waiting {}", load.0, load.1);
        record_failure(shared, job, key, outcome, &cause, head.status.as_u16());
        return Err(outcome);
    }
    if decode {
        shared.record_work(key, begun.elapsed(), 1.0);
    }
    Ok(Reply {
        head,
        response,
        connection,
        guard,
        replica,
    })
}

/// Records what the connection for a send shows of the path to the replica `key`.
fn note_reach(
    shared: &Shared,
    job: &Job,
    key: Key,
    sent: &Result<(Response<Body>, Connection), Failure>,
) {
    match sent {
        // A kept connection may outlive the path for new ones.
        Ok((_, connection)) if connection.exchanges_before() > 0 => {}
        Ok(_) => shared.note_reached(key),
        Err(Failure::Refused { .. } | Failure::Unreachable { .. }) => {
            job.missed_replica.set(true);
            shared.note_unreached(key);
        }
        Err(Failure::NotSent { .. } | Failure::Lost { .. }) => {}
    }
}

/// Skips late duplicate answers to earlier requests of the connection, so that neither the answer to
/// `job` nor what it says of the replica is lost behind them.
async fn own_answer(
    shared: &Shared,
    job: &Job,
    key: Key,
    sent: Result<(Response<Body>, Connection), Failure>,
) -> Result<(Head, Response<Body>, Connection), Outcome> {
    let mut sent = sent;
    loop {
        let (response, connection) =
            sent.map_err(|failure| record_exchange_failure(shared, job, key, &failure))?;
        let head = Head::read(&job.call.id, response.status(), response.headers());
        shared.apply_notice(key, head.notice);
        if connection.may_match(head.request_match) {
            return Ok((head, response, connection));
        }
        shared.metrics.foreign_answers.inc();
        shared
            .connections
            .record_duplicate_answer(connection.address());
        if !connection.is_duplicate(response.headers()) {
            return Err(record_foreign_answer(shared, job, key, &head, &connection));
        }
        log::info!(kind = "duplicate", request = job.call.id, peer = connection.address().to_string(), exchanges_before = connection.exchanges_before(); "skipped a duplicate answer to an earlier request");
        sent = connection.next_answer(response).await;
    }
}

/// Records an answer that belongs, or may belong, to another request, and after which no answer to
/// this one is expected. This request may have run nevertheless.
fn record_foreign_answer(
    shared: &Shared,
    job: &Job,
    key: Key,
    head: &Head,
    connection: &Connection,
) -> Outcome {
    let whose = match head.request_match {
        RequestMatch::Unnamed => "the answer names no request",
        _ => "the answer is another request's",
    };
    let cause = format!(
        "{whose}; exchanges before: {}",
        connection.exchanges_before()
    );
    let outcome = Outcome::Lost;
    record_failure(shared, job, key, outcome, &cause, head.status.as_u16());
    outcome
}

/// Why an answer with this head is not valid for the request; `None` if it is. If its end is not
/// exact, a duplicate answer to an earlier request of the connection could be taken for a part of it.
fn invalid_reason(head: &Head, prefill: bool, is_exact: bool) -> Option<(Outcome, &'static str)> {
    match head {
        head if head.other_replica => Some((Outcome::NotRun, "another replica has its address")),
        head if head.not_run => Some((Outcome::NotRun, "the replica did not run the request")),
        _ if !is_exact => {
            let cause = "the answer has no length, on a connection that had other requests";
            Some((Outcome::Lost, cause))
        }
        // The answer to a prefill is meant for this daemon and is not signed.
        head if prefill && head.status == StatusCode::OK => None,
        head if !head.genuine => Some((Outcome::Lost, "the answer is not genuine")),
        _ => None,
    }
}

/// Records that a send to `key` failed with `outcome`.
pub fn record_failure(
    shared: &Shared,
    job: &Job,
    key: Key,
    outcome: Outcome,
    cause: &str,
    status: u16,
) {
    if outcome == Outcome::Lost {
        shared.probe_lost(key, job.suspects(key));
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
    log::info!(kind = "failure", request = job.call.id, content = job.content.whole.to_string(), replica = replica, outcome = format!("{outcome:?}"), status = status, cause = cause; "a send failed");
}

/// Records that a send to `key` succeeded.
pub fn record_success(shared: &Shared, key: Key) {
    let now = shared.clock.now();
    shared.pool.borrow_mut().record_result(now, key, false);
    shared.metrics.send("answered");
}

/// A complete answer of a replica.
#[derive(Debug)]
pub struct Whole {
    /// The parsed head.
    pub head: Head,
    /// Headers as received.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Memory of the body.
    pub charge: Charge,
    /// Whether it is known that the answer ended before the process of the replica did.
    pub is_end_proven: bool,
}

/// Whether the answer marks the end of its body; otherwise the body ends with the connection.
pub fn has_explicit_end(response: &Response<Body>) -> bool {
    let in_chunks = response.headers().contains_key(header::TRANSFER_ENCODING);
    in_chunks || response.body().size_hint().exact().is_some()
}

/// Reads the rest of an answer and keeps the connection for reuse. An answer without a length is
/// complete if its connection closes without a reset, and not because its replica ended.
///
/// # Errors
/// If the answer is cut off, longer than `max_bytes`, or too large for the budget of all answers. It
/// is lost.
pub async fn read_whole(
    shared: &Rc<Shared>,
    reply: Reply,
    max_bytes: usize,
) -> Result<Whole, Error> {
    let Reply {
        head,
        response,
        connection,
        guard,
        replica,
    } = reply;
    let has_explicit_end = has_explicit_end(&response);
    let (parts, body) = response.into_parts();
    let Answer { bytes, charge } = answer::read(&shared.memory.answers, body, max_bytes)
        .await
        .inspect_err(|error| shared.note_bounded(error, connection.address()))?;
    let outlives = if has_explicit_end {
        Some(true)
    } else {
        probe::outlives_answer(shared, guard.key, &replica).await
    };
    if outlives == Some(false) {
        let cause = "the replica ended with its answer".to_owned();
        return Err(Error::CutOff { cause });
    }
    shared.connections.keep_after(&head, connection);
    drop(guard);
    Ok(Whole {
        head,
        headers: parts.headers,
        body: bytes,
        charge,
        is_end_proven: outlives == Some(true),
    })
}

fn record_exchange_failure(shared: &Shared, job: &Job, key: Key, failure: &Failure) -> Outcome {
    let (outcome, cause) = match failure {
        Failure::Refused { cause } | Failure::Unreachable { cause } => {
            (Outcome::NotSent, format!("connecting: {cause}"))
        }
        Failure::NotSent { cause } => (Outcome::NotSent, format!("sending: {cause}")),
        Failure::Lost { cause } => (Outcome::Lost, cause.clone()),
    };
    record_failure(shared, job, key, outcome, &cause, 0);
    outcome
}

/// Handle of the KV cache that `task` continues from; empty if there is none.
fn cache_handle(task: &Task) -> &str {
    match task {
        Task::Decode { handle, .. } | Task::Continue { handle, .. } => handle,
        Task::Answer | Task::Prefill | Task::Resume { .. } => "",
    }
}

const fn task_name(task: &Task) -> &'static str {
    match task {
        Task::Answer => "answer",
        Task::Prefill => "prefill",
        Task::Decode { .. } => "decode",
        Task::Continue { .. } => "go-on",
        Task::Resume { .. } => "resume",
    }
}
