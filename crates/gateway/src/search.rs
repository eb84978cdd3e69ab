//! Finding a decode replica that answers a generation.

use std::rc::Rc;

use platform::caller::Task;
use relay::attempt::Attempt;
use relay::attempt::Next;
use relay::permit::Work;
use relay::server::Key;

use crate::job::Job;
use crate::place;
use crate::place::Place;
use crate::prefill;
use crate::send;
use crate::send::Reply;
use crate::shared::Shared;
use crate::track::Track;

/// Where a request was sent, and what the next replica is to do.
#[derive(Debug)]
pub struct Search<'a> {
    /// What was sent so far.
    pub attempt: &'a mut Attempt,
    /// Replicas that it was sent to.
    pub tried: &'a mut Vec<Key>,
    /// A place that was found already.
    pub place: Option<Place>,
    /// Id of the event after which the stream goes on.
    pub last_event: Option<u64>,
    /// Tokens that were made before.
    pub made: u64,
}

/// A replica's answer, and the run there if it is followed.
#[derive(Debug)]
pub struct Opened {
    /// The answer's head, with what is needed to read the rest.
    pub reply: Reply,
    /// The run.
    pub track: Option<Track>,
}

/// Finds a replica that answers.
///
/// # Errors
/// What to tell the caller.
pub async fn open(shared: &Rc<Shared>, job: &Job, search: Search<'_>) -> Result<Opened, Next> {
    let Search {
        attempt,
        tried,
        mut place,
        last_event,
        made,
    } = search;
    let mut own_read = None;
    loop {
        let found = match place.take() {
            Some(place) => Some(place),
            None => place::find(shared, job, tried, made).await,
        };
        let Some(place) = found else {
            return Err(without_place(attempt));
        };
        let key = place.key();
        let task = match &own_read {
            Some(task) => Task::clone(task),
            None => prefill::read(shared, job, key, last_event)
                .await
                .ok_or(Next::Refuse)?,
        };
        if matches!(task, Task::Answer | Task::Resume { .. }) {
            place.reads();
        }
        let Some(permit) = job.permit(Work::Run) else {
            return Err(without_place(attempt));
        };
        tried.push(key);
        attempt.record_send();
        let sent = send::send(shared, job, key, task, place.reservation(), permit);
        let outcome = match sent.await {
            Ok(reply) => {
                let track = place.used();
                return Ok(Opened { reply, track });
            }
            Err(outcome) => outcome,
        };
        match attempt.next_step(outcome, || shared.ensure_permit(job, Work::Run)) {
            Next::Retry => {}
            next => return Err(next),
        }
        // The KV cache may be gone; the next replica reads the prompt itself.
        own_read = Some(prefill::own_read(last_event));
    }
}

/// What the caller is told when nothing more can be sent.
const fn without_place(attempt: &Attempt) -> Next {
    if attempt.may_have_run() {
        Next::Unknown
    } else {
        Next::Refuse
    }
}
