//! Serves requests of callers: checks them, applies limits and finds their route.

use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::Elapsed;
use boottime::timer::timeout;
use boottime::timer::timeout_at;
use bytes::Bytes;
use bytes::BytesMut;
use customer::digest::Digest;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Body as _;
use platform::caller;
use platform::caller::Call;
use relay::attempt::Attempt;
use relay::fingerprint::Fingerprint;
use relay::plan::Denied;
use relay::plan::Limits;

use crate::begins;
use crate::body::Body;
use crate::bounds::READ_GRACE;
use crate::connections;
use crate::ending;
use crate::guard::OpenRequest;
use crate::handoff;
use crate::job;
use crate::job::Job;
use crate::job::Timing;
use crate::memory::ALLOWANCE;
use crate::memory::Charge;
use crate::plain;
use crate::quota;
use crate::responses;
use crate::shared::Shared;
use crate::stream;
use crate::target;
use crate::target::Owner;

/// `Retry-After` while this daemon has no plan yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` while this daemon is stopping; another daemon serves the retry.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// `Retry-After` of a resumption if the version that began the stream is unknown; by then, lost
/// members are known and others are asked.
const UNKNOWN_BEGIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Mean `Retry-After` of a request for which no memory is left; other requests end by then.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time for which the body of a refused request is read and dropped. A connection that is closed before
/// that is reset, and its caller may not get the refusal.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves one request.
pub async fn serve(
    shared: Rc<Shared>,
    request: Request<connections::body::Body>,
) -> Response<Body> {
    let arrived = Instant::now();
    let open = OpenRequest::new(&shared);
    let (parts, body) = request.into_parts();
    let mut response = match admit(&shared, &open, parts, body, arrived).await {
        Ok(job) => Box::pin(dispatch(&shared, job)).await,
        Err(response) => response,
    };
    if shared.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response.map(|body| body.with_open_request(open))
}

/// Serves `job`. A request with a quarantined content is refused without running.
///
/// The quota of a request that was handed over is charged by the instance that handed it over.
pub async fn dispatch(shared: &Rc<Shared>, mut job: Job) -> Response<Body> {
    if let Some(withheld) = shared.withheld(&job.content) {
        return ending::refuse_withheld(shared, &mut job, &withheld);
    }
    if let Some(response) = bind_resumption(shared, &mut job).await {
        return response;
    }
    if job.origin.is_none()
        && let Some(response) = quota::admit(shared, &mut job).await
    {
        return response;
    }
    if handoff::applies(shared, &job) {
        let attempt = Attempt::new(job.route.mode, job.route.max_attempts);
        let untaken = match handoff::serve(shared, job, &attempt).await {
            Ok(response) => return response,
            Err(untaken) => untaken,
        };
        job = *untaken.job;
        if untaken.is_hopeless {
            return handoff::refuse(shared, &mut job);
        }
    }
    Box::pin(serve_locally(shared, job)).await
}

/// Binds a stream that a caller resumes to the software version that began it. Returns the refusal if
/// that version is unknown or has no replicas: nothing else may continue the stream.
async fn bind_resumption(shared: &Rc<Shared>, job: &mut Job) -> Option<Response<Body>> {
    let is_resumption = job.route.mode.streams() && job.call.is_resumption();
    if !is_resumption || job.software().is_some() {
        return None;
    }
    if !begins::bind(shared, job).await {
        let cause = "the software version that began the stream is unknown";
        return Some(ending::refuse(
            shared,
            job,
            UNKNOWN_BEGIN_RETRY_AFTER,
            cause,
        ));
    }
    let software = job.software()?;
    if shared.pool.borrow().serves_version(&job.service, software) {
        return None;
    }
    let retry_after = shared.retry_after(&job.service);
    let cause = "no replica has the software version that began the stream";
    Some(ending::refuse(shared, job, retry_after, cause))
}

/// Serves `job` by the replicas.
async fn serve_locally(shared: &Rc<Shared>, job: Job) -> Response<Body> {
    if job.route.mode.streams() {
        stream::serve(shared, job).await
    } else {
        plain::serve(shared, job).await
    }
}

