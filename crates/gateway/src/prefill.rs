//! Prefills prompts at prefill replicas.

use std::net::SocketAddr;
use std::rc::Rc;

use boottime::Instant;
use boottime::timer::timeout_at;
use http::StatusCode;
use platform::caller::Task;
use platform::engine::Prefill;
use relay::attempt::Outcome;
use relay::permit::Permit;
use relay::permit::Work;
use relay::score::Version;
use relay::server::Key;

use crate::control;
use crate::job::Job;
use crate::limit;
use crate::send;
use crate::send::Assignment;
use crate::shared::Shared;
use crate::shared::choice::Destination;

/// Fraction of the objective allowed for a remote prefill. The rest is enough for the decode
/// replica to prefill the prompt itself at half the speed.
const SOFT_LIMIT_FRACTION: f64 = 0.45;
/// Multiple of the objective after which a responsive replica is no longer waited for.
const HARD_LIMIT_FACTOR: f64 = 2.0;
/// Fraction of the objective that a replica always gets, regardless of the age of the request. A
/// prefill takes a quarter of the objective, and a resumed stream needs one long after its
/// objective.
const MIN_TIME_FRACTION: f64 = 0.3;
/// Replicas that a prompt is sent to at most.
const MAX_PREFILLS: usize = 2;
/// Replicas considered for a prompt at most, including those of known pace that would be late or
/// fail.
const MAX_CONSIDERED: usize = 3;
/// Largest answer to a prefill in bytes.
const MAX_PREFILL_ANSWER_BYTES: usize = 16 * 1024;

/// Prefills the prompt at a prefill replica, preferably an idle one in the data centre of the
/// decode replica `decode`: a KV cache is thousands of times as large as prompt and answer, and its
/// transfer between data centres takes twice as long and costs more. `None` if this fails, or if none has
/// the software version of the decode replica, which prefills the prompt then.
///
/// # Errors
/// A failed prefill counts as an arrival, so the next send is a retry: `Exhausted` without a permit
/// for it.
pub async fn prefill_remotely(
    shared: &Rc<Shared>,
    job: &Job,
    decode: Key,
) -> Result<Option<PrefilledPrompt>, Exhausted> {
    let near = shared.data_centre_of(decode);
    // The version that writes a KV cache is the only one that can read it.
    let Some(software) = shared.software_of(decode) else {
        return Ok(None);
    };
    let is_unchanged = || shared.software_of(decode).as_ref() == Some(&software);
    let to = Destination {
        software: Version::Exactly(&software),
        ..job.destination()
    };
    let mut tried = Vec::new();
    let mut sends = 0;
    let mut failed = false;
    // One number for all replicas, so that a prompt goes to the first one that is fast enough.
    let drawn = rand::random::<f64>();
    while sends < MAX_PREFILLS && tried.len() < MAX_CONSIDERED && is_unchanged() {
        let choose = || shared.choose_prefill(to, &tried, near, job.prompt_tokens());
        let chosen = limit::choose_admitted(shared, choose).await;
        let Some(key) = chosen else { break };
        // With too few prefill replicas, the decode replicas take a share of the prompts, so that
        // the rest is prefilled in time.
        let objective = job.route.objective;
        tried.push(key);
        let is_left = drawn < shared.decode_prefill_share(key, job.prompt_tokens(), objective)
            && shared.may_prefill(decode, &job.service, job.route.pause);
        match Step::new(is_left, shared.knows_pace(key)) {
            Step::Send => {}
            Step::Next => continue,
            Step::Decode => break,
        }
        // The first prefill is not a retry; that of a resumed stream is one.
        let Some(permit) = shared.take_permit(job, Work::Read) else {
            break;
        };
        sends += 1;
        match timeout_at(
            job.deadline,
            prefill_with_extension(shared, job, key, &software, permit),
        )
        .await
        {
            Ok(Ok(prefilled)) if is_unchanged() => return Ok(Some(prefilled)),
            Ok(Ok(_)) => {
                log::info!(kind = "read", request = job.call.id; "the decode replica has changed its software version since the prefill began");
            }
            Ok(Err(Outcome::NotSent)) => continue,
            // The send that follows is withheld too, and determines the response.
            Ok(Err(Outcome::Quarantined | Outcome::Denied)) => break,
            Ok(Err(_)) => {}
            Err(_) => {
                let cause = "the prefill did not finish in time";
                send::record_failure(shared, job, key, Outcome::Lost, cause, 0);
            }
        }
        if !shared.ensure_permit(job, Work::Read) {
            return Err(Exhausted);
        }
        failed = true;
    }
    if failed {
        // This permit pays for the failed prefill and must not be used for another send.
        let _spent = job.take_permit(Work::Read);
    }
    Ok(None)
}

/// What is done with a prompt once a prefill replica has been considered for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// This replica prefills it.
    Send,
    /// The next one is considered.
    Next,
    /// The decode replica prefills it.
    Decode,
}

