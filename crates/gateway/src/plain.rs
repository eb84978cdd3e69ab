//! Serves plain calls: the complete answer of a replica is forwarded in one piece.

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
use crate::ending;
use crate::handoff;
use crate::job::Job;
use crate::limit;
use crate::memory::Charge;
use crate::responses;
use crate::send;
use crate::send::Assignment;
use crate::shared::Shared;

/// Fraction of the objective that a request waits for a replica. A request refused this early can
/// still be retried within the objective.
const MAX_WAIT_FRACTION: f64 = 0.2;
/// Multiple of the objective after which a repeatable request abandons a silent replica for another
/// one. 90% of answers take at most a third of the objective; the slowest answers of a healthy
/// replica take 1.5 times the objective.
pub const SILENCE_FACTOR: f64 = 2.0;
/// Fraction of the objective within which the answer of a call has to be expected if it waits for a
/// slot; the times of calls vary by about half of their mean.
const IN_TIME_FRACTION: f64 = 0.6;
/// Mean `Retry-After` of calls that would be late; a crowd lasts for some seconds.
const CROWDED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Logged cause of their refusal.
const CROWDED_CAUSE: &str = "the best replicas would answer too late";
/// Interval at which a waiting request looks for a replica.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The complete answer of a replica.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    /// Memory of the body.
    charge: Charge,
    /// Whether it is known that it ended before the process of the replica did.
    is_end_proven: bool,
}

impl Answer {
    /// Whether the replica served the request, and did not crash on it.
    fn is_proven_success(&self) -> bool {
        self.status.is_success() && self.is_end_proven
    }
}

/// Serves `job` with one replica after another until one answers or no retry is allowed.
pub async fn serve(shared: &Rc<Shared>, job: Job) -> Response<Body> {
    let mut job = job;
    let mut attempt = Attempt::new(job.route.mode, job.route.max_attempts);
    let mut tried = Vec::new();
    let mut failure = None;
    loop {
        let Some(key) = choose_replica(shared, &job, None, &tried).await else {
            return end_without_replica(shared, job, &attempt, failure).await;
        };
        let Some(key) = timely_replica(shared, &job, key, &tried) else {
            let retry_after = CROWDED_RETRY_AFTER.mul_f64(rand::random_range(0.75..1.25));
            return ending::refuse(shared, &mut job, retry_after, CROWDED_CAUSE);
        };
        let Some(permit) = job.take_permit(Work::Run) else {
            return end_without_replica(shared, job, &attempt, failure).await;
        };
        tried.push(key);
        attempt.record_send();
        let may_abandon = attempt.may_fail_over();
        let sent = send_to(shared, &job, key, permit, may_abandon, &tried).await;
        if matches!(&sent, SendResult::Answered(answer) if answer.is_proven_success()) {
            shared.note_served(&job.content);
        }
        let next = match sent {
            SendResult::TimedOut => {
                return ending::finish(
                    &mut job,
                    "overdue",
                    responses::overdue,
                    "no answer in time",
                );
            }
            SendResult::Abandoned => attempt.next_step(Outcome::Lost, || true),
            SendResult::Answered(answer) if is_retryable_failure(&job, &answer) => {
                let (cause, status) =
                    ("the replica answered with an error", answer.status.as_u16());
                send::record_failure(shared, &job, key, Outcome::Failed, cause, status);
                failure = Some(answer);
                next_after(shared, &job, &mut attempt, Outcome::Failed)
            }
            SendResult::Answered(answer) => {
                send::record_success(shared, key);
                return forward(shared, &mut job, answer);
            }
            SendResult::Failed(outcome) => next_after(shared, &job, &mut attempt, outcome),
        };
        match next {
            Next::Retry if !shared.is_unreachable(&job.service) => {}
            Next::Retry | Next::Relay | Next::Unknown | Next::Refuse => {
                return end_without_replica(shared, job, &attempt, failure).await;
            }
        }
    }
}

