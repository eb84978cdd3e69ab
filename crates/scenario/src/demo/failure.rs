//! Failures: draining a replica, killing a daemon during a stream, and planned stops.

use std::time::Duration;

use serde_json::Value;

use crate::address::Addresses;
use crate::caller::Caller;
use crate::demo::MODEL;
use crate::demo::draft;
use crate::demo::output;
use crate::demo::report::Report;
use crate::error::Error;
use crate::fleet::Fleet;
use crate::requests::Completion;
use crate::stream::Event;
use crate::stream::Head;

/// Replica to drain.
const DRAINED: &str = "decode-1";
/// Number of drafts sent after the drain is in force.
const DRAFTS: u32 = 6;
const DRAFT_TOKENS: u32 = 8;
/// Daemon to kill.
const KILLED: &str = "entry-1";
/// Maximum number of tokens of the draft whose daemon is killed.
const LONG_TOKENS: u32 = 160;
/// Tokens read before the daemon is killed.
const BEFORE_KILL: u64 = 30;
/// Maximum wait for a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

/// Drains a replica and checks that it gets no new work.
pub(super) async fn drain(
    fleet: &Fleet,
    caller: &Caller,
    addresses: &Addresses,
    report: &mut Report,
) -> Result<(), Error> {
    output::title("Drain: `waxwing drain replica decode-1`");
    output::lines(&fleet.run_waxwing(&["drain", "replica", DRAINED]).await?);
    let before = decodes(fleet).await?;
    for number in 0..DRAFTS {
        let address = &addresses.addresses[number as usize % addresses.addresses.len()];
        let completion = Completion::new(MODEL, &format!("Ration change {number}"), DRAFT_TOKENS);
        let rest = caller
            .complete(&address.address, &completion)
            .await?
            .stream()?
            .read_to_end()
            .await;
        report.check(
            &format!("draft through {} is answered", address.instance),
            matches!(rest.end, Event::Done(_)),
        );
    }
    let after = decodes(fleet).await?;
    report.check("the draining replica got none of them", before == after);
    output::lines(&fleet.run_waxwing(&["undrain", "replica", DRAINED]).await?);
    Ok(())
}

async fn decodes(fleet: &Fleet) -> Result<Value, Error> {
    Ok(fleet.record(DRAINED).await?["decodes"].clone())
}

/// Kills a daemon during a stream and reads the rest at another one.
pub(super) async fn resume(
    fleet: &mut Fleet,
    caller: &Caller,
    addresses: &Addresses,
    report: &mut Report,
) -> Result<(), Error> {
    output::title("Kill a daemon in the middle of a stream");
    let prompt = "Draft a delivery note for the co-op of Vinkovci, all farms.";
    let completion = Completion::new(MODEL, prompt, LONG_TOKENS);
    let killed = fleet.daemon(KILLED)?.caller.clone();
    let mut stream = caller.complete(&killed, &completion).await?.stream()?;
    output::print(&format!("   {KILLED}:"));
    let mut read = draft::read_tokens(&mut stream, BEFORE_KILL).await;
    let (offset, head) = (stream.offset(), stream.head().cloned());
    fleet.kill(KILLED).await?;
    output::print(&format!("\n   {KILLED} was killed after {offset} tokens\n"));
    let Some(Head { resume, .. }) = head else {
        report.check("the stream began with a resume token", false);
        return Ok(());
    };
    let others = addresses
        .addresses
        .iter()
        .filter(|address| address.instance != KILLED);
    for other in others.take(1) {
        let mut stream = caller
            .resume(&other.address, &resume, offset)
            .await?
            .stream()?;
        output::print(&format!("   {}:", other.instance));
        let rest = draft::read_tokens(&mut stream, u64::MAX).await;
        output::print("\n");
        read.text.push_str(&rest.text);
        read.end = rest.end;
    }
    let whole = draft::is_complete(prompt, LONG_TOKENS, &read);
    report.check(
        "both parts make the whole answer, no token twice or missing",
        whole,
    );
    Ok(())
}

/// Stops the remaining daemons with `SIGTERM`.
pub(super) async fn stop(fleet: &mut Fleet, report: &mut Report) -> Result<(), Error> {
    output::title("Planned stop of the remaining daemons (SIGTERM)");
    let names: Vec<String> = fleet
        .plan()
        .daemons
        .iter()
        .map(|daemon| daemon.name.clone())
        .collect();
    let left: Vec<String> = names.into_iter().filter(|name| name != KILLED).collect();
    for name in &left {
        fleet.terminate(name)?;
    }
    for name in &left {
        let ended = fleet.wait_for_exit(name, STOP_TIMEOUT).await;
        let graceful = ended.is_ok_and(|status| status.success());
        report.check(&format!("{name} ended with exit code 0"), graceful);
    }
    Ok(())
}
