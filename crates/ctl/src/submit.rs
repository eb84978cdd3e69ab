//! The way of an edit from the operator into force.
//!
//! An edit is *accepted* when an instance says so, with the generation that it made. It is *in
//! force* when every instance decides by that generation or a later one. Between the two lie
//! seconds at most; the command reports them as different things.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use table::edit::Edit;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::answer::Edited;
use crate::answer::Force;
use crate::cli::Submission;
use crate::client::Admin;
use crate::client::Answer;
use crate::error::Attempt;
use crate::error::Error;
use crate::output::Output;

/// Pause between two questions whether an edit is in force.
const POLL_EVERY: Duration = Duration::from_millis(100);
/// Pause before an undecided edit is sent again.
const REPEAT_AFTER: Duration = Duration::from_millis(500);
/// Least number of rounds over all addresses before an edit is given up as undecided.
const LEAST_ROUNDS: usize = 3;
const EDITS: &str = "/v1/table/edits";

/// An edit in force, as printed in JSON mode.
#[derive(Debug, Serialize)]
struct InForce {
    result: &'static str,
    edit: String,
    generation: u64,
    instances: usize,
    waited_ms: u64,
}

/// A fresh id for an edit.
pub fn new_id() -> String {
    format!("ctl-{:016x}", rand::random::<u64>())
}

/// Sends `edit` and waits until it is in force.
///
/// # Errors
///
/// The variants of [`Error`] that say how far it came.
pub async fn submit(
    admin: &Admin,
    edit: &Edit,
    how: &Submission,
    output: Output,
) -> Result<(), Error> {
    let (peer, edited) = send(admin, edit, how.wait).await?;
    let generation = match edited {
        Edited::Accepted { generation } => {
            output.line(&format!("accepted by {peer} as generation {generation}"));
            generation
        }
        Edited::Repeated { generation } => {
            output.line(&format!(
                "accepted before as generation {generation} (from {peer})"
            ));
            generation
        }
        Edited::Conflict { lines } => return Err(Error::Conflict { peer, lines }),
        Edited::Rejected { cause } => return Err(Error::Rejected { peer, cause }),
        Edited::Undecided { cause } => {
            return Err(Error::Undecided {
                id: edit.id.clone(),
                tried: vec![Attempt { peer, cause }],
            });
        }
    };
    await_force(admin, generation, how.wait, &edit.id, output).await
}

/// Sends `edit` to the addresses in turn, under the same id, until one decides it.
async fn send(admin: &Admin, edit: &Edit, wait: Duration) -> Result<(String, Edited), Error> {
    let body = serde_json::to_string(edit).unwrap_or_default();
    let end = Instant::now() + wait;
    let mut tried = Vec::new();
    // Once an attempt may have reached the store, a failure to connect proves nothing any more.
    let mut reached = false;
    let mut round = 0;
    while round < LEAST_ROUNDS || Instant::now() < end {
        for &address in admin.addresses() {
            match attempt(admin, address, body.clone()).await? {
                Ok(decided) => return Ok(decided),
                Err(failure) => {
                    reached |= failure.reached;
                    note(&mut tried, failure.attempt);
                }
            }
        }
        round += 1;
        sleep(REPEAT_AFTER).await;
    }
    if reached {
        return Err(Error::Undecided {
            id: edit.id.clone(),
            tried,
        });
    }
    Err(Error::Unreachable {
        step: format!("POST {EDITS}"),
        tried,
    })
}

/// A try that did not decide the edit.
struct Failure {
    attempt: Attempt,
    /// Whether the edit may have got as far as the store.
    reached: bool,
}

async fn attempt(
    admin: &Admin,
    address: SocketAddr,
    body: String,
) -> Result<Result<(String, Edited), Failure>, Error> {
    // Only an address that refuses a connection beforehand proves that nothing was sent to it.
    if let Err(cause) = TcpStream::connect(address).await {
        let attempt = Attempt {
            peer: address.to_string(),
            cause: cause.to_string(),
        };
        return Ok(Err(Failure {
            attempt,
            reached: false,
        }));
    }
    let answer = match admin.post_at(address, EDITS, body).await {
        Ok(answer) => answer,
        Err(attempt) => {
            return Ok(Err(Failure {
                attempt,
                reached: true,
            }));
        }
    };
    match answer.parse::<Edited>() {
        Ok(Edited::Undecided { cause }) => Ok(Err(failure(&answer, cause, true))),
        Ok(edited) => Ok(Ok((answer.peer, edited))),
        Err(Error::Answer { .. }) if answer.status.is_server_error() => {
            let cause = format!("{} {}", answer.status, answer.shown());
            Ok(Err(failure(&answer, cause, true)))
        }
        Err(error) => Err(error),
    }
}

fn failure(answer: &Answer, cause: String, reached: bool) -> Failure {
    Failure {
        attempt: Attempt {
            peer: answer.peer.clone(),
            cause,
        },
        reached,
    }
}

/// Keeps the last failure of each address.
fn note(tried: &mut Vec<Attempt>, attempt: Attempt) {
    tried.retain(|earlier| earlier.peer != attempt.peer);
    tried.push(attempt);
}

/// Waits until `generation` is in force on every instance.
///
/// # Errors
///
/// [`Error::NotInForce`] after `wait`; [`Error::Denied`] for an unknown operator.
pub async fn await_force(
    admin: &Admin,
    generation: u64,
    wait: Duration,
    edit: &str,
    output: Output,
) -> Result<(), Error> {
    let start = Instant::now();
    let path = format!("/v1/table/force?generation={generation}");
    let mut missing = Vec::new();
    loop {
        match admin.get::<Force>(&path).await {
            Ok(force) if force.complete() => {
                report(generation, &force, start.elapsed(), edit, output);
                return Ok(());
            }
            Ok(force) => missing = force.missing,
            Err(error @ Error::Denied { .. }) => return Err(error),
            // An instance that can't tell now may tell a moment later.
            Err(_) => {}
        }
        if start.elapsed() >= wait {
            return Err(Error::NotInForce {
                generation,
                missing,
                waited: wait.as_secs(),
            });
        }
        sleep(POLL_EVERY).await;
    }
}

fn report(generation: u64, force: &Force, waited: Duration, edit: &str, output: Output) {
    output.line(&format!(
        "in force: generation {generation} on {} of {} instances after {:.1} s",
        force.in_force,
        force.known,
        waited.as_secs_f64()
    ));
    output.value(&InForce {
        result: "in_force",
        edit: edit.to_owned(),
        generation,
        instances: force.known,
        waited_ms: waited.as_millis() as u64,
    });
}