/// The replica for the first send of a call: `key`, the best one, or the next best if the call would
/// have to wait for a slot of `key` until its answer is late. `None` if it would at both: in a queue of
/// such calls every answer is late. Always `key` where customers have no quotas and replicas do not
/// report how fast they work, and for later sends.
fn timely_replica(shared: &Shared, job: &Job, key: Key, tried: &[Key]) -> Option<Key> {
    let has_quota = job
        .customer()
        .is_some_and(|customer| customer.limit.is_some());
    let is_bounded = has_quota || shared.pool.borrow().reports_speed(key);
    if !is_bounded || !tried.is_empty() {
        return Some(key);
    }
    let Some(expected) = late_answer_time(shared, job, key) else {
        return Some(key);
    };
    let other = shared.choose(job.destination(), None, &[key]);
    let other = other.filter(|other| !shared.is_limited(*other));
    if let Some(other) = other.filter(|other| late_answer_time(shared, job, *other).is_none()) {
        return Some(other);
    }
    shared.metrics.load.shed(&job.service);
    log::info!(kind = "shed", request = job.call.id, service = job.service, expected_ms = expected.as_millis() as u64, age_ms = job.age().as_millis() as u64; "the best replicas would answer too late");
    None
}

/// Expected time to the answer of `key`, if the call has to wait for a slot and is expected to be late.
/// One that returned late in any case is judged as if it had just come.
fn late_answer_time(shared: &Shared, job: &Job, key: Key) -> Option<Duration> {
    let now = shared.clock.now();
    let expected = shared.pool.borrow().queued_call_time(now, key)?;
    let age = if job.standing().returned {
        Duration::ZERO
    } else {
        job.age()
    };
    let allowed = job.route.objective.mul_f64(IN_TIME_FRACTION);
    (age + expected > allowed).then_some(expected)
}

fn next_after(shared: &Shared, job: &Job, attempt: &mut Attempt, outcome: Outcome) -> Next {
    attempt.next_step(outcome, || shared.ensure_permit(job, Work::Run))
}

/// Result of one send.
enum SendResult {
    /// The replica sent a complete answer.
    Answered(Answer),
    /// The replica sent no usable answer.
    Failed(Outcome),
    /// The replica was silent for too long and the request goes to another one; the retry permit is
    /// already taken.
    Abandoned,
    /// The deadline of the request passed.
    TimedOut,
}

/// Sends `job` to `key`. Abandons a silent replica if `may_abandon`, a replica outside `tried` can
/// take the request, and a retry is left. Otherwise it keeps waiting.
async fn send_to(
    shared: &Rc<Shared>,
    job: &Job,
    key: Key,
    permit: Permit,
    may_abandon: bool,
    tried: &[Key],
) -> SendResult {
    let mut exchange = std::pin::pin!(exchange(shared, job, key, permit));
    let silence = Instant::now() + job.route.objective.mul_f64(SILENCE_FACTOR);
    let first_limit = if may_abandon {
        silence.min(job.deadline)
    } else {
        job.deadline
    };
    let result = async {
        match timeout_at(first_limit, &mut exchange).await {
            Err(_) if try_abandon(shared, job, key, tried) => None,
            Err(_) => Some(timeout_at(job.deadline, exchange).await),
            result => Some(result),
        }
    };
    let result = tokio::select! {
        biased;
        result = result => result,
        () = shared.restarted(key) => {
            let cause = "the replica restarted";
            send::record_failure(shared, job, key, Outcome::Lost, cause, 0);
            return SendResult::Failed(Outcome::Lost);
        }
    };
    let Some(result) = result else {
        return SendResult::Abandoned;
    };
    match result {
        Ok(Ok(answer)) => SendResult::Answered(answer),
        Ok(Err(outcome)) => SendResult::Failed(outcome),
        Err(_) => {
            send::record_failure(shared, job, key, Outcome::Lost, "no answer in time", 0);
            SendResult::TimedOut
        }
    }
}

/// Decides whether to abandon the silent replica `key` for another one without a request limit, and
/// takes the retry permit for it.
fn try_abandon(shared: &Shared, job: &Job, key: Key, tried: &[Key]) -> bool {
    // An answer that waits for memory of this process is no silence of its replica.
    let abandons = Instant::now() < job.deadline
        && !shared.memory.answers.is_awaited()
        && shared
            .choose(job.destination(), None, tried)
            .is_some_and(|other| !shared.is_limited(other))
        && shared.ensure_permit(job, Work::Run);
    if abandons {
        shared.close_idle_links(key);
        shared.doubt_reach(key);
        let cause = "the replica was silent for too long";
        send::record_failure(shared, job, key, Outcome::Lost, cause, 0);
    }
    abandons
}

