//! Finding a decode replica that answers a generation.

use std::rc::Rc;

use platform::caller::Task;
use relay::attempt::Attempt;
use relay::attempt::Next;
use relay::server::Key;

use crate::job::Job;
use crate::place;
use crate::place::Place;
use crate::prefill;
use crate::send;
use crate::send::Reply;
use crate::shared::Shared;

/// Where a request was sent, and what the next replica is to do.
#[derive(Debug)]
pub struct Search<'a> {
    /// What was sent so far.
    pub attempt: &'a mut Attempt,
    /// Replicas that it was sent to.
    pub tried: &'a mut Vec<Key>,
    /// A place that was found already.
    pub place: Option<Place>,
    /// `None` if the prompt is to be read by a prefill replica first.
    pub task: Option<Task>,
}

/// Finds a replica that answers.
///
/// # Errors
/// What to tell the caller.
pub async fn open(shared: &Rc<Shared>, job: &Job, search: Search<'_>) -> Result<Reply, Next> {
    let Search {
        attempt,
        tried,
        mut place,
        mut task,
    } = search;
    loop {
        let found = match place.take() {
            Some(place) => Some(place),
            None => place::find(shared, job, tried).await,
        };
        let Some(place) = found else {
            let unknown = attempt.may_have_run();
            return Err(if unknown { Next::Unknown } else { Next::Refuse });
        };
        let key = place.key();
        let now = match &task {
            Some(task) => task.clone(),
            None => prefill::read(shared, job, key).await.ok_or(Next::Refuse)?,
        };
        tried.push(key);
        attempt.sent();
        let sent = send::send(shared, job, key, now, place.reservation());
        let outcome = match sent.await {
            Ok(reply) => {
                place.used();
                return Ok(reply);
            }
            Err(outcome) => outcome,
        };
        match attempt.after(outcome, || shared.take_retry(&job.service, &job.call.id)) {
            Next::Retry => {}
            next => return Err(next),
        }
        // The KV cache may be gone; the next replica reads the prompt itself.
        task = task.or(Some(Task::Answer));
    }
}
