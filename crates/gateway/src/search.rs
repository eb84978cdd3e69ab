//! Finds a decode replica that answers a generation.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use boottime::timer::sleep;
use relay::attempt::Attempt;
use relay::attempt::Next;
use relay::attempt::Outcome;
use relay::permit::Work;
use relay::score::Version;
use relay::server::Key;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use crate::control;
use crate::control::Presence;
use crate::job::Job;
use crate::placement;
use crate::placement::Placement;
use crate::plain;
use crate::prefill;
use crate::run_tracking::TrackedRun;
use crate::send;
use crate::send::Assignment;
use crate::send::Reply;
use crate::shared::Shared;

/// Pause before another replica is sought again while the present one is silent.
const RETRY_PAUSE: Duration = Duration::from_millis(800);

/// Time for which two replicas may work on a request. One that does not take it refuses it within
/// milliseconds.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// Where a request was sent, and what the next replica has to do.
#[derive(Debug)]
pub struct Search<'a> {
    /// The sends so far.
    pub attempt: &'a mut Attempt,
    /// Replicas that received the request.
    pub tried: &'a mut Vec<Key>,
    /// A placement that is already available.
    pub placement: Option<Placement>,
    /// Id of the event after which the stream continues.
    pub last_event: Option<u64>,
    /// Tokens generated so far.
    pub generated: u64,
    /// Notified when the replica before, if it may still be at work, has to be left: another one has
    /// worked on the request for a while.
    pub overlap: Option<&'a Notify>,
}

/// A replica's answer, and the run there if it is tracked.
#[derive(Debug)]
pub struct Opened {
    /// The answer's head, and what is needed to read the rest.
    pub reply: Reply,
    /// The run at the replica.
    pub tracked_run: Option<TrackedRun>,
}

/// Sends the request to decode replicas until one answers.
///
/// # Errors
/// How to answer the caller instead.
pub async fn open(shared: &Rc<Shared>, job: &Job, search: Search<'_>) -> Result<Opened, Next> {
    let Search {
        attempt,
        tried,
        placement: mut next_placement,
        last_event,
        generated,
        overlap,
    } = search;
    let mut is_prefilled_locally = false;
    loop {
        let found = match next_placement.take() {
            Some(placement) => Some(placement),
            None => placement::find(shared, job, tried, generated).await,
        };
        let Some(placement) = found else {
            return Err(next_without_placement(attempt));
        };
        let key = placement.key();
        if !is_listed_incarnation(shared, &placement).await {
            tried.push(key);
            continue;
        }
        let prefilled = if is_prefilled_locally {
            None
        } else {
            prefill::prefill_remotely(shared, job, key)
                .await
                .map_err(|prefill::Exhausted| Next::Refuse)?
        };
        if prefilled.is_none() {
            placement.note_local_prefill();
        }
        let Some(permit) = job.take_permit(Work::Run) else {
            return Err(next_without_placement(attempt));
        };
        tried.push(key);
        attempt.record_send();
        let answer = {
            let assignment = Assignment {
                task: prefill::decode_task(prefilled.as_ref(), last_event),
                versions: match &prefilled {
                    Some(prefilled) => Version::Exactly(&prefilled.software),
                    None => job.destination().software,
                },
                reservation: placement.reservation(),
            };
            let overlap_end = notify_after_overlap(job.written.notified(), overlap);
            let sent = pin!(send::send(shared, job, key, assignment, permit));
            let found = find_while_silent(shared, job, attempt, tried, generated);
            tokio::select! {
                biased;
                answer = first_answer(sent, found) => answer,
                never = overlap_end => match never {},
            }
        };
        let outcome = match answer {
            Ok(Ok(reply)) => {
                let tracked_run = placement.into_run();
                return Ok(Opened { reply, tracked_run });
            }
            Ok(Err(outcome)) => outcome,
            Err(other) => {
                let cause = "the replica was silent for too long";
                send::record_failure(shared, job, key, Outcome::Lost, cause, 0);
                next_placement = Some(*other);
                Outcome::Lost
            }
        };
        match attempt.next_step(outcome, || shared.ensure_permit(job, Work::Run)) {
            Next::Retry => {}
            next => return Err(next),
        }
        // The KV cache may be lost, so the next replica prefills the prompt itself.
        is_prefilled_locally = true;
    }
}

/// Waits for the result of a send, or for a placement at another replica. The send goes first.
///
/// # Errors
/// The placement.
async fn first_answer(
    sent: impl Future<Output = Result<Reply, Outcome>>,
    found: impl Future<Output = Placement>,
) -> Result<Result<Reply, Outcome>, Box<Placement>> {
    tokio::select! {
        biased;
        sent = sent => Ok(sent),
        found = found => Err(Box::new(found)),
    }
}

/// Notifies `overlap`, if given, once the request has been `written` for [`MAX_OVERLAP`]. Never returns.
async fn notify_after_overlap(written: Notified<'_>, overlap: Option<&Notify>) -> Infallible {
    if let Some(overlap) = overlap {
        written.await;
        sleep(MAX_OVERLAP).await;
        overlap.notify_one();
    }
    std::future::pending().await
}

/// Finds a placement at a replica outside of `tried`, and takes the retry for it, once a request that may
/// run again has had no answer for too long. Never returns for others.
async fn find_while_silent(
    shared: &Rc<Shared>,
    job: &Job,
    attempt: &Attempt,
    tried: &[Key],
    generated: u64,
) -> Placement {
    if !attempt.may_fail_over() {
        return std::future::pending().await;
    }
    // A request that a silent replica has received runs there until that notices the close.
    let silence = job.route.objective.mul_f64(plain::SILENCE_FACTOR);
    sleep(silence.max(control::MAX_SOUND_SILENCE)).await;
    loop {
        // Most requests never get here.
        let find = || Box::pin(placement::find_now(shared, job, tried, generated));
        if shared.can_retry(job)
            && let Some(placement) = find().await
            && shared.ensure_permit(job, Work::Run)
        {
            return placement;
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Whether the replica has not restarted since its entry was listed: its software version may have
/// changed then. A reservation has shown it; without one, a replica that reports its start is asked.
async fn is_listed_incarnation(shared: &Shared, placement: &Placement) -> bool {
    let key = placement.key();
    if placement.reservation().is_none() && shared.reports_birth(key) {
        control::probe(shared, key).await != Presence::Ended
    } else {
        !shared.has_restarted(key)
    }
}

/// How to answer the caller when no further send is possible.
const fn next_without_placement(attempt: &Attempt) -> Next {
    if attempt.may_have_run() {
        Next::Unknown
    } else {
        Next::Refuse
    }
}
