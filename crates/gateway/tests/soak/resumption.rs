//! Callers that resume streams, and the software versions that their events come from.

use std::thread;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::callers;
use crate::callers::Resumed;
use crate::cluster::Cluster;
use crate::cluster::DAEMONS;
use crate::common::http::Message;
use crate::customer::Customer;
use crate::history::Kind;
use crate::history::STREAM_EVENTS;
use crate::streams;

/// Fraction of the streams whose connection breaks at their caller.
const BROKEN_FRACTION: f64 = 0.4;
/// Attempts to resume a stream at most.
const MAX_ATTEMPTS: usize = 2;
/// Longest pause of a caller before it resumes a stream, in milliseconds.
const MAX_PAUSE_MS: u64 = 400;
/// Streams that each daemon begins and resumes after the faults.
const CHECKED_STREAMS: usize = 10;
/// Events of these streams that callers receive before their connection breaks.
const RECEIVED_EVENTS: usize = 5;
/// Replicas of a version that are needed for its streams to count.
const MIN_REPLICAS: usize = 2;
/// Smallest number of resumptions that are judged.
const MIN_RESUMPTIONS: usize = 12;
/// Least share of resumptions that go on, as a fraction of the share of new streams that begin.
const MIN_SHARE: f64 = 0.5;

/// Resumes the stream of `response` to the request `id` at random daemons, if it is cut off or its connection breaks at
/// the caller after some events.
pub fn run(
    cluster: &Cluster,
    rng: &mut Pcg64Mcg,
    customer: Customer,
    id: &str,
    response: &Message,
) {
    let versions = versions(response);
    let Some(begun) = versions.first() else {
        return;
    };
    let breaks = rng.random::<f64>() < BROKEN_FRACTION;
    let kept = rng.random_range(1..=versions.len());
    if response.complete && !breaks {
        return;
    }
    let mut last_event = kept as u64;
    for attempt in 0..MAX_ATTEMPTS {
        thread::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)));
        let instance = rng.random_range(0..DAEMONS);
        let attempt_id = format!("{id}-{attempt}");
        let resumed = Resumed {
            begun: id,
            last_event,
        };
        let response = callers::resume(cluster, instance, customer, &attempt_id, resumed);
        last_event += judge(cluster, &attempt_id, begun, &response);
        if response.complete || last_event >= STREAM_EVENTS {
            return;
        }
    }
}

/// Records the answer to an attempt to resume a stream of the version `begun`; returns the number of its events.
fn judge(cluster: &Cluster, id: &str, begun: &str, response: &Message) -> u64 {
    cluster.history.record_resumption(response.status());
    let versions = versions(response);
    if let Some(version) = versions.iter().find(|version| *version != begun) {
        cluster.history.record_joined_versions(id, begun, version);
    }
    versions.len() as u64
}

/// The software versions of the whole events in `response`.
fn versions(response: &Message) -> Vec<String> {
    if response.status() != 200 {
        return Vec::new();
    }
    streams::versions(&String::from_utf8_lossy(&response.body))
}

/// Begins streams at each daemon and resumes them at the next one, after all faults.
///
/// # Errors
/// Returns how many were resumed if their share is too small.
pub fn check(cluster: &Cluster) -> Result<(), String> {
    let (mut tried, mut begun, mut resumed, mut went_on) = (0, 0, 0, 0);
    for number in 0..CHECKED_STREAMS * DAEMONS {
        let daemon = number % DAEMONS;
        let customer = Customer::Unlimited;
        let id = customer.id(&format!("begun-{number}"));
        let kind = Kind::Resumable;
        let response = callers::send_request(cluster, daemon, kind, customer, &id, &mut None);
        tried += 1;
        let versions = versions(&response);
        begun += usize::from(!versions.is_empty());
        let Some(version) = versions.get(RECEIVED_EVENTS - 1) else {
            continue;
        };
        if cluster.decode_replicas(version) < MIN_REPLICAS {
            continue;
        }
        let attempt_id = format!("{id}-0");
        let stream = Resumed {
            begun: &id,
            last_event: RECEIVED_EVENTS as u64,
        };
        let next = (daemon + 1) % DAEMONS;
        let response = callers::resume(cluster, next, customer, &attempt_id, stream);
        resumed += 1;
        went_on += usize::from(judge(cluster, &attempt_id, version, &response) > 0);
    }
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    let is_lost = share(went_on, resumed) < share(begun, tried) * MIN_SHARE;
    if resumed >= MIN_RESUMPTIONS && is_lost {
        return Err(format!(
            "LOST: {went_on} of {resumed} resumed streams went on, {begun} of {tried} new ones began"
        ));
    }
    Ok(())
}
