//! A replica that leaves by plan crashes while it writes an answer without a length.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::clients;
use crate::clients::Request;
use crate::daemons;
use crate::daemons::Replica;
use crate::daemons::Runs;
use crate::http::Message;
use crate::record::Record;
use crate::record::has_trouble;
use crate::replica;
use crate::store::Store;

const PLACES: [daemons::Place; 3] = [
    ("edge-osijek-a-1", "osijek-a", [127, 0, 61, 1]),
    ("edge-vinkovci-b-1", "vinkovci-b", [127, 0, 61, 2]),
    ("edge-dakovo-c-1", "dakovo-c", [127, 0, 61, 3]),
];

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"r-draft","host":"shop.example","prefix":"/draft/","kind":"streaming","timeout-ms":14000,"slo-ms":900,"priority":1,"service":"llm","max-attempts":1,"sticky":true,"resumable":false,"gap-target-ms":300},{"name":"r-book","host":"shop.example","prefix":"/book/","kind":"non_idempotent","timeout-ms":5000,"slo-ms":150,"priority":2,"service":"app","max-attempts":1}],"services":[{"name":"llm","health-path":"/healthz","max-conns":370,"proto":"h1","tls":false,"engine":{"slots":64,"kv-tokens":64655,"kv-token-bytes":35136,"link-mbps":740000.0,"moves":false,"backups":false,"stride":1,"most":12,"kv-hold-s":0.5,"stage-switch-s":6.0,"pin-ms":4000.0,"hold-ms":2000.0,"models":[{"name":"m"}]}},{"name":"app","health-path":"/healthz","max-conns":110,"proto":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

/// Usual calls, besides the two long answers: those have no length, 1 in 25 of all answers.
const USUAL_CALLS: usize = 48;
/// Time between them.
const USUAL_PAUSE: Duration = Duration::from_millis(30);
/// Stages of the model replicas: as many prefill as the daemons keep among six.
const STAGES: [&str; 6] = ["prefill", "decode", "decode", "prefill", "decode", "decode"];
/// Replicas of the application.
const APPS: usize = 4;

pub fn run() -> i32 {
    let record = Arc::new(Record::new());
    let store = Store::start();
    let runs: Runs = Arc::default();
    let zone = |index: usize| PLACES[index % PLACES.len()].1;
    let start = |service: &str, stage: &str, index: usize| {
        let name = format!("i-{service}-{index}");
        Replica::start(&record, &store, &runs, &name, service, stage, zone(index))
    };
    let models = STAGES.iter().enumerate();
    let mut replicas: Vec<Replica> = models
        .map(|(index, stage)| start("llm", stage, index))
        .collect();
    replicas.extend((0..APPS).map(|index| start("app", "", index)));
    store.write("op", "config", CONFIG);
    let daemons = daemons::start(&record, &store, &PLACES);
    thread::sleep(Duration::from_secs(2));
    let wrong = Arc::new(Mutex::new(0_usize));
    let mut threads = Vec::new();
    let ask = |request: Request, daemon: usize| {
        let (record, wrong) = (Arc::clone(&record), Arc::clone(&wrong));
        let to = daemons[daemon % daemons.len()].clone();
        thread::spawn(move || {
            record.line(&format!(
                "client sends {} {} {} to {}",
                request.id, request.method, request.path, to.name
            ));
            let answer = clients::send(to.front, &request);
            if judge(&record, &request, answer) {
                *wrong
                    .lock()
                    .unwrap_or_else(|poisoned| poisoned.into_inner()) += 1;
            }
        })
    };
    let draft = request("draft", "/draft/1/events", 14_000);
    let booking = request("booking", "/book/1/unframed", 5_000);
    threads.push(ask(draft.clone(), 0));
    threads.push(ask(booking.clone(), 1));
    for index in 0..USUAL_CALLS {
        threads.push(ask(
            request(&format!("usual-{index}"), "/book/2/plain", 2_500),
            index,
        ));
        thread::sleep(USUAL_PAUSE);
        // Both answers are being written; their replicas report that they leave.
        if index == 2 {
            for replica in at_work(&replicas, &runs, &[&draft, &booking]) {
                replica.report(&store, "draining", 2);
                record.line(&format!(
                    "replica {} reports that it is draining; the store accepts it",
                    replica.name
                ));
            }
        }
        if index == 40 && has_trouble() {
            for replica in at_work(&replicas, &runs, &[&draft, &booking]) {
                daemons::kill(replica.id);
                record.line(&format!("replica {} crashes (SIGKILL)", replica.name));
            }
        }
    }
    for thread in threads {
        let _ = thread.join();
    }
    daemons::end_all();
    let wrong = *wrong
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    record.line(&format!(
        "{wrong} successes with a body that is not the replica's whole body"
    ));
    i32::from(wrong > 0)
}

fn request(id: &str, path: &str, deadline_ms: u64) -> Request {
    Request {
        id: id.to_owned(),
        method: "POST",
        path: path.to_owned(),
        deadline: Duration::from_millis(deadline_ms),
        headers: if path.starts_with("/draft/") {
            "Model: m\r\nToken-Counts: 5200,170\r\nPrompt-Prefix: 5c1e07a2:200,91bd3f06:5000\r\n"
                .to_owned()
        } else {
            String::new()
        },
    }
}

/// The replicas that run `requests`.
fn at_work(replicas: &[Replica], runs: &Runs, requests: &[&Request]) -> Vec<Replica> {
    let runs = runs.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let of_request = runs
        .iter()
        .filter(|run| requests.iter().any(|request| request.id == run.request));
    let found =
        of_request.filter_map(|run| replicas.iter().find(|replica| replica.name == run.replica));
    found.cloned().collect()
}

/// Records an answer; returns whether it is a success, complete for its client, with another body than the replica's.
fn judge(record: &Record, request: &Request, answer: Option<Message>) -> bool {
    let Some(answer) = answer else {
        record.line(&format!("client of {}: no answer", request.id));
        return false;
    };
    let whole = replica::whole(&request.id, &request.path);
    let is_success = (200..300).contains(&answer.status());
    let is_whole = answer.body == whole.as_bytes();
    record.line(&format!(
        "client of {}: status {}, {}, {} of {} bytes, sealed {}",
        request.id,
        answer.status(),
        if answer.complete {
            "complete"
        } else {
            "cut off"
        },
        answer.body.len(),
        whole.len(),
        answer.header("response-seal").is_some()
    ));
    is_success && answer.complete && !is_whole
}
