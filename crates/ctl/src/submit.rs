//! Submits an edit and waits until it is in force.
//!
//! An edit is *accepted* when an instance confirms it with the generation that it created. It is
//! *in force* when every instance uses that generation or a later one, at most seconds later. The
//! command reports the two separately.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use serde::Serialize;
use table::edit::Edit;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::answer::EditResult;
use crate::answer::Rollout;
use crate::cli::SubmitOptions;
use crate::client::AdminClient;
use crate::client::Answer;
use crate::error::Error;
use crate::error::FailedAttempt;
use crate::output::Output;

/// Pause between two requests for the state of the table.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause before an undecided edit is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(500);
/// Minimum number of rounds over all addresses before the command gives up.
const MIN_ROUNDS: usize = 3;
const EDITS_PATH: &str = "/v1/table/edits";

/// JSON output for an edit in force.
#[derive(Debug, Serialize)]
struct InForce {
    result: &'static str,
    edit: String,
    generation: u64,
    instances: usize,
    waited_ms: u64,
}

/// Generates a random id for an edit.
pub fn new_id() -> String {
    format!("ctl-{:016x}", rand::random::<u64>())
}

/// Sends `edit` and waits until it is in force.
///
/// # Errors
///
/// The variant of [`Error`] that says how far the edit got.
pub async fn submit(
    admin: &AdminClient,
    edit: &Edit,
    options: &SubmitOptions,
    output: Output,
) -> Result<(), Error> {
    edit.check().map_err(|report| Error::Rejected {
        peer: "this command".to_owned(),
        cause: report.to_string(),
    })?;
    let accepted = send_edit(admin, edit, options.wait).await?;
    let Accepted {
        peer,
        generation,
        repeated,
    } = &accepted;
    let again = if *repeated { " before" } else { "" };
    output.line(&format!(
        "accepted{again} by {peer} as generation {generation}"
    ));
    wait_until_in_force(admin, accepted.generation, options.wait, &edit.id, output).await
}

/// Confirmation that an edit is accepted.
struct Accepted {
    peer: String,
    generation: u64,
    /// Whether an earlier attempt was accepted.
    repeated: bool,
}

/// Result of one attempt to submit an edit.
enum AttemptResult {
    Accepted(Accepted),
    /// The instance rejected the edit and sent nothing to the store.
    Refused(Error),
    /// The edit was not accepted, or its result is not known.
    Inconclusive {
        failure: FailedAttempt,
        maybe_reached: bool,
    },
}

/// Sends `edit` to the addresses in turn, under the same id, until one accepts it.
async fn send_edit(admin: &AdminClient, edit: &Edit, wait: Duration) -> Result<Accepted, Error> {
    let body = serde_json::to_string(edit).unwrap_or_default();
    let end = Instant::now() + wait;
    let mut failures = Vec::new();
    // Once an attempt may have reached the store, a refusal by another instance proves nothing.
    let mut maybe_reached = false;
    let mut round = 0;
    while round < MIN_ROUNDS || Instant::now() < end {
        let mut refused = None;
        for &address in admin.addresses() {
            match try_instance(admin, address, body.clone()).await? {
                AttemptResult::Accepted(accepted) => return Ok(accepted),
                AttemptResult::Refused(error) => refused = Some(error),
                AttemptResult::Inconclusive {
                    failure,
                    maybe_reached: this_time,
                } => {
                    maybe_reached |= this_time;
                    record_failure(&mut failures, failure);
                }
            }
        }
        round += 1;
        match refused {
            // The edit passed the local checks, so a refusal may be temporary.
            Some(error) if !maybe_reached && round >= MIN_ROUNDS => return Err(error),
            _ => {}
        }
        sleep(RESEND_DELAY).await;
    }
    if maybe_reached {
        return Err(Error::Undecided {
            id: edit.id.clone(),
            failures,
        });
    }
    Err(Error::Unreachable {
        step: format!("POST {EDITS_PATH}"),
        failures,
    })
}

