//! Prompts with parts: sound ones share some, and one part crashes each replica that begins to answer.

use std::thread;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::cluster::Cluster;
use crate::cluster::DAEMONS;
use crate::common::caller::Caller;
use crate::common::http::Message;
use crate::common::replica::Action;
use crate::common::replica::event_texts;
use crate::common::replica::events;
use crate::common::replica::stream_head;
use crate::common::replica::stream_head_without_length;
use crate::customer::Customer;
use crate::customer::TOKEN_COUNTS;

/// Part that all prompts begin with.
const FIRST: &str = "5c1e07a2";
/// Part that crashes replicas.
const CRASHING: &str = "e4402b7d";
/// Number of parts that sound prompts have as their second one.
const SUBJECTS: u64 = 5;
/// Time limit of each request, sent as `Deadline-Ms`.
const REQUEST_TIMEOUT_MS: &str = "3000";
/// Replicas that may crash before all daemons have to withhold the part.
const FREE_CRASHES: usize = 5;
/// Times that the part may still reach replicas then.
const MAX_LATE_SENDS: usize = 3;
/// Requests with the part that each daemon gets after the faults.
const LATE_REQUESTS: usize = 5;
/// Requests that are sent at most until replicas have crashed or one is refused.
const MAX_REQUESTS: usize = 10;
/// Time after which all daemons have to withhold the part.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Seconds of `Retry-After` that only the refusal of a quarantined part exceeds.
const QUARANTINE_RETRY_AFTER_S: f64 = 30.0;

/// The parts of the sound prompt of the request `id`.
pub fn sound_prompt(id: &str) -> String {
    let number = id.bytes().fold(0, |number: u64, byte| {
        number.wrapping_mul(31).wrapping_add(byte.into())
    });
    format!("{FIRST}:40,5b{:x}:40,a{number:x}:20", number % SUBJECTS)
}

/// Whether `request` has the part that crashes replicas.
pub fn is_crashing(request: &Message) -> bool {
    let prompt = request.header("prompt-prefix").unwrap_or_default();
    prompt.contains(&format!(",{CRASHING}:"))
}

/// How a replica crashes on `request`: `draw` decides whether its answer has chunks, and how far it got.
pub fn crash(request: &Message, draw: f64) -> Action {
    let last = request.header("last-event-id");
    let next = last.map_or(0, |id| id.parse::<u64>().unwrap()) + 1;
    let event = event_texts(next, next);
    let bytes = match draw {
        draw if draw < 0.4 => [stream_head(request), events(next, next)].concat(),
        draw if draw < 0.6 => stream_head_without_length(request),
        draw if draw < 0.8 => [stream_head_without_length(request), event.into()].concat(),
        _ => [stream_head_without_length(request), event[..5].into()].concat(),
    };
    Action::Crash(bytes)
}

/// Sends requests with the part, no two alike, until the callers are stopped.
pub fn run(cluster: &Cluster, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x5eed);
    while !cluster.callers_stopped() {
        send(cluster, rng.random_range(0..DAEMONS), rng.random());
        thread::sleep(Duration::from_millis(rng.random_range(50..800)));
    }
}

/// Checks that, but for a few sends, the part reaches no replica from any daemon once five have crashed.
///
/// # Errors
/// Returns how many replicas it reached.
pub fn check(cluster: &Cluster) -> Result<(), String> {
    let history = &cluster.history;
    for number in 0..MAX_REQUESTS {
        let response = send(cluster, number % DAEMONS, rand::random());
        if history.crashed_replicas() >= FREE_CRASHES || is_quarantine_refusal(&response) {
            break;
        }
    }
    thread::sleep(CONTACT_TIME);
    let before = history.part_sends();
    for number in 0..DAEMONS * LATE_REQUESTS {
        send(cluster, number % DAEMONS, rand::random());
    }
    match history.part_sends() - before {
        0..=MAX_LATE_SENDS => Ok(()),
        sends => Err(format!(
            "BUDGET: a part on which {} replicas crashed reached {sends} more; log lines of the daemons:\n    {}",
            history.crashed_replicas(),
            cluster.quarantine_log_lines().join("\n    ")
        )),
    }
}

fn is_quarantine_refusal(response: &Message) -> bool {
    let seconds = response.header("retry-after").and_then(|s| s.parse().ok());
    response.status() == 503
        && seconds.is_some_and(|seconds: f64| seconds > QUARANTINE_RETRY_AFTER_S)
}

/// Sends the request `number` with the part to a daemon, to one of two routes.
fn send(cluster: &Cluster, instance: usize, number: u64) -> Message {
    let id = Customer::Unlimited.id(&format!("part-{number}"));
    let prompt = format!("{FIRST}:40,{CRASHING}:40,a{number:x}:20");
    let headers = [
        ("Request-Id", id.as_str()),
        ("Deadline-Ms", REQUEST_TIMEOUT_MS),
        ("Token-Counts", TOKEN_COUNTS),
        ("Prompt-Prefix", &prompt),
        ("X-Api-Key", Customer::Unlimited.key()),
    ];
    let route = ["draft", "resume"][(number % 2) as usize];
    cluster.notices.record_sent(&id);
    match Caller::new(cluster.instances[instance].callers) {
        Ok(mut caller) => caller.send_and_read(&format!("POST /{route}/{number}"), &headers, b""),
        Err(_) => Message::default(),
    }
}
