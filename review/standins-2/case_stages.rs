//! A release replaces the decode replicas of a service by ones of another software version; its prefill replicas stay.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::clients;
use crate::clients::Request;
use crate::daemons;
use crate::daemons::Daemon;
use crate::daemons::Replica;
use crate::daemons::Runs;
use crate::http::Message;
use crate::record::Record;
use crate::record::has_trouble;
use crate::store::Store;

const PLACES: [daemons::Place; 3] = [
    ("edge-osijek-a-1", "osijek-a", [127, 0, 64, 1]),
    ("edge-vinkovci-b-1", "vinkovci-b", [127, 0, 64, 2]),
    ("edge-dakovo-c-1", "dakovo-c", [127, 0, 64, 3]),
];

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"r-draft","host":"shop.example","prefix":"/draft/","kind":"streaming","timeout-ms":14000,"slo-ms":900,"priority":1,"service":"llm","max-attempts":2,"sticky":true,"resumable":true,"gap-target-ms":300}],"services":[{"name":"llm","health-path":"/healthz","max-conns":370,"proto":"h1","tls":false,"engine":{"slots":64,"kv-tokens":64655,"kv-token-bytes":35136,"link-mbps":740000.0,"moves":false,"backups":false,"stride":1,"most":12,"kv-hold-s":0.5,"stage-switch-s":6.0,"pin-ms":4000.0,"hold-ms":2000.0,"models":[{"name":"m"}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

/// Stages of the replicas: the division that the daemons keep among four.
const STAGES: [&str; 4] = ["prefill", "decode", "prefill", "decode"];
/// Streams that run when the release begins.
const STREAMS: usize = 24;
/// New streams, over the time in which those are taken up again and some seconds more.
const NEW_STREAMS: usize = 60;
const NEW_PAUSE: Duration = Duration::from_millis(200);
const PAUSE: Duration = Duration::from_millis(40);
const DEADLINE: Duration = Duration::from_secs(14);
/// Pause between two replacements, and the time that a replica serves after it has reported that it drains.
const GAP: Duration = Duration::from_secs(1);
const DRAIN: Duration = Duration::from_millis(2_500);
/// Time after which a client abandons a stream that doesn't go on, and answers that it waits for.
const ABANDON: Duration = Duration::from_secs(8);
const ATTEMPTS: usize = 7;
/// Time after which the connections of the clients break if there is no release.
const BREAK: Duration = Duration::from_secs(4);
/// Time from a break to the next attempt.
const BACK_AFTER: Duration = Duration::from_millis(400);

/// What became of streams.
#[derive(Debug, Default)]
struct Counts {
    taken_up: usize,
    gone_on: usize,
    begun: usize,
}

pub fn run() -> i32 {
    let record = Arc::new(Record::new());
    let store = Store::start();
    let runs: Runs = Arc::default();
    let zone = |index: usize| PLACES[index % PLACES.len()].1;
    let mut replicas = Vec::new();
    for (index, stage) in STAGES.iter().enumerate() {
        let name = format!("i-llm-{index}");
        let zone = zone(index);
        replicas.push(Replica::start(
            &record, &store, &runs, &name, "llm", stage, zone,
        ));
    }
    store.write("op", "config", CONFIG);
    let daemons = daemons::start(&record, &store, &PLACES);
    thread::sleep(Duration::from_secs(4));
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let mut threads = Vec::new();
    for number in 0..STREAMS {
        let (record, counts) = (Arc::clone(&record), Arc::clone(&counts));
        let daemons = daemons.clone();
        threads.push(thread::spawn(move || {
            hold_stream(&record, &daemons, &counts, number)
        }));
        thread::sleep(PAUSE);
    }
    thread::sleep(Duration::from_secs(1));
    let mut leaving = Vec::new();
    for index in [1, 3].into_iter().filter(|_| has_trouble()) {
        let name = format!("i-llm-{}", index + 10);
        let zone = zone(index);
        Replica::start_version(&record, &store, &runs, &name, "llm", "decode", zone, "v1.1");
        record.line(&format!("replica {name}, of version v1.1, is ready"));
        let old = replicas[index].clone();
        old.report(&store, "draining", 100);
        record.line(&format!("replica {} is draining", old.name));
        let (record, store) = (Arc::clone(&record), store.clone());
        leaving.push(thread::spawn(move || {
            thread::sleep(DRAIN);
            store.remove("servers", &old.name);
            daemons::kill(old.id);
            record.line(&format!("replica {} has left", old.name));
        }));
        thread::sleep(GAP);
    }
    thread::sleep(DRAIN);
    leaving.into_iter().for_each(|thread| {
        let _ = thread.join();
    });
    for number in 0..NEW_STREAMS {
        let (record, counts) = (Arc::clone(&record), Arc::clone(&counts));
        let to = daemons[number % daemons.len()].clone();
        threads.push(thread::spawn(move || {
            let request = stream(
                format!("new-{number}"),
                100 + number,
                String::new(),
                DEADLINE,
            );
            if let Some((_, last)) = attempt(&record, &to, &request, None)
                && last > 0
            {
                lock(&counts).begun += 1;
            }
        }));
        thread::sleep(NEW_PAUSE);
    }
    threads.into_iter().for_each(|thread| {
        let _ = thread.join();
    });
    daemons::end_all();
    let counts = lock(&counts);
    let Counts {
        taken_up,
        gone_on,
        begun,
    } = *counts;
    record.line(&format!("taken up: {taken_up} streams, of which {gone_on} go on; new: {NEW_STREAMS}, of which {begun} begin"));
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    i32::from(taken_up >= 12 && share(gone_on, taken_up) < share(begun, NEW_STREAMS) / 2.0)
}

fn lock(counts: &Mutex<Counts>) -> std::sync::MutexGuard<'_, Counts> {
    counts
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn stream(id: String, number: usize, headers: String, deadline: Duration) -> Request {
    Request {
        id,
        method: "POST",
        path: format!("/draft/{number}/stream"),
        deadline,
        headers: format!("Model: m\r\nToken-Counts: 400,50\r\n{headers}"),
    }
}

/// Sends a request; the answer, and the number of its last event, 0 without one.
fn attempt(
    record: &Record,
    to: &Daemon,
    request: &Request,
    limit: Option<Duration>,
) -> Option<(Message, usize)> {
    record.line(&format!("client sends {} to {}", request.id, to.name));
    let answer = clients::send_for(to.front, request, limit);
    let Some(answer) = answer else {
        record.line(&format!("client of {}: no answer", request.id));
        return None;
    };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
    let last = whole.lines().filter_map(|line| line.strip_prefix("id: "));
    let last = last.last().and_then(|id| id.parse().ok()).unwrap_or(0);
    record.line(&format!(
        "client of {}: status {}, complete {}, last event {last}",
        request.id,
        answer.status(),
        answer.complete
    ));
    Some((answer, last))
}

/// Begins a stream, and takes it up again once its connection breaks.
fn hold_stream(record: &Record, daemons: &[Daemon], counts: &Mutex<Counts>, number: usize) {
    let id = format!("stream-{number}");
    // Without the release, the client's own connection breaks.
    let limit = (!has_trouble()).then_some(BREAK);
    let request = stream(id.clone(), number, String::new(), DEADLINE);
    let begun = Instant::now();
    let to = &daemons[number % daemons.len()];
    let Some((answer, last)) = attempt(record, to, &request, limit) else {
        return;
    };
    if answer.complete || last == 0 {
        return;
    }
    lock(counts).taken_up += 1;
    let broken = Instant::now();
    thread::sleep(BACK_AFTER);
    for index in 1..=ATTEMPTS {
        let left = DEADLINE.saturating_sub(begun.elapsed());
        if broken.elapsed() > ABANDON || left.is_zero() {
            break;
        }
        let headers = format!("Resumes: {id}\r\nLast-Event-Id: {last}\r\n");
        let request = stream(format!("{id}-again-{index}"), number, headers, left);
        let to = &daemons[(number + index) % daemons.len()];
        let answer = attempt(record, to, &request, None);
        if answer.as_ref().is_some_and(|(_, later)| *later > last) {
            lock(counts).gone_on += 1;
            return;
        }
        let wait = answer.and_then(|(answer, _)| answer.header("retry-after")?.parse().ok());
        thread::sleep(wait.map_or(BACK_AFTER, Duration::from_secs_f64));
    }
}
