//! The store does not answer calls about the configuration for a moment; then the operator moves a route.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::clients;
use crate::clients::Request;
use crate::daemons;
use crate::daemons::Replica;
use crate::daemons::Runs;
use crate::record::Record;
use crate::record::fail;
use crate::record::has_trouble;
use crate::store::Store;

const PLACES: [daemons::Place; 3] = [
    ("edge-osijek-a-1", "osijek-a", [127, 0, 62, 1]),
    ("edge-vinkovci-b-1", "vinkovci-b", [127, 0, 62, 2]),
    ("edge-dakovo-c-1", "dakovo-c", [127, 0, 62, 3]),
];

/// `contact-ms` and `config-apply-ms`.
const CONTACT: Duration = Duration::from_millis(3_000);
const APPLY: Duration = Duration::from_millis(2_000);
/// Added to both, for the clocks of this script.
const SPARE: Duration = Duration::from_millis(20);
/// Time of the requests after the end of the disruption.
const WATCHED: Duration = Duration::from_millis(5_500);
/// The longest disruption that the site file has is 8 s.
const LONGEST: Duration = Duration::from_secs(5);

/// The configuration `version`, whose route leads to `service`.
fn config(version: u64, service: &str) -> String {
    let services = ["before", "after"].map(|name| {
        format!(r#"{{"name":"{name}","health-path":"/healthz","max-conns":110,"proto":"h1","tls":false}}"#)
    });
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-stock","host":"shop.example","prefix":"/stock/","kind":"idempotent","timeout-ms":1200,"slo-ms":150,"priority":2,"service":"{service}","max-attempts":2}}],"services":[{}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#,
        services.join(",")
    )
}

pub fn run() -> i32 {
    let record = Arc::new(Record::new());
    let store = Store::start();
    let runs: Runs = Arc::default();
    for (index, service) in ["before", "before", "after", "after"].iter().enumerate() {
        let name = format!("i-{service}-{index}");
        Replica::start(
            &record,
            &store,
            &runs,
            &name,
            service,
            "",
            PLACES[index % 3].1,
        );
    }
    store.write("op", "config", &config(3, "before"));
    let daemons = daemons::start(&record, &store, &PLACES);
    thread::sleep(Duration::from_secs(4));
    store.write("op", "config", &config(5, "before"));
    record.line("the operator writes configuration 5; the route leads to `before`");
    thread::sleep(Duration::from_millis(1_000));
    if has_trouble() {
        disrupt(&record, &store, daemons.len());
    }
    let ended = Instant::now();
    thread::sleep(Duration::from_millis(100));
    store.write("op", "config", &config(8, "after"));
    let acknowledged = Instant::now();
    record.line("the operator writes configuration 8; the route leads to `after`; the store acknowledges it");
    let bound = (ended + CONTACT).max(acknowledged + APPLY) + SPARE;
    let mut threads = Vec::new();
    let mut number = 0;
    while ended.elapsed() < WATCHED {
        for daemon in &daemons {
            number += 1;
            let request = Request {
                id: format!("stock-{number}"),
                method: "GET",
                path: format!("/stock/{number}/plain"),
                deadline: Duration::from_millis(2_500),
                headers: String::new(),
            };
            let (record, to) = (Arc::clone(&record), daemon.clone());
            let is_bound = Instant::now() > bound;
            let since = ended.elapsed().as_millis();
            threads.push(thread::spawn(move || {
                record.line(&format!(
                    "client sends {} to {}, {since} ms after the disruption; bound: {is_bound}",
                    request.id, to.name
                ));
                let answer = clients::send(to.front, &request);
                let seal = answer
                    .as_ref()
                    .and_then(|answer| answer.header("response-seal"));
                let service = seal
                    .unwrap_or("")
                    .rsplit('.')
                    .next()
                    .unwrap_or("")
                    .to_owned();
                let status = answer.map_or(0, |answer| answer.status());
                record.line(&format!(
                    "client of {}: status {status}, run by `{service}`",
                    request.id
                ));
                is_bound && service == "before"
            }));
        }
        thread::sleep(Duration::from_millis(50));
    }
    let late = threads.into_iter().filter_map(|thread| thread.join().ok());
    let late = late.filter(|is_late| *is_late).count();
    daemons::end_all();
    record.line(&format!(
        "{late} requests later than the bound were run by the old service"
    ));
    i32::from(late > 0)
}

/// The store gives no answer about the table `op` until each of the `daemons` has called in vain.
fn disrupt(record: &Record, store: &Store, daemons: usize) {
    let until = Instant::now() + Duration::from_secs(30);
    // Calls that the store has taken are answered; the disruption begins between two of them.
    while store.waiting("op") > 0 {
        if Instant::now() > until {
            fail("the daemons call the store at different times");
        }
        thread::sleep(Duration::from_millis(2));
    }
    store.set_silent(Some("op"));
    let begun = Instant::now();
    record.line("the store stops to answer calls about the table `op`");
    while store.unanswered("op") < daemons && begun.elapsed() < LONGEST {
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(100));
    store.set_silent(None);
    let ms = begun.elapsed().as_millis();
    let calls = store.unanswered("op");
    record.line(&format!(
        "the store answers again, after {ms} ms; {calls} watches got no answer"
    ));
}
