//! What the stand-ins counted.

use std::time::Duration;

use serde_json::Value;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::demo::booking::BOOKING_KEY;
use crate::demo::output;
use crate::demo::report::Report;
use crate::error::Error;
use crate::fleet::Fleet;
use crate::plan::Replica;
use crate::plan::Role;

/// Longest wait until no engine holds memory of a request that is gone.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Prints the counts of every stand-in and checks them.
pub(super) async fn run(fleet: &Fleet, report: &mut Report) -> Result<(), Error> {
    output::print_title("Summary: what the stand-ins counted");
    let released = release_time(fleet).await?;
    let mut bookings = 0;
    for replica in &fleet.plan().replicas {
        let record = fleet.record(&replica.name).await?;
        output::print_line(&describe(replica, &record));
        bookings += booking_runs(&record);
    }
    let platform = fleet.record("platform").await?;
    output::print_line(&format!("platform: {platform}"));
    report.check("the booking ran exactly once", bookings == 1);
    match released {
        Some(after) => report.check(
            &format!(
                "no engine holds memory any more ({:.1} s)",
                after.as_secs_f64()
            ),
            true,
        ),
        None => report.check("no engine holds memory any more", false),
    }
    Ok(())
}

fn describe(replica: &Replica, record: &Value) -> String {
    let names: &[&str] = match replica.role {
        Role::Prefill => &["prefills", "prefills_wasted", "prefill_tokens", "held"],
        Role::Decode => &["decodes", "tokens", "cancels", "held"],
        Role::Plain => &["total", "runs"],
    };
    let parts: Vec<String> = names
        .iter()
        .map(|name| format!("{name} {}", record[*name]))
        .collect();
    format!("{}: {}", replica.name, parts.join(", "))
}

/// Runs of the booking at one application.
fn booking_runs(record: &Value) -> u64 {
    let Some(runs) = record["runs"].as_object() else {
        return 0;
    };
    let of_booking = runs.iter().filter(|(key, _)| key.ends_with(BOOKING_KEY));
    of_booking.filter_map(|(_, count)| count.as_u64()).sum()
}

/// How long it took until no engine held anything; `None` if one still does.
async fn release_time(fleet: &Fleet) -> Result<Option<Duration>, Error> {
    let start = Instant::now();
    while start.elapsed() < RELEASE_TIMEOUT {
        if held_count(fleet).await? == 0 {
            return Ok(Some(start.elapsed()));
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(None)
}

async fn held_count(fleet: &Fleet) -> Result<usize, Error> {
    let mut held = 0;
    let replicas = &fleet.plan().replicas;
    for replica in replicas
        .iter()
        .filter(|replica| replica.role != Role::Plain)
    {
        let record = fleet.record(&replica.name).await?;
        held += record["held"].as_array().map_or(0, Vec::len);
    }
    Ok(held)
}