impl Step {
    /// The step after a replica whose share of prompts this one `is_left` out of, since the replica
    /// is late or fails, and whose pace is known or not. Others may be better only where paces tell
    /// them apart.
    pub const fn new(is_left: bool, knows_pace: bool) -> Self {
        match (is_left, knows_pace) {
            (false, _) => Self::Send,
            (true, true) => Self::Next,
            (true, false) => Self::Decode,
        }
    }
}

/// The retry budget has no permit for another send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exhausted;

/// A prefilled prompt.
#[derive(Debug)]
pub struct PrefilledPrompt {
    address: SocketAddr,
    handle: String,
    /// The version that wrote its KV cache, and the only one that can read it.
    pub software: String,
}

/// The task for a decode replica that fetches the KV cache of `prefilled`, or that prefills the prompt
/// itself if there is none.
pub fn decode_task(prefilled: Option<&PrefilledPrompt>, last_event: Option<u64>) -> Task {
    match (prefilled, last_event) {
        (None, None) => Task::Answer,
        (None, Some(last_event)) => Task::Resume { last_event },
        (Some(prompt), None) => Task::Decode {
            address: prompt.address,
            handle: prompt.handle.clone(),
        },
        (Some(prompt), Some(last_event)) => Task::Continue {
            address: prompt.address,
            handle: prompt.handle.clone(),
            last_event,
        },
    }
}

/// Prefills the prompt at `key`, of the version `software`. After the soft limit, a replica that is
/// still responsive gets until the hard limit, because abandoning a prefill wastes it.
async fn prefill_with_extension(
    shared: &Rc<Shared>,
    job: &Job,
    key: Key,
    software: &str,
    permit: Permit,
) -> Result<PrefilledPrompt, Outcome> {
    let objective = job.route.objective;
    let guaranteed_until = Instant::now() + objective.mul_f64(MIN_TIME_FRACTION);
    let soft_limit = (job.arrived + objective.mul_f64(SOFT_LIMIT_FRACTION)).max(guaranteed_until);
    let hard_limit =
        (job.arrived + objective.mul_f64(HARD_LIMIT_FACTOR)).max(guaranteed_until + objective);
    let mut prefill = std::pin::pin!(prefill_at(shared, job, key, software, permit));
    if let Ok(prefilled) = timeout_at(soft_limit, &mut prefill).await {
        return prefilled;
    }
    if !control::is_responsive(shared, key).await {
        shared.note_unresponsive(key);
        let cause = "the prefill is not finished, and the replica does not answer";
        send::record_failure(shared, job, key, Outcome::Lost, cause, 0);
        return Err(Outcome::Lost);
    }
    if let Ok(prefilled) = timeout_at(hard_limit, prefill).await {
        return prefilled;
    }
    let cause = "the prefill did not finish in time";
    send::record_failure(shared, job, key, Outcome::Lost, cause, 0);
    Err(Outcome::Lost)
}

async fn prefill_at(
    shared: &Rc<Shared>,
    job: &Job,
    key: Key,
    software: &str,
    permit: Permit,
) -> Result<PrefilledPrompt, Outcome> {
    let address = shared
        .pool
        .borrow()
        .get(key)
        .map(|server| server.replica.address)
        .ok_or(Outcome::NotSent)?;
    let (begun, begun_at) = (Instant::now(), shared.clock.now());
    let queued_before = shared.pool.borrow().queued_tokens(key);
    let assignment = Assignment {
        task: Task::Prefill,
        versions: Version::Exactly(software),
        reservation: None,
    };
    let reply = send::send(shared, job, key, assignment, permit).await?;
    let exchanges_before = reply.connection.exchanges_before();
    let answer = send::read_whole(shared, reply, MAX_PREFILL_ANSWER_BYTES).await;
    let body = match answer {
        Ok(whole) if whole.head.status == StatusCode::OK => whole.body,
        Ok(whole) => {
            send::record_failure(
                shared,
                job,
                key,
                Outcome::Failed,
                "prefill",
                whole.head.status.as_u16(),
            );
            return Err(Outcome::Failed);
        }
        Err(error) => {
            let outcome = Outcome::Lost;
            send::record_failure(shared, job, key, outcome, &error.to_string(), 0);
            return Err(outcome);
        }
    };
    match Prefill::read(&body) {
        Ok(prefill) => {
            send::record_success(shared, key);
            shared.update_birth(key, prefill.birth);
            let prompt = job.prompt_tokens();
            shared.record_prefill(key, begun.elapsed(), queued_before + prompt);
            shared.record_work(key, begun.elapsed(), prompt as f64);
            shared.measure_prefill(key, begun_at, queued_before, prompt);
            log::info!(kind = "read", request = job.call.id, ms = job.age().as_millis() as u64, cache = prefill.handle, exchanges_before = exchanges_before; "the prompt is prefilled");
            if shared.software_of(key).as_deref() != Some(software) {
                log::info!(kind = "read", request = job.call.id, software = software; "the prefill replica may have changed its software version");
                return Err(Outcome::Lost);
            }
            Ok(PrefilledPrompt {
                address,
                handle: prefill.handle,
                software: software.to_owned(),
            })
        }
        Err(error) => {
            send::record_failure(shared, job, key, Outcome::Lost, &error.to_string(), 200);
            Err(Outcome::Lost)
        }
    }
}