async fn try_instance(
    admin: &AdminClient,
    address: SocketAddr,
    body: String,
) -> Result<AttemptResult, Error> {
    // Only a failed connection proves that nothing was sent.
    if let Err(cause) = TcpStream::connect(address).await {
        let failure = FailedAttempt {
            peer: address.to_string(),
            cause: cause.to_string(),
        };
        return Ok(AttemptResult::Inconclusive {
            failure,
            maybe_reached: false,
        });
    }
    match admin.post_at(address, EDITS_PATH, body).await {
        Ok(answer) => classify(answer),
        Err(failure) => Ok(AttemptResult::Inconclusive {
            failure,
            maybe_reached: true,
        }),
    }
}

fn classify(answer: Answer) -> Result<AttemptResult, Error> {
    let result = match answer.parse::<EditResult>() {
        // An instance that can't decide answers 503 before it sends anything to the store.
        Err(Error::UnexpectedAnswer { .. }) if answer.status.is_server_error() => {
            let cause = format!("{} {}", answer.status, answer.body_excerpt());
            let maybe_reached = answer.status != StatusCode::SERVICE_UNAVAILABLE;
            return Ok(AttemptResult::Inconclusive {
                failure: FailedAttempt {
                    peer: answer.peer,
                    cause,
                },
                maybe_reached,
            });
        }
        result => result?,
    };
    let peer = answer.peer;
    Ok(match result {
        EditResult::Accepted { generation } => AttemptResult::Accepted(Accepted {
            peer,
            generation,
            repeated: false,
        }),
        EditResult::Repeated { generation } => AttemptResult::Accepted(Accepted {
            peer,
            generation,
            repeated: true,
        }),
        EditResult::Conflict { lines } => return Err(Error::Conflict { peer, lines }),
        // Another instance may be able to accept it.
        EditResult::Rejected { cause } => AttemptResult::Refused(Error::Rejected { peer, cause }),
        EditResult::Undecided { cause } => AttemptResult::Inconclusive {
            failure: FailedAttempt { peer, cause },
            maybe_reached: true,
        },
    })
}

/// Adds a failure and removes an earlier one of the same address.
fn record_failure(failures: &mut Vec<FailedAttempt>, failure: FailedAttempt) {
    failures.retain(|earlier| earlier.peer != failure.peer);
    failures.push(failure);
}

/// Waits until `generation` is in force on every instance.
///
/// # Errors
///
/// [`Error::NotInForce`] after `wait`; [`Error::Denied`] for an unknown operator.
pub async fn wait_until_in_force(
    admin: &AdminClient,
    generation: u64,
    wait: Duration,
    edit_id: &str,
    output: Output,
) -> Result<(), Error> {
    let start = Instant::now();
    let path = format!("/v1/table/force?generation={generation}");
    let mut missing = Vec::new();
    loop {
        match admin.get::<Rollout>(&path).await {
            Ok(force) if force.is_complete() => {
                report_in_force(generation, &force, start.elapsed(), edit_id, output);
                return Ok(());
            }
            Ok(force) => missing = force.missing,
            Err(error @ Error::Denied { .. }) => return Err(error),
            // The state may be available at the next poll.
            Err(_) => {}
        }
        if start.elapsed() >= wait {
            return Err(Error::NotInForce {
                generation,
                missing,
                waited: wait.as_secs(),
            });
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn report_in_force(
    generation: u64,
    force: &Rollout,
    waited: Duration,
    edit_id: &str,
    output: Output,
) {
    output.line(&format!(
        "in force: generation {generation} on {} of {} instances after {:.1} s",
        force.in_force,
        force.known,
        waited.as_secs_f64()
    ));
    output.value(&InForce {
        result: "in_force",
        edit: edit_id.to_owned(),
        generation,
        instances: force.known,
        waited_ms: waited.as_millis() as u64,
    });
}
