//! QUOTA: the machine that counts a tenant's quota stands still for four seconds.

use std::collections::HashMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::daemon;
use crate::daemon::Daemon;
use crate::replica;
use crate::replica::Runs;
use crate::store::Store;
use crate::wire;

const KEY: &str = "asnmgkcuyj8pjbvk9m68";
/// The tenant's quota, in tokens; each of its calls counts `CALL`.
const RATE: f64 = 800_000.0;
const BURST: f64 = 3_200_000.0;
const CALL: f64 = 16_000.0;
/// Bounds of the deployment.
const WINDOW: f64 = 8.0;
const EXCESS: f64 = 0.1;
const SLACK: f64 = 190_000.0;
/// The quota is 1.8 times what the tenant usually sends, and the hot tenant sends 6 times that for 11 s.
const USUAL: f64 = RATE / 1.8 / CALL;
const HOT: f64 = 6.0 * USUAL;
const HOT_AT: f64 = 15.0;
const HOT_FOR: f64 = 11.0;
const END: f64 = 27.0;
/// A first hot spell shows in the logs which machine counts the quota.
const FIRST_HOT_AT: f64 = 1.0;
const FIRST_HOT_FOR: f64 = 3.0;
/// The machine that counts the quota stands still as long as in the list of troubles of the sites.
const FREEZE_AT: f64 = 16.5;
const FREEZE_FOR: f64 = 4.0;
const DEADLINE: Duration = Duration::from_millis(1_500);
const CLIENTS: usize = 120;

/// What a client sent and got.
struct Sent {
    id: String,
    at: Instant,
    status: u16,
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    store.put("op", "config", &config());
    let runs: Runs = Arc::default();
    let replicas: Vec<(String, SocketAddr)> = (1..=3)
        .map(|number| {
            let id = format!("i-{number}");
            let address = replica::start(&id, Duration::from_millis(5), &runs);
            (id, address)
        })
        .collect();
    beat(&store, &replicas, 1);
    let extra = "quota: {window_s: 8, excess: 0.1, slack: 190000}\n";
    let peers = 7_380;
    let daemons: Vec<Daemon> = (0..3)
        .map(|number| Daemon::start(folder, number, "here", store.address, peers, extra))
        .collect();
    if !daemons.iter().all(Daemon::wait_until_ready) {
        eprintln!("the daemons did not get ready");
        return 2;
    }
    let heart = (store.clone(), replicas.clone());
    thread::spawn(move || {
        for beats in 2.. {
            thread::sleep(Duration::from_millis(1_200));
            beat(&heart.0, &heart.1, beats);
        }
    });
    thread::sleep(Duration::from_secs(4));
    let started = Instant::now();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let fronts: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.callers).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (fronts, sent) = (fronts.clone(), Arc::clone(&sent));
            thread::spawn(move || client(number, &fronts, started, &sent))
        })
        .collect();
    let sleep_until = |at: f64| thread::sleep(Duration::from_secs_f64(at).saturating_sub(started.elapsed()));
    sleep_until(FIRST_HOT_AT + FIRST_HOT_FOR + 1.0);
    let Some(keeper) = keeper(&daemons) else {
        eprintln!("no daemon counts the quota");
        return 2;
    };
    sleep_until(FREEZE_AT);
    if has_trouble {
        keeper.signal(daemon::SIGSTOP);
    }
    sleep_until(FREEZE_AT + FREEZE_FOR);
    keeper.signal(daemon::SIGCONT);
    for client in clients {
        let _ = client.join();
    }
    judge(folder, started, &keeper.name, &sent.lock().unwrap(), &runs)
}

/// The daemon that answered the last question about the quota, by the logs.
fn keeper(daemons: &[Daemon]) -> Option<&Daemon> {
    let lines = daemons.iter().flat_map(|daemon| {
        let lines = daemon.logged("\"kind\":\"quota\"");
        lines.into_iter().map(move |line| (daemon, line))
    });
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for (_, line) in lines {
        for daemon in daemons {
            let names = [&daemon.ip, &daemon.name].map(|name| format!("\"keeper\":\"{name}\""));
            if names.iter().any(|name| line.contains(name.as_str())) {
                *counts.entry(&daemon.name).or_default() += 1;
            }
        }
    }
    let (name, _) = counts.into_iter().max_by_key(|(_, count)| *count)?;
    daemons.iter().find(|daemon| daemon.name == name)
}

