//! Plain calls: one answer, passed on when it is whole.

use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::sleep;
use boottime::timer::timeout_at;
use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use platform::caller::Task;
use platform::reply;
use relay::attempt::Attempt;
use relay::attempt::Next;
use relay::attempt::Outcome;
use relay::permit::Permit;
use relay::permit::Work;
use relay::plan::Mode;
use relay::replica::Stage;
use relay::server::Key;

use crate::body::Body;
use crate::job::Job;
use crate::limit;
use crate::own;
use crate::send;
use crate::shared::Shared;

/// Bytes of an answer at most; it is held in memory until it is whole.
const MAX_ANSWER: usize = 8 * 1024 * 1024;
/// Part of the objective that a request waits for a replica; one that is refused sooner may come
/// back in time.
const WAIT_PART: f64 = 0.2;
/// Times the objective after which a silent replica is left for another one, where the request may be
/// repeated. Nine in ten answers come within a third of the objective, and the slowest of a sound
/// replica within one and a half.
const SILENCE: f64 = 2.0;
/// Pause between two looks for a replica.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// Why a quarantined request is refused.
const QUARANTINED: &str = "replicas ended under this request";
/// What its caller is told: to send it elsewhere, or at once again, does not help.
const QUARANTINED_TEXT: &str = "replicas ended under this request; it has not run\n";
/// Why a request is rejected whose API key was taken away while it waited.
const DENIED: &str = "its API key was taken away";
/// What other callers are told.
const REFUSED_TEXT: &str = "no replica could take the request; it has not run\n";

/// A whole answer of a replica.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Serves `job`.
pub async fn serve(shared: &Rc<Shared>, mut job: Job) -> Response<Body> {
    let mut attempt = Attempt::new(job.route.mode, job.route.max_attempts);
    let mut tried = Vec::new();
    let mut failure = None;
    loop {
        let Some(key) = replica(shared, &job, None, &tried).await else {
            return without_replica(shared, &mut job, &attempt, failure);
        };
        let Some(permit) = job.permit(Work::Run) else {
            return without_replica(shared, &mut job, &attempt, failure);
        };
        tried.push(key);
        attempt.record_send();
        let may_leave = attempt.may_fail_over();
        let sent = send_to(shared, &job, key, permit, may_leave, &tried).await;
        if matches!(&sent, Sent::Answered(answer) if answer.status.is_success()) {
            shared.note_served(job.fingerprint);
        }
        let next = match sent {
            Sent::Overdue => {
                return finish(&mut job, "overdue", own::overdue, "no answer in time");
            }
            Sent::Left => attempt.next_step(Outcome::Lost, || true),
            Sent::Answered(answer) if is_failure(&job, &answer) => {
                let (cause, status) = ("its own failure", answer.status.as_u16());
                send::note(shared, &job, key, Outcome::Failed, cause, status);
                failure = Some(answer);
                after(shared, &job, &mut attempt, Outcome::Failed)
            }
            Sent::Answered(answer) => {
                send::note_success(shared, key);
                return relay(shared, &mut job, answer);
            }
            Sent::Failed(outcome) => after(shared, &job, &mut attempt, outcome),
        };
        match next {
            Next::Retry => {}
            Next::Relay | Next::Unknown | Next::Refuse => {
                return without_replica(shared, &mut job, &attempt, failure);
            }
        }
    }
}

fn after(shared: &Shared, job: &Job, attempt: &mut Attempt, outcome: Outcome) -> Next {
    attempt.next_step(outcome, || shared.ensure_permit(job, Work::Run))
}

/// How one send ended.
enum Sent {
    /// With a whole answer.
    Answered(Answer),
    /// Without one.
    Failed(Outcome),
    /// The replica was silent for too long and is left for another one; the retry is taken.
    Left,
    /// Time is up.
    Overdue,
}

/// Sends `job` to `key`; leaves it if it is silent, another replica than those `tried` can take the
/// request, and a retry is left. Without all of these, waiting is the best there is.
async fn send_to(
    shared: &Rc<Shared>,
    job: &Job,
    key: Key,
    permit: Permit,
    may_leave: bool,
    tried: &[Key],
) -> Sent {
    let mut exchange = std::pin::pin!(exchange(shared, job, key, permit));
    let silence = Instant::now() + job.route.objective.mul_f64(SILENCE);
    let first = if may_leave {
        silence.min(job.deadline)
    } else {
        job.deadline
    };
    let ended = async {
        match timeout_at(first, &mut exchange).await {
            Err(_) if leaves(shared, job, key, tried) => None,
            Err(_) => Some(timeout_at(job.deadline, exchange).await),
            ended => Some(ended),
        }
    };
    let ended = tokio::select! {
        biased;
        ended = ended => ended,
        () = shared.restarted(key) => {
            let cause = "the replica has started again";
            send::note(shared, job, key, Outcome::Lost, cause, 0);
            return Sent::Failed(Outcome::Lost);
        }
    };
    let Some(ended) = ended else {
        return Sent::Left;
    };
    match ended {
        Ok(Ok(answer)) => Sent::Answered(answer),
        Ok(Err(outcome)) => Sent::Failed(outcome),
        Err(_) => {
            send::note(shared, job, key, Outcome::Lost, "no answer in time", 0);
            Sent::Overdue
        }
    }
}