/// Chooses the next replica. Before the first send, waits for one for a fraction of the objective.
pub async fn choose_replica(
    shared: &Rc<Shared>,
    job: &Job,
    stage: Option<Stage>,
    tried: &[Key],
) -> Option<Key> {
    let until = job.arrived + job.route.objective.mul_f64(MAX_WAIT_FRACTION);
    loop {
        let choose = || shared.choose(job.destination(), stage, tried);
        if let Some(key) = limit::choose_admitted(shared, choose).await {
            return Some(key);
        }
        // Waiting is useless if all replicas stay excluded beyond the limit.
        let excluded = shared.exclusion_remaining(job.destination(), stage);
        let earliest = Instant::now() + excluded.unwrap_or_default();
        if !tried.is_empty() || earliest >= shared.latest_wait(until) {
            return None;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Sends `job` to `key` and reads the complete answer.
async fn exchange(
    shared: &Rc<Shared>,
    job: &Job,
    key: Key,
    permit: Permit,
) -> Result<Answer, Outcome> {
    let begun = Instant::now();
    let load = shared.pool.borrow().load(shared.clock.now(), key);
    let assignment = Assignment {
        task: Task::Answer,
        versions: job.destination().software,
        reservation: None,
    };
    let reply = send::send(shared, job, key, assignment, permit).await?;
    match send::read_whole(shared, reply, ending::MAX_ANSWER_BYTES).await {
        Ok(whole) => {
            shared.record_work(key, begun.elapsed(), 1.0);
            if whole.head.status.is_success() {
                let now = shared.clock.now();
                let mut pool = shared.pool.borrow_mut();
                pool.record_call(now, key, begun.elapsed(), load);
            }
            Ok(Answer {
                status: whole.head.status,
                headers: whole.headers,
                body: whole.body,
                charge: whole.charge,
                is_end_proven: whole.is_end_proven,
            })
        }
        Err(error) => {
            let outcome = Outcome::Lost;
            send::record_failure(shared, job, key, outcome, &error.to_string(), 0);
            Err(outcome)
        }
    }
}

/// Whether another replica may answer better.
fn is_retryable_failure(job: &Job, answer: &Answer) -> bool {
    job.route.mode == Mode::Idempotent && answer.status.is_server_error()
}

fn forward(shared: &Shared, job: &mut Job, answer: Answer) -> Response<Body> {
    shared
        .metrics
        .latency(&job.route.name, job.age().as_secs_f64());
    job.end("answered", answer.status.as_u16(), "");
    forwarded(answer.status, &answer.headers, answer.body, answer.charge)
}

/// The response that forwards a replica's complete answer.
pub fn forwarded(
    status: StatusCode,
    headers: &HeaderMap,
    body: Bytes,
    charge: Charge,
) -> Response<Body> {
    let mut response = Response::new(Body::whole(body).with_charge(charge));
    *response.status_mut() = status;
    *response.headers_mut() = reply::caller_headers(headers);
    response
}

/// Ends `job`, for which no replica is left to try: a peer serves it if connections could not be
/// opened, and it may run.
async fn end_without_replica(
    shared: &Rc<Shared>,
    job: Job,
    attempt: &Attempt,
    failure: Option<Answer>,
) -> Response<Body> {
    let mut job = job;
    if failure.is_none() && handoff::may_follow(shared, &job, attempt) {
        match handoff::serve(shared, job, attempt).await {
            Ok(response) => return response,
            Err(untaken) => job = *untaken.job,
        }
    }
    respond_without_replica(shared, &mut job, attempt, failure)
}

/// The response when no replica is left to try.
fn respond_without_replica(
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
                "the replica answered with an error",
            );
            forwarded(answer.status, &answer.headers, answer.body, answer.charge)
        }
        None if attempt.may_have_run() => {
            ending::finish(job, "unknown", responses::unknown, "the replica was lost")
        }
        None => {
            let excluded = shared.exclusion_remaining(job.destination(), None);
            let retry_after = excluded.unwrap_or(responses::DEFAULT_RETRY_AFTER);
            ending::refuse(shared, job, retry_after, "no replica accepted the request")
        }
    }
}