/// Sends calls at set times on a kept connection, which it gives up for another daemon after a failure.
fn client(number: usize, fronts: &[SocketAddr], started: Instant, sent: &Mutex<Vec<Sent>>) {
    let mut front = number % fronts.len();
    let mut stream = None;
    let mut at = number as f64 / USUAL;
    if at > FIRST_HOT_AT {
        at = FIRST_HOT_AT + number as f64 / HOT;
    }
    let mut count = 0;
    while at < END {
        thread::sleep(Duration::from_secs_f64(at).saturating_sub(started.elapsed()));
        let id = format!("c{number}-{count}");
        count += 1;
        let sent_at = Instant::now();
        let mut open = match stream.take() {
            Some(open) => Ok(open),
            None => wire::connect(fronts[front], DEADLINE),
        };
        let deadline = DEADLINE.as_millis().to_string();
        let headers = [("Host", "shop.example"), ("Request-Id", id.as_str()), ("Deadline-Ms", deadline.as_str()), ("X-Api-Key", KEY)];
        let path = format!("GET /read/{number}");
        let answer = open.as_mut().map_err(|error| error.kind()).and_then(|open| {
            wire::call(open, &path, &headers, b"").map_err(|error| error.kind())
        });
        let status = answer.as_ref().map_or(0, wire::Message::status);
        sent.lock().unwrap().push(Sent { id, at: sent_at, status });
        match (answer, open) {
            (Ok(answer), Ok(open)) if answer.header("connection") != Some("close") => stream = Some(open),
            (Ok(_), _) => {}
            (Err(_), _) => front = (front + 1) % fronts.len(),
        }
        at = next(at, number).max(started.elapsed().as_secs_f64());
    }
}

/// When the client `number` sends after `at`.
fn next(at: f64, number: usize) -> f64 {
    let spells = [(FIRST_HOT_AT, FIRST_HOT_FOR), (HOT_AT, HOT_FOR)];
    let is_hot = spells.iter().any(|(from, length)| (*from..from + length).contains(&at));
    let next = at + CLIENTS as f64 / if is_hot { HOT } else { USUAL };
    let begun = spells.iter().find(|(from, _)| at < *from && next > *from);
    begun.map_or(next, |(from, _)| from + number as f64 / HOT)
}

fn judge(folder: &Path, started: Instant, keeper: &str, sent: &[Sent], runs: &Runs) -> i32 {
    let sent_at: HashMap<&str, f64> = sent
        .iter()
        .map(|sent| (sent.id.as_str(), (sent.at - started).as_secs_f64()))
        .collect();
    let runs = runs.lock().unwrap();
    let mut ran: Vec<(f64, f64)> = runs
        .iter()
        .filter_map(|run| Some((*sent_at.get(run.id.as_str())?, (run.at - started).as_secs_f64())))
        .collect();
    ran.sort_by(|a, b| a.1.total_cmp(&b.1));
    let allowed = (RATE * WINDOW + BURST) * (1.0 + EXCESS) + SLACK;
    let mut most = (0.0, 0.0);
    for (_, end) in &ran {
        let from = end - WINDOW;
        let inside = ran.iter().filter(|(sent, arrived)| *sent > from && *arrived > from && arrived <= end);
        let tokens = inside.count() as f64 * CALL;
        if tokens > most.0 {
            most = (tokens, from);
        }
    }
    let mut record = format!(
        "tokens of the tenant that ran in one window of {WINDOW} s: {} (from {:.2} s); allowed: {allowed}\nfrozen: {keeper}\n\nsecond  sent  ran  200  429  503  other\n",
        most.0, most.1
    );
    for second in 0..END as usize {
        let is_in = |at: f64| (second as f64..second as f64 + 1.0).contains(&at);
        let sent: Vec<&Sent> = sent.iter().filter(|s| is_in((s.at - started).as_secs_f64())).collect();
        let of = |status: u16| sent.iter().filter(|s| s.status == status).count();
        let (ok, beyond, not_now) = (of(200), of(429), of(503));
        let ran = ran.iter().filter(|(_, arrived)| is_in(*arrived)).count();
        let other = sent.len() - ok - beyond - not_now;
        record += &format!("{second:6}  {:4} {ran:4} {ok:4} {beyond:4} {not_now:4} {other:6}\n", sent.len());
    }
    fs::write(folder.join("record.txt"), &record).unwrap();
    println!("{}", record.lines().next().unwrap_or_default());
    i32::from(most.0 > allowed)
}

fn beat(store: &Store, replicas: &[(String, SocketAddr)], beats: u64) {
    for (id, address) in replicas {
        store.put("servers", id, &replica::entry("app", *address, 64, beats));
    }
}

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"read\",\"host\":\"shop.example\",\"prefix\":\"/read/\",\"kind\":\"idempotent\",\"timeout-ms\":1200,\"slo-ms\":300,\"priority\":2,\"service\":\"app\",\"max-attempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}}],\"services\":[{{\"name\":\"app\",\"health-path\":\"/healthz\",\"max-conns\":430,\"proto\":\"h1\",\"tls\":false}}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api-keys\":[\"{KEY}\"],\"priority\":1,\"unit\":\"token_count\",\"plain-tokens\":{CALL},\"rate-per-s\":{RATE},\"burst\":{BURST}}}]}}"
    )
}
