//! The way of an edit from the operator into force.
//!
//! An edit is *accepted* when an instance says so, with the generation that it made. It is *in
//! force* when every instance decides by that generation or a later one. Between the two lie
//! seconds at most; the command reports them as different things.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
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

/// Pause between two questions about the table.
pub(crate) const POLL_EVERY: Duration = Duration::from_millis(100);
/// Pause before an undecided edit is sent again.
const REPEAT_AFTER: Duration = Duration::from_millis(500);
/// Least number of rounds over all addresses before an edit is given up.
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
    edit.check().map_err(|report| Error::Rejected {
        peer: "this command".to_owned(),
        cause: report.to_string(),
    })?;
    let accepted = send(admin, edit, how.wait).await?;
    let Accepted {
        peer,
        generation,
        before,
    } = &accepted;
    let again = if *before { " before" } else { "" };
    output.line(&format!(
        "accepted{again} by {peer} as generation {generation}"
    ));
    await_force(admin, accepted.generation, how.wait, &edit.id, output).await
}

/// An accepted edit.
struct Accepted {
    peer: String,
    generation: u64,
    /// Whether an earlier attempt had been accepted.
    before: bool,
}

/// What came of one attempt.
enum Attempted {
    Accepted(Accepted),
    /// The instance did not take it and nothing was sent to the store.
    Refused(Error),
    /// Nobody took it, or nobody knows.
    Open {
        attempt: Attempt,
        reached: bool,
    },
}

/// Sends `edit` to the addresses in turn, under the same id, until one accepts it.
async fn send(admin: &Admin, edit: &Edit, wait: Duration) -> Result<Accepted, Error> {
    let body = serde_json::to_string(edit).unwrap_or_default();
    let end = Instant::now() + wait;
    let mut tried = Vec::new();
    // Once an attempt may have reached the store, what other instances say proves nothing.
    let mut reached = false;
    let mut round = 0;
    while round < LEAST_ROUNDS || Instant::now() < end {
        let mut refused = None;
        for &address in admin.addresses() {
            match attempt(admin, address, body.clone()).await? {
                Attempted::Accepted(accepted) => return Ok(accepted),
                Attempted::Refused(error) => refused = Some(error),
                Attempted::Open {
                    attempt,
                    reached: now,
                } => {
                    reached |= now;
                    note(&mut tried, attempt);
                }
            }
        }
        round += 1;
        match refused {
            // The edit passed the checks above, so a refusal may be a matter of time.
            Some(error) if !reached && round >= LEAST_ROUNDS => return Err(error),
            _ => {}
        }
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

async fn attempt(admin: &Admin, address: SocketAddr, body: String) -> Result<Attempted, Error> {
    // Only an address that refuses a connection beforehand proves that nothing was sent to it.
    if let Err(cause) = TcpStream::connect(address).await {
        let attempt = Attempt {
            peer: address.to_string(),
            cause: cause.to_string(),
        };
        return Ok(Attempted::Open {
            attempt,
            reached: false,
        });
    }
    match admin.post_at(address, EDITS, body).await {
        Ok(answer) => read(answer),
        Err(attempt) => Ok(Attempted::Open {
            attempt,
            reached: true,
        }),
    }
}

fn read(answer: Answer) -> Result<Attempted, Error> {
    let edited = match answer.parse::<Edited>() {
        // An instance that can't decide at all says so by 503 before it sends anything.
        Err(Error::Answer { .. }) if answer.status.is_server_error() => {
            let cause = format!("{} {}", answer.status, answer.shown());
            let reached = answer.status != StatusCode::SERVICE_UNAVAILABLE;
            return Ok(Attempted::Open {
                attempt: Attempt {
                    peer: answer.peer,
                    cause,
                },
                reached,
            });
        }
        edited => edited?,
    };
    let peer = answer.peer;
    Ok(match edited {
        Edited::Accepted { generation } => Attempted::Accepted(Accepted {
            peer,
            generation,
            before: false,
        }),
        Edited::Repeated { generation } => Attempted::Accepted(Accepted {
            peer,
            generation,
            before: true,
        }),
        Edited::Conflict { lines } => return Err(Error::Conflict { peer, lines }),
        // Another instance may be in a position to take it.
        Edited::Rejected { cause } => Attempted::Refused(Error::Rejected { peer, cause }),
        Edited::Undecided { cause } => Attempted::Open {
            attempt: Attempt { peer, cause },
            reached: true,
        },
    })
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