/// How the reading of a body ended.
enum End {
    /// It is complete.
    Complete,
    /// It is longer than the plan allows.
    TooLong,
    /// No memory is left for it.
    NoMemory,
}

/// Reads the whole request and finds its route.
///
/// # Errors
/// The response to a request that is not served.
async fn admit(
    shared: &Rc<Shared>,
    open: &OpenRequest,
    mut parts: Parts,
    body: connections::body::Body,
    arrived: Instant,
) -> Result<Job, Response<Body>> {
    let call = Call::read(&parts.headers).map_err(|error| {
        reject(
            shared,
            "",
            StatusCode::BAD_REQUEST,
            &error.to_string(),
            "a header is missing or malformed\n",
        )
    })?;
    if !open.admit() {
        return Err(refuse_without_memory(shared, &call.id, body));
    }
    let (body, charge) = read_body(shared, &call.id, body).await?;
    let host = host(&parts).unwrap_or_default();
    let key = caller::key_digest(&parts.headers);
    let target = target::find(shared, &host, parts.uri.path(), key)
        .map_err(|error| error_response(shared, &call.id, key, &error))?;
    if target.owner != Owner::Anyone {
        caller::remove_key(&mut parts.headers);
    }
    shared.count_request(&target.service);
    let path = job::path_and_query(&parts.uri);
    let fingerprint = Fingerprint::new(parts.method.as_str(), &host, path, &body);
    if call.is_resumption() {
        let resumes = call.resumes.as_deref().unwrap_or_default();
        log::info!(kind = "resumption", request = call.id, resumes = resumes, last_event = call.last_event; "a caller resumes a stream");
    }
    let timing = Timing::of_caller(shared, &call, &target, arrived);
    let job = Job::new(shared, call, target, fingerprint, parts, body, timing);
    Ok(job.with_body_charge(charge))
}

/// The response to request `id`, which came with `key` and has no target.
fn error_response(
    shared: &Shared,
    id: &str,
    key: Option<Digest>,
    error: &target::Error,
) -> Response<Body> {
    match error {
        target::Error::NoPlan => refuse(shared, id, STARTING_RETRY_AFTER, "no plan is known yet"),
        target::Error::NoRoute { location, plan } => {
            let cause = format!("no route for {location} in plan {plan}");
            reject(shared, id, StatusCode::NOT_FOUND, &cause, "no route\n")
        }
        target::Error::Denied { denied, plan } => {
            let cause = match (denied, key) {
                (Denied::UnknownKey, Some(key)) => {
                    format!("no customer holds the key {} in plan {plan}", key.prefix())
                }
                _ => format!("the request has no API key, or several, in plan {plan}"),
            };
            reject(
                shared,
                id,
                StatusCode::UNAUTHORIZED,
                &cause,
                caller::KEY_HELP,
            )
        }
        target::Error::Stopping => {
            refuse(shared, id, STOPPING_RETRY_AFTER, "this daemon is stopping")
        }
        target::Error::NoService => {
            refuse(shared, id, STARTING_RETRY_AFTER, "the route has no service")
        }
    }
}

/// Reads the body of the request `id`, and charges its memory.
async fn read_body(
    shared: &Shared,
    id: &str,
    body: connections::body::Body,
) -> Result<(Bytes, Charge), Response<Body>> {
    let budget = &shared.memory.requests;
    let max_bytes = limits(shared).body_bytes.min(budget.limit_for_bodies());
    let announced = body.size_hint().lower();
    if announced > max_bytes as u64 {
        return Err(reject_too_long(shared, id));
    }
    let charge = Charge::new(budget);
    // Charged as it arrives: a caller may announce much and send nothing.
    if announced as usize > ALLOWANCE + budget.left_for_bodies() {
        return Err(refuse_without_memory(shared, id, body));
    }
    let mut body = body;
    let mut read = BytesMut::new();
    let whole = async {
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            let length = read.len() + data.len();
            if length > max_bytes {
                return Ok(End::TooLong);
            }
            if !charge.try_grow_to_body(length) {
                return Ok(End::NoMemory);
            }
            if length > ALLOWANCE {
                read.reserve((announced as usize).saturating_sub(read.len()));
            }
            // A copy: parts of the connection's read buffer would keep all of it.
            read.extend_from_slice(&data);
        }
        Ok::<_, hyper::Error>(End::Complete)
    };
    match within_idle_limit(shared, Box::pin(whole)).await {
        Ok(Ok(End::Complete)) => Ok((read.freeze(), charge)),
        Ok(Ok(End::TooLong)) => Err(reject_too_long(shared, id)),
        Ok(Ok(End::NoMemory)) => {
            drop((read, charge));
            Err(refuse_without_memory(shared, id, body))
        }
        Ok(Err(error)) => Err(reject(
            shared,
            id,
            StatusCode::BAD_REQUEST,
            &error.to_string(),
            "the body cannot be read\n",
        )),
        Err(_) => Err(reject(
            shared,
            id,
            StatusCode::REQUEST_TIMEOUT,
            "the body did not arrive in time",
            "the body did not arrive in time\n",
        )),
    }
}

