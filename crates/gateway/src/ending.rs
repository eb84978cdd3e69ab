//! Ends requests with responses of this daemon.

use std::time::Duration;

use http::Response;

use crate::body::Body;
use crate::job::Job;
use crate::responses;
use crate::shared::Shared;

/// Logged cause when a quarantined request is refused.
const QUARANTINED_CAUSE: &str = "replicas ended under this request";
/// Response to a quarantined request; sending it elsewhere or again at once does not help.
const QUARANTINED_TEXT: &str = "replicas ended under this request; it has not run\n";
/// Logged cause when the API key of a request is revoked while the request waits.
const DENIED_CAUSE: &str = "its API key was revoked";
/// Response to other refused requests.
const REFUSED_TEXT: &str = "no replica could take the request; it has not run\n";
/// Largest answer in bytes; it is buffered until it is complete.
pub const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Refuses `job`, which has not run. The caller may retry after `retry_after`, or after the end of
/// its quarantine.
pub fn refuse(
    shared: &Shared,
    job: &mut Job,
    retry_after: Duration,
    cause: &'static str,
) -> Response<Body> {
    match shared.quarantined_for(job.fingerprint) {
        Some(remaining) => refuse_quarantined(job, remaining),
        None if shared.is_revoked(job) => finish(job, "rejected", responses::denied, DENIED_CAUSE),
        None => refuse_with(job, retry_after, cause, REFUSED_TEXT),
    }
}

/// Refuses `job`, whose content is quarantined for another `remaining`; it has not run.
pub fn refuse_quarantined(job: &mut Job, remaining: Duration) -> Response<Body> {
    refuse_with(job, remaining, QUARANTINED_CAUSE, QUARANTINED_TEXT)
}

/// Refuses `job`, which exceeds its customer's quota and has not run.
pub fn refuse_beyond_quota(job: &mut Job, retry_after: Duration) -> Response<Body> {
    job.end("beyond-quota", 429, "beyond the customer's quota");
    responses::refuse_beyond_quota(&job.call.id, retry_after)
}

fn refuse_with(
    job: &mut Job,
    retry_after: Duration,
    cause: &'static str,
    text: &'static str,
) -> Response<Body> {
    job.end("refused", 503, cause);
    responses::refuse(&job.call.id, retry_after, text)
}

/// Ends `job` with a response of this daemon.
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
