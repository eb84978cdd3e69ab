//! `status`: shows the state of each instance and its view of the others.

use serde_json::json;

use crate::answer::Member;
use crate::answer::Pool;
use crate::answer::Status;
use crate::client::AdminClient;
use crate::error::Error;
use crate::error::FailedAttempt;
use crate::output::Output;

/// Prints the status of every instance; fails at the end if one did not answer.
pub(super) async fn run(admin: &AdminClient, output: Output) -> Result<(), Error> {
    let mut views = Vec::new();
    let mut failures = Vec::new();
    for &address in admin.addresses() {
        match admin.get_at(address, "/v1/status").await {
            Ok(answer) => {
                let status: Status = answer.parse()?;
                print_status(&answer.peer, &status, output);
                views.push(status);
            }
            Err(attempt) => failures.push(attempt),
        }
    }
    output.value(&json!({ "instances": views, "unreachable": failed_addresses(&failures) }));
    if failures.is_empty() {
        return Ok(());
    }
    Err(Error::Unreachable {
        step: "GET /v1/status".to_owned(),
        failures,
    })
}

fn failed_addresses(failures: &[FailedAttempt]) -> Vec<&str> {
    failures
        .iter()
        .map(|failure| failure.peer.as_str())
        .collect()
}

fn print_status(peer: &str, status: &Status, output: Output) {
    let state = match (status.leaving, status.fresh) {
        (true, _) => "leaving",
        (false, true) => "deciding",
        (false, false) => "not deciding: its table is not proven to be the newest",
    };
    output.line(&format!("{} at {peer}: {state}", status.name));
    let age = status
        .store_age_ms
        .map_or("never".to_owned(), |ms| format!("{ms} ms ago"));
    output.line(&format!(
        "  generation {}, store read {age}",
        status.generation
    ));
    output.line(&format!(
        "  {} requests open, {} holds, {} keys",
        status.open, status.holds, status.keys
    ));
    for Pool {
        name,
        waiting,
        placed,
    } in &status.pools
    {
        output.line(&format!(
            "  keeper of {name}: {waiting} waiting, {placed} placed"
        ));
    }
    for member in &status.members {
        output.line(&format!("  sees {}", describe_member(member)));
    }
}

fn describe_member(member: &Member) -> String {
    let generation = member
        .generation
        .map_or(String::new(), |number| format!(", generation {number}"));
    let last_heard = member
        .heard_ms
        .map_or(String::new(), |ms| format!(", last heard {ms} ms ago"));
    format!("{}: {}{generation}{last_heard}", member.name, member.state)
}
