//! Ends requests with responses of this daemon.

use std::time::Duration;

use http::Response;
use relay::fingerprint::Part;
use relay::quarantine::Withheld;

use crate::body::Body;
use crate::job::Job;
use crate::responses;
use crate::shared::Shared;

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
    match shared.withheld(&job.content) {
        Some(withheld) => refuse_withheld(shared, job, &withheld),
        None if shared.is_revoked(job) => finish(job, "rejected", responses::denied, DENIED_CAUSE),
        None => refuse_with(job, retry_after, cause, REFUSED_TEXT),
    }
}

/// Refuses `job`, which is `withheld` and has not run; sending it elsewhere or again at once does not
/// help.
pub fn refuse_withheld(shared: &Shared, job: &mut Job, withheld: &Withheld) -> Response<Body> {
    let (kind, cause, log) = match &withheld.part {
        Some(Part { id, fingerprint }) => {
            let cause = format!("replicas ended under the part {id} of this prompt");
            let log = format!("{cause}, content {fingerprint}");
            ("part", cause, log)
        }
        None => {
            let cause = "replicas ended under this request".to_owned();
            ("request", cause.clone(), cause)
        }
    };
    shared.metrics.withheld(kind);
    job.retry_after = Some(withheld.remaining);
    job.end("refused", 503, &log);
    let text = format!("{cause}; it has not run\n");
    responses::refuse(&job.call.id, withheld.remaining, text)
}

/// Refuses `job`, which exceeds its customer's quota and has not run.
pub fn refuse_beyond_quota(job: &mut Job, retry_after: Duration) -> Response<Body> {
    job.retry_after = Some(retry_after);
    job.end("beyond-quota", 429, "beyond the customer's quota");
    responses::refuse_beyond_quota(&job.call.id, retry_after)
}

fn refuse_with(
    job: &mut Job,
    retry_after: Duration,
    cause: &'static str,
    text: &'static str,
) -> Response<Body> {
    job.retry_after = Some(retry_after);
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
