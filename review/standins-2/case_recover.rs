//! Machines are lost for good and replaced, one at a time; then all processes are killed and started again. The
//! customer's requests stay below its quota all the while.

use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::clients;
use crate::clients::Request;
use crate::daemons;
use crate::daemons::Daemon;
use crate::daemons::Fleet;
use crate::daemons::Place;
use crate::daemons::Replica;
use crate::daemons::Runs;
use crate::http;
use crate::record::Record;
use crate::record::has_trouble;
use crate::store::Store;

const ZONES: [&str; 3] = ["osijek-a", "vinkovci-b", "dakovo-c"];

/// The machines at the start.
const PLACES: [Place; 5] = [
    ("edge-osijek-a-1", "osijek-a", [127, 0, 63, 1]),
    ("edge-osijek-a-2", "osijek-a", [127, 0, 63, 2]),
    ("edge-vinkovci-b-1", "vinkovci-b", [127, 0, 63, 3]),
    ("edge-vinkovci-b-2", "vinkovci-b", [127, 0, 63, 4]),
    ("edge-dakovo-c-1", "dakovo-c", [127, 0, 63, 5]),
];

/// The machines that replace those at the start, the last one at the final fault.
const OTHERS: [Place; 5] = [
    ("edge-osijek-a-3", "osijek-a", [127, 0, 63, 6]),
    ("edge-osijek-a-4", "osijek-a", [127, 0, 63, 7]),
    ("edge-vinkovci-b-3", "vinkovci-b", [127, 0, 63, 8]),
    ("edge-vinkovci-b-4", "vinkovci-b", [127, 0, 63, 9]),
    ("edge-dakovo-c-2", "dakovo-c", [127, 0, 63, 10]),
];

/// A customer with a quota of 16,000 tokens a second; a call counts 200.
const CONFIG: &str = r#"{"version":1,"routes":[{"name":"r-stock","host":"shop.example","prefix":"/stock/","kind":"idempotent","timeout-ms":1500,"slo-ms":120,"priority":2,"service":"app","max-attempts":2,"public":false}],"services":[{"name":"app","health-path":"/healthz","max-conns":550,"proto":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"hule930","api-keys":["asnmgkcuyj8pjbvk9m68"],"priority":1,"unit":"token_count","plain-tokens":200,"rate-per-s":16000,"burst":16000}]}"#;
const QUOTA: &str = "quota: {window_s: 8, excess: 0.1, slack: 20000 }\n";

/// Pause between two requests: 30 a second, 6,000 tokens a second.
const PAUSE: Duration = Duration::from_millis(33);
/// Time of the requests before the final fault, and after its `recovery-s`.
const BEFORE: Duration = Duration::from_secs(8);
const AFTER: Duration = Duration::from_secs(10);
/// `recovery-s`.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time until a machine is replaced, and between two replacements.
const REPLACED_AFTER: Duration = Duration::from_secs(1);
const PAUSE_BETWEEN: Duration = Duration::from_secs(5);

pub fn run() -> i32 {
    let record = Arc::new(Record::new());
    let store = Store::start();
    let runs: Runs = Arc::default();
    for index in 0..4 {
        Replica::start(
            &record,
            &store,
            &runs,
            &format!("i-app-{index}"),
            "app",
            "",
            ZONES[index % 3],
        );
    }
    store.write("op", "config", CONFIG);
    let fleet = Fleet {
        store: &store,
        zones: &ZONES,
        seeds: PLACES.iter().map(|place| place.2).collect(),
        peers: http::free_port(PLACES[0].2.into()),
        quota: QUOTA,
    };
    let mut daemons: Vec<Daemon> = PLACES
        .iter()
        .map(|place| fleet.start(place, true))
        .collect();
    daemons
        .iter()
        .for_each(|daemon| daemon.wait_until_ready(&record));
    thread::sleep(PAUSE_BETWEEN);
    for index in (0..4).filter(|_| has_trouble()) {
        daemons::kill(daemons[index].id);
        record.line(&format!("machine {} is lost for good", daemons[index].name));
        thread::sleep(REPLACED_AFTER);
        daemons[index] = fleet.start(&OTHERS[index], false);
        daemons[index].wait_until_ready(&record);
        thread::sleep(PAUSE_BETWEEN);
    }
    let before = served(&record, &daemons, "before", BEFORE);
    if has_trouble() {
        daemons.iter().for_each(|daemon| daemons::kill(daemon.id));
        record.line("the final fault: all processes of the system are killed");
        thread::sleep(Duration::from_millis(640));
        daemons[..4].iter_mut().for_each(Daemon::restart);
        record.line(&format!(
            "the machines are back, but for {}, which is lost for good",
            daemons[4].name
        ));
        thread::sleep(REPLACED_AFTER);
        daemons[4] = fleet.start(&OTHERS[4], false);
        daemons
            .iter()
            .for_each(|daemon| daemon.wait_until_ready(&record));
    }
    thread::sleep(RECOVERY + Duration::from_millis(500));
    let after = served(&record, &daemons, "after", AFTER);
    daemons::end_all();
    record.line(&format!(
        "served before the final fault: {before:.3}; later than recovery-s after it: {after:.3}"
    ));
    i32::from(before >= 0.25 && after < 0.25)
}

/// Sends requests to the daemons in turn for `time`; returns the share that is served.
fn served(record: &Arc<Record>, daemons: &[Daemon], name: &str, time: Duration) -> f64 {
    let begun = Instant::now();
    let mut threads: Vec<JoinHandle<bool>> = Vec::new();
    while begun.elapsed() < time {
        let number = threads.len();
        let request = Request {
            id: format!("{name}-{number}"),
            method: "GET",
            path: format!("/stock/{number}/plain"),
            deadline: Duration::from_millis(1_500),
            headers: "X-Api-Key: asnmgkcuyj8pjbvk9m68\r\n".to_owned(),
        };
        let (record, to) = (Arc::clone(record), daemons[number % daemons.len()].clone());
        threads.push(thread::spawn(move || {
            record.line(&format!("client sends {} to {}", request.id, to.name));
            let answer = clients::send(to.front, &request);
            let status = answer.as_ref().map_or(0, |answer| answer.status());
            record.line(&format!("client of {}: status {status}", request.id));
            status == 200
        }));
        thread::sleep(PAUSE);
    }
    let all = threads.len() as f64;
    let served = threads.into_iter().filter_map(|thread| thread.join().ok());
    served.filter(|is_served| *is_served).count() as f64 / all
}
