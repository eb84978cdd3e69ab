//! Prints and checks the counters of the stand-ins.

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

/// Maximum wait until no engine holds memory of a finished request.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Prints and checks the counters of every stand-in.
pub(super) async fn run(fleet: &Fleet, report: &mut Report) -> Result<(), Error> {
    output::title("Summary: what the stand-ins counted");
    let released = release_time(fleet).await?;
    let mut bookings = 0;
    for replica in &fleet.plan().replicas {
        let record = fleet.record(&replica.name).await?;
        output::line(&describe(replica, &record));
        bookings += booking_runs(&record);
    }
    let platform = fleet.record("platform").await?;
    output::line(&format!("platform: {platform}"));
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

/// Returns the runs of the booking at one application.
fn booking_runs(record: &Value) -> u64 {
    let Some(runs) = record["runs"].as_object() else {
        return 0;
    };
    let of_booking = runs.iter().filter(|(key, _)| key.ends_with(BOOKING_KEY));
    of_booking.filter_map(|(_, count)| count.as_u64()).sum()
}

/// Returns the time until no engine held anything, or `None` if one still does.
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
