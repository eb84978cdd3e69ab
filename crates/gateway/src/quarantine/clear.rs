//! Clears quarantined parts of prompts on which replicas are writing answers: a part that crashes
//! replicas does so as the answer begins.

use std::rc::Rc;
use std::time::Duration;

use boottime::timer::sleep;
use rand::RngExt;
use relay::fingerprint::Fingerprint;

use crate::control;
use crate::control::Presence;
use crate::forward::MIN_WRITING_TIME;
use crate::shared::Shared;

/// Longest pause before a check.
const PERIOD: Duration = Duration::from_millis(300);
/// Number of checks; an answer that has just begun is old enough for a later one.
const MAX_CHECKS: usize = 4;

/// Looks for answers on each part that becomes quarantined, forever.
pub async fn run(shared: Rc<Shared>) {
    loop {
        for part in shared.newly_quarantined.take() {
            tokio::task::spawn_local(clear(Rc::clone(&shared), part));
        }
        shared.newly_quarantined.added().await;
    }
}

/// Clears `part` if a replica has been writing an answer on it for a while and is still there.
async fn clear(shared: Rc<Shared>, part: Fingerprint) {
    for _ in 0..MAX_CHECKS {
        // Not at all daemons at once; the first one tells the others.
        sleep(PERIOD.mul_f64(rand::rng().random())).await;
        if !shared.has_ended_replicas(part) {
            return;
        }
        if let Some((answer, replica)) = shared.answers.find(part, MIN_WRITING_TIME)
            && control::probe(&shared, replica).await == Presence::Here
            && shared.answers.contains(answer)
        {
            shared.note_content_served(part);
            return;
        }
    }
}