fn reject_too_long(shared: &Shared, id: &str) -> Response<Body> {
    reject(
        shared,
        id,
        StatusCode::PAYLOAD_TOO_LARGE,
        "the body is too long",
        "the body is too long\n",
    )
}

/// Refuses the request `id`, for which no memory is left, and drops the rest of its body.
fn refuse_without_memory(
    shared: &Shared,
    id: &str,
    body: connections::body::Body,
) -> Response<Body> {
    shared.metrics.memory.bounded("requests");
    let budget = &shared.memory.requests;
    let announced = body.size_hint().exact();
    let cause = format!(
        "no memory is left for requests: {} of {} bytes are held, body of {announced:?}",
        budget.held(),
        budget.limit(),
    );
    tokio::task::spawn_local(timeout(
        DRAIN_TIMEOUT,
        drain(body, limits(shared).body_bytes),
    ));
    let retry_after = NO_MEMORY_RETRY_AFTER.mul_f64(rand::random_range(0.75..1.25));
    refuse(shared, id, retry_after, &cause)
}

/// Reads and drops a body of at most `max_bytes`.
async fn drain(body: connections::body::Body, max_bytes: usize) {
    let mut body = Limited::new(body, max_bytes);
    while let Some(Ok(_)) = body.frame().await {}
}

/// Waits for `future` for the largest idle limit that is in force meanwhile. What arrived before its end
/// counts, also if the process stood still.
async fn within_idle_limit<F: Future + Unpin>(
    shared: &Shared,
    mut future: F,
) -> Result<F::Output, Elapsed> {
    let begun = Instant::now();
    let mut limit = Duration::ZERO;
    loop {
        let in_force = limits(shared).idle_timeout;
        if in_force <= limit {
            return timeout(READ_GRACE, &mut future).await;
        }
        limit = in_force;
        if let Ok(output) = timeout_at(begun + limit, &mut future).await {
            return Ok(output);
        }
    }
}

fn limits(shared: &Shared) -> Limits {
    let plan = shared.plan();
    plan.map_or_else(Limits::default, |plan| plan.limits)
}

fn host(parts: &Parts) -> Option<String> {
    let named = parts.headers.get(header::HOST);
    let named = named.and_then(|host| host.to_str().ok());
    let named = named.or_else(|| parts.uri.authority().map(http::uri::Authority::as_str));
    named.map(str::to_owned)
}

/// Rejects an invalid request.
fn reject(
    shared: &Shared,
    id: &str,
    status: StatusCode,
    cause: &str,
    text: &'static str,
) -> Response<Body> {
    shared.metrics.request("rejected");
    if let Some(omitted) = shared.may_log_rejection() {
        log::info!(kind = "end", request = id, outcome = "rejected", omitted = omitted, status = status.as_u16(), cause = cause; "request rejected");
    }
    responses::answer(status, id, text)
}

/// Refuses a request that this daemon cannot serve now.
fn refuse(shared: &Shared, id: &str, retry_after: Duration, cause: &str) -> Response<Body> {
    shared.metrics.request("refused");
    if let Some(omitted) = shared.may_log_rejection() {
        log::info!(kind = "end", request = id, outcome = "refused", status = 503, omitted = omitted, cause = cause; "request refused");
    }
    responses::refuse(id, retry_after, "not now; the request has not run\n")
}
