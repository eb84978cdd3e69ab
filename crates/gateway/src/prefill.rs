//! Reading a prompt at a prefill replica.

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
use relay::replica::Stage;
use relay::server::Key;

use crate::ask;
use crate::job::Job;
use crate::limit;
use crate::send;
use crate::shared::Shared;

/// Part of the objective for reading the prompt elsewhere; what is left is enough for the decode
/// replica to read it itself, at half the speed.
const PREFILL_PART: f64 = 0.45;
/// Times the objective that a replica which is at work is waited for.
const PREFILL_MOST: f64 = 2.0;
/// Part of the objective that a replica has at least, however long ago the request came: a read takes a
/// quarter of it, and the prompt of a stream that is resumed is read long after the objective.
const PREFILL_LEAST: f64 = 0.3;
/// Replicas that a prompt is sent to at most.
const MAX_READS: usize = 2;
/// Bytes of the answer to a prefill at most.
const MAX_PREFILL_ANSWER: usize = 16 * 1024;

/// Has the prompt read by a prefill replica, in the data centre of the decode replica `decode` if one
/// is idle there: a KV cache is thousands of times as large as prompt and answer, and its transfer
/// between data centres takes twice as long and costs more. If the read fails, the decode replica is
/// to read the prompt.
///
/// A read that failed counts as an arrival, so that the send after it is a retry: `None` if the
/// budget has none left.
pub async fn read(
    shared: &Rc<Shared>,
    job: &Job,
    decode: Key,
    last_event: Option<u64>,
) -> Option<Task> {
    let near = shared.data_centre_of(decode);
    let mut tried = Vec::new();
    let mut failed = false;
    while tried.len() < MAX_READS {
        let choose = || shared.choose_near(&job.service, Some(Stage::Prefill), &tried, near);
        let chosen = limit::choose_admitted(shared, choose).await;
        let Some(key) = chosen else { break };
        // Where too few replicas read prompts, a part is left to the decode replicas, and the rest is
        // read in time.
        let may_read = shared.may_prefill(decode);
        let objective = job.route.objective;
        if may_read
            && rand::random::<f64>() < shared.decode_prefill_share(key, job.prompt(), objective)
        {
            break;
        }
        // The first read is no retry; that of a stream which is resumed is one.
        let Some(permit) = shared.take_permit(job, Work::Read) else {
            break;
        };
        tried.push(key);
        match timeout_at(job.deadline, patiently(shared, job, key, permit)).await {
            Ok(Ok(read)) => return Some(decode_task(read, last_event)),
            Ok(Err(Outcome::NotSent)) => continue,
            // The send that follows is withheld as well, and tells what comes of it.
            Ok(Err(Outcome::Quarantined | Outcome::Denied)) => break,
            Ok(Err(_)) => {}
            Err(_) => {
                let cause = "the prompt was not read in time";
                send::note(shared, job, key, Outcome::Lost, cause, 0);
            }
        }
        if !shared.ensure_permit(job, Work::Read) {
            return None;
        }
        failed = true;
    }
    if failed {
        // It pays for the read that failed, so that no other one may use it.
        let _spent = job.permit(Work::Read);
    }
    Some(own_read(last_event))
}

/// The task of a decode replica that reads the prompt itself.
pub const fn own_read(last_event: Option<u64>) -> Task {
    match last_event {
        Some(last_event) => Task::Resume { last_event },
        None => Task::Answer,
    }
}

/// The task of a decode replica for which the prompt was read.
fn decode_task(read: Read, last_event: Option<u64>) -> Task {
    let Read { address, handle } = read;
    match last_event {
        Some(last_event) => Task::GoOn {
            address,
            handle,
            last_event,
        },
        None => Task::Decode { address, handle },
    }
}

/// A prompt that was read.
struct Read {
    address: SocketAddr,
    handle: String,
}

/// Has the prompt read; a replica that is late but answers a question is waited for, since a read
/// that is given up is read in vain.
async fn patiently(
    shared: &Rc<Shared>,
    job: &Job,
    key: Key,
    permit: Permit,
) -> Result<Read, Outcome> {
    let objective = job.route.objective;
    let soonest = Instant::now() + objective.mul_f64(PREFILL_LEAST);
    let late = (job.arrived + objective.mul_f64(PREFILL_PART)).max(soonest);
    let last = (job.arrived + objective.mul_f64(PREFILL_MOST)).max(soonest + objective);
    let mut read = std::pin::pin!(read_prompt(shared, job, key, permit));
    if let Ok(read) = timeout_at(late, &mut read).await {
        return read;
    }
    if !ask::answers(shared, key).await {
        shared.note_unresponsive(key);
        let cause = "the prompt is not read, and the replica does not answer";
        send::note(shared, job, key, Outcome::Lost, cause, 0);
        return Err(Outcome::Lost);
    }
    if let Ok(read) = timeout_at(last, read).await {
        return read;
    }
    let cause = "the prompt was not read in time";
    send::note(shared, job, key, Outcome::Lost, cause, 0);
    Err(Outcome::Lost)
}

async fn read_prompt(
    shared: &Rc<Shared>,
    job: &Job,
    key: Key,
    permit: Permit,
) -> Result<Read, Outcome> {
    let address = shared
        .pool
        .borrow()
        .get(key)
        .map(|server| server.replica.address)
        .ok_or(Outcome::NotSent)?;
    let begun = Instant::now();
    let before = shared.pool.borrow().queued_tokens(key);
    let reply = send::send(shared, job, key, Task::Prefill, None, permit).await?;
    let exchanges_before = reply.link.exchanges_before();
    let read = send::whole(shared, reply, MAX_PREFILL_ANSWER).await;
    let body = match read {
        Ok((head, _, body)) if head.status == StatusCode::OK => body,
        Ok((head, ..)) => {
            send::note(
                shared,
                job,
                key,
                Outcome::Failed,
                "prefill",
                head.status.as_u16(),
            );
            return Err(Outcome::Failed);
        }
        Err(outcome) => {
            send::note(shared, job, key, outcome, "its answer broke off", 0);
            return Err(outcome);
        }
    };
    match Prefill::read(&body) {
        Ok(prefill) => {
            send::note_success(shared, key);
            shared.update_birth(key, prefill.birth);
            let prompt = job.prompt();
            shared.record_prefill(key, begun.elapsed(), before + prompt);
            shared.record_work(key, begun.elapsed(), prompt as f64);
            log::info!(kind = "read", request = job.call.id, ms = job.age().as_millis() as u64, cache = prefill.handle, exchanges_before = exchanges_before; "the prompt is read");
            Ok(Read {
                address,
                handle: prefill.handle,
            })
        }
        Err(error) => {
            send::note(shared, job, key, Outcome::Lost, &error.to_string(), 200);
            Err(Outcome::Lost)
        }
    }
}