/// Whether to leave the silent replica `key` for another one that has no request limit; takes the retry that this needs.
fn leaves(shared: &Shared, job: &Job, key: Key, tried: &[Key]) -> bool {
    let leaves = Instant::now() < job.deadline
        && shared
            .choose(&job.service, None, tried)
            .is_some_and(|other| !shared.is_limited(other))
        && shared.ensure_permit(job, Work::Run);
    if leaves {
        shared.close_idle_links(key);
        let cause = "no answer for too long";
        send::note(shared, job, key, Outcome::Lost, cause, 0);
    }
    leaves
}

/// The replica to send to next; waits for one for a short part of the objective if nothing was
/// sent yet.
pub async fn replica(
    shared: &Rc<Shared>,
    job: &Job,
    stage: Option<Stage>,
    tried: &[Key],
) -> Option<Key> {
    let until = job.arrived + job.route.objective.mul_f64(WAIT_PART);
    loop {
        let choose = || shared.choose(&job.service, stage, tried);
        if let Some(key) = limit::choose_admitted(shared, choose).await {
            return Some(key);
        }
        // Waiting does not help if the throttled replicas stay throttled for longer.
        let throttled = shared.throttle_remaining(&job.service);
        let earliest = Instant::now() + throttled.unwrap_or_default();
        if !tried.is_empty() || earliest >= until {
            return None;
        }
        sleep(LOOK_AGAIN).await;
    }
}

/// Sends `job` to `key` and reads the whole answer.
async fn exchange(
    shared: &Rc<Shared>,
    job: &Job,
    key: Key,
    permit: Permit,
) -> Result<Answer, Outcome> {
    let begun = Instant::now();
    let reply = send::send(shared, job, key, Task::Answer, None, permit).await?;
    match send::whole(shared, reply, MAX_ANSWER).await {
        Ok((head, headers, body)) => {
            shared.record_work(key, begun.elapsed(), 1.0);
            Ok(Answer {
                status: head.status,
                headers,
                body,
            })
        }
        Err(outcome) => {
            send::note(shared, job, key, outcome, "its answer broke off", 0);
            Err(outcome)
        }
    }
}

/// Whether another replica may do better.
fn is_failure(job: &Job, answer: &Answer) -> bool {
    job.route.mode == Mode::Idempotent && answer.status.is_server_error()
}

fn relay(shared: &Shared, job: &mut Job, answer: Answer) -> Response<Body> {
    shared
        .metrics
        .latency(&job.route.name, job.age().as_secs_f64());
    job.end("answered", answer.status.as_u16(), "");
    passed_on(answer.status, &answer.headers, answer.body)
}

/// A replica's whole answer, for the caller.
pub fn passed_on(status: StatusCode, headers: &HeaderMap, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::whole(body));
    *response.status_mut() = status;
    *response.headers_mut() = reply::headers(headers);
    response
}

/// The answer when no replica is left to try.
fn without_replica(
    shared: &Shared,
    job: &mut Job,
    attempt: &Attempt,
    failure: Option<Answer>,
) -> Response<Body> {
    match failure {
        Some(answer) => {
            job.end(
                "failed",
                answer.status.as_u16(),
                "the replica's own failure",
            );
            passed_on(answer.status, &answer.headers, answer.body)
        }
        None if attempt.may_have_run() => {
            finish(job, "unknown", own::unknown, "the replica was lost")
        }
        None => {
            let throttle = shared.throttle_remaining(&job.service);
            let come_back = throttle.unwrap_or(own::COME_BACK);
            refuse(shared, job, come_back, "no replica took the request")
        }
    }
}

/// Refuses `job`, which has not run and may come back after `come_back`, or when it is quarantined no longer.
pub fn refuse(
    shared: &Shared,
    job: &mut Job,
    come_back: Duration,
    cause: &'static str,
) -> Response<Body> {
    match shared.quarantined_for(job.fingerprint) {
        Some(left) => refuse_quarantined(job, left),
        None if shared.is_revoked(job) => finish(job, "rejected", own::denied, DENIED),
        None => refuse_with(job, come_back, cause, REFUSED_TEXT),
    }
}

/// Refuses `job`, which has not run and will not for the time `left`: replicas ended under the same request.
pub fn refuse_quarantined(job: &mut Job, left: Duration) -> Response<Body> {
    refuse_with(job, left, QUARANTINED, QUARANTINED_TEXT)
}

/// Refuses `job`, which is beyond its customer's quota and has not run.
pub fn refuse_beyond_quota(job: &mut Job, come_back: Duration) -> Response<Body> {
    job.end("beyond-quota", 429, "beyond the customer's quota");
    own::refuse_beyond_quota(&job.call.id, come_back)
}

fn refuse_with(
    job: &mut Job,
    come_back: Duration,
    cause: &'static str,
    text: &'static str,
) -> Response<Body> {
    job.end("refused", 503, cause);
    own::refuse(&job.call.id, come_back, text)
}

/// Ends `job` with an answer of this daemon's own.
pub fn finish(
    job: &mut Job,
    outcome: &'static str,
    answer: fn(&str) -> Response<Body>,
    cause: &'static str,
) -> Response<Body> {
    let response = answer(&job.call.id);
    job.end(outcome, response.status().as_u16(), cause);
    response
}
