//! LOST: callers take their streams up again after all machines were killed at once.

use std::fs;
use std::io::BufRead;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::daemon::Daemon;
use crate::engine;
use crate::replica::Runs;
use crate::store::Store;
use crate::wire;

const CLIENTS: usize = 24;
/// When the machines are killed, or the clients' connections break without the trouble.
const BREAK_AT: f64 = 3.0;
/// How long the processes are down; the `closing` of the site's days has 0.64 s and more.
const DOWN: f64 = 0.64;
/// The bound `contact-ms`: machines are in touch so long after they have started.
const CONTACT: f64 = 3.0;
/// Clients give a stream up after the longest of 2 s, 4 times the objective and 8 times its pause.
const OBJECTIVE_MS: u64 = 2_000;
const GAP: f64 = 8.0;
const DEADLINE: f64 = 14.0;
/// Answers after which a client gives its stream up. A connection that is refused or reset is tried again.
const MAX_ANSWERS: usize = 5;
const PAUSE_AFTER_NO_ANSWER: f64 = 0.4;

/// One client attempt.
struct Try {
    id: String,
    at: f64,
    is_new: bool,
    status: u16,
    /// Events that it brought, in order.
    events: u64,
    cause: String,
}

struct Shared {
    started: Instant,
    fronts: Vec<SocketAddr>,
    has_trouble: bool,
    tries: Mutex<Vec<Try>>,
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    store.put("op", "config", &config());
    let runs: Runs = Arc::default();
    let replicas: Vec<(String, SocketAddr)> = (1..=3)
        .map(|number| {
            let id = format!("i-{number}");
            let address = engine::start(&id, &runs);
            (id, address)
        })
        .collect();
    beat(&store, &replicas, 1);
    let heart = (store.clone(), replicas);
    thread::spawn(move || {
        for beats in 2.. {
            thread::sleep(Duration::from_millis(1_200));
            beat(&heart.0, &heart.1, beats);
        }
    });
    let mut daemons: Vec<Daemon> = (0..3)
        .map(|number| Daemon::start(folder, number, "here", store.address, 7_380, ""))
        .collect();
    if !daemons.iter().all(Daemon::wait_until_ready) {
        eprintln!("the daemons did not get ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    let shared = Arc::new(Shared {
        started: Instant::now(),
        fronts: daemons.iter().map(|daemon| daemon.callers).collect(),
        has_trouble,
        tries: Mutex::default(),
    });
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let own = Arc::clone(&shared);
        clients.push(thread::spawn(move || resuming_client(&own, number)));
        let own = Arc::clone(&shared);
        clients.push(thread::spawn(move || new_client(&own, number)));
    }
    shared.sleep_until(BREAK_AT);
    if has_trouble {
        for daemon in &daemons {
            daemon.signal(crate::daemon::SIGKILL);
        }
        shared.sleep_until(BREAK_AT + DOWN);
        for daemon in &mut daemons {
            daemon.restart(Duration::ZERO);
        }
    }
    for client in clients {
        let _ = client.join();
    }
    judge(folder, &shared)
}

impl Shared {
    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    fn sleep_until(&self, at: f64) {
        thread::sleep(Duration::from_secs_f64((at - self.now()).max(0.0)));
    }

    /// Sends a generation and reads its events until `until`; returns the last event, whether it is
    /// complete, and for how long the client is to wait before it comes back.
    fn attempt(&self, id: &str, front: usize, begun: &str, last: u64, until: f64) -> (u64, bool, f64) {
        let at = self.now();
        let mut tried = Try {
            id: id.to_owned(),
            at,
            is_new: begun.is_empty(),
            status: 0,
            events: 0,
            cause: String::new(),
        };
        let mut events = last;
        let mut wait = PAUSE_AFTER_NO_ANSWER;
        let result = self.stream(id, front, begun, last, until, &mut tried, &mut events, &mut wait);
        let is_complete = matches!(&result, Ok(true));
        if let Err(error) = result {
            tried.cause = error.to_string();
        }
        self.tries.lock().unwrap().push(tried);
        (events, is_complete, wait)
    }

    #[allow(clippy::too_many_arguments, reason = "one caller")]
    fn stream(
        &self,
        id: &str,
        front: usize,
        begun: &str,
        last: u64,
        until: f64,
        tried: &mut Try,
        events: &mut u64,
        wait: &mut f64,
    ) -> std::io::Result<bool> {
        let mut stream = wire::connect(self.fronts[front], Duration::from_secs_f64(GAP))?;
        let left = ((until - self.now()) * 1_000.0).max(1.0) as u64;
        let mut head = format!(
            "POST /draft/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 6\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Counts: 1460,{}\r\nPrompt-Prefix: 5c1e07a2:800,e4402b7d:660\r\nDeadline-Ms: {left}\r\n",
            engine::EVENTS
        );
        if !begun.is_empty() {
            head += &format!("Last-Event-Id: {last}\r\nResumes: {begun}\r\n");
        }
        stream.get_mut().write_all((head + "\r\nprompt").as_bytes())?;
        let mut line = String::new();
        stream.read_line(&mut line)?;
        tried.status = line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        loop {
            line.clear();
            if stream.read_line(&mut line)? == 0 || line.trim().is_empty() {
                break;
            }
            let lower = line.to_ascii_lowercase();
            if let Some(seconds) = lower.strip_prefix("retry-after:") {
                *wait = seconds.trim().parse().unwrap_or(1.0);
            }
        }
        if tried.status != 200 {
            tried.cause = "refused".to_owned();
            return Ok(false);
        }
        loop {
            if !self.has_trouble && begun.is_empty() && id.starts_with('o') && self.now() >= BREAK_AT {
                // The client's connection breaks.
                return Ok(false);
            }
            line.clear();
            if stream.read_line(&mut line)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            if let Some(number) = line.strip_prefix("id: ") {
                let number: u64 = number.trim().parse().map_err(std::io::Error::other)?;
                if number != *events + 1 {
                    return Err(std::io::Error::other(format!("event {number} after {events}")));
                }
                *events = number;
                tried.events += 1;
            }
            if line == "0\r\n" {
                return Ok(*events == engine::EVENTS);
            }
        }
    }
}

/// Begins a stream before the break and takes it up again after it.
fn resuming_client(shared: &Shared, number: usize) {
    let begun_at = 0.5 + number as f64 * 0.02;
    shared.sleep_until(begun_at);
    let begun = format!("o{number}");
    let until = begun_at + DEADLINE;
    let (mut last, mut is_complete, _) = shared.attempt(&begun, number % 3, "", 0, until);
    let last_event_at = shared.now();
    let mut answers = 0;
    for count in 1.. {
        if is_complete || last == 0 || answers == MAX_ANSWERS || shared.now() > last_event_at + GAP {
            return;
        }
        let id = format!("o{number}-{count}");
        let (events, complete, wait) = shared.attempt(&id, (number + count) % 3, &begun, last, until);
        (last, is_complete) = (events, complete);
        answers += usize::from(wait != PAUSE_AFTER_NO_ANSWER);
        thread::sleep(Duration::from_secs_f64(wait));
    }
}

/// Begins a stream once the machines are in touch again.
fn new_client(shared: &Shared, number: usize) {
    let at = BREAK_AT + DOWN + CONTACT + 0.1 + number as f64 * 0.05;
    shared.sleep_until(at);
    shared.attempt(&format!("n{number}"), number % 3, "", 0, at + DEADLINE);
}

fn judge(folder: &Path, shared: &Shared) -> i32 {
    let mut tries = shared.tries.lock().unwrap();
    tries.sort_by(|a, b| a.at.total_cmp(&b.at));
    let in_touch = BREAK_AT + DOWN + CONTACT;
    // Without the trouble the machines are in touch all the time.
    let from = if shared.has_trouble { in_touch } else { BREAK_AT };
    let stream = |id: &str| id.split('-').next().unwrap_or_default().to_owned();
    let mut resumed: Vec<(String, bool)> = Vec::new();
    for tried in tries.iter().filter(|tried| !tried.is_new && tried.at >= from) {
        let goes_on = tried.events > 0;
        match resumed.iter_mut().find(|(id, _)| *id == stream(&tried.id)) {
            Some((_, went_on)) => *went_on |= goes_on,
            None => resumed.push((stream(&tried.id), goes_on)),
        }
    }
    let new: Vec<&Try> = tries.iter().filter(|tried| tried.is_new && tried.id.starts_with('n')).collect();
    let went_on = resumed.iter().filter(|(_, goes_on)| *goes_on).count();
    let begun = new.iter().filter(|tried| tried.events > 0).count();
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    let is_broken = resumed.len() >= 12 && share(went_on, resumed.len()) < 0.5 * share(begun, new.len());
    let first = format!(
        "streams taken up again at machines in touch: {}, of which {went_on} go on; new streams: {}, of which {begun} begin",
        resumed.len(),
        new.len()
    );
    let mut record = format!("{first}\n\nsecond  attempt  kind  status  events  cause\n");
    for tried in tries.iter() {
        let kind = if tried.is_new { "new" } else { "taken up" };
        record += &format!("{:6.2}  {}  {kind}  {}  {}  {}\n", tried.at, tried.id, tried.status, tried.events, tried.cause);
    }
    fs::write(folder.join("record.txt"), record).unwrap();
    println!("{first}");
    if resumed.len() < 12 || new.is_empty() {
        return 2;
    }
    i32::from(is_broken)
}

fn beat(store: &Store, replicas: &[(String, SocketAddr)], beats: u64) {
    for (id, address) in replicas {
        store.put("servers", id, &engine::entry("llm", *address, "v1", beats));
    }
}

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"draft\",\"host\":\"shop.example\",\"prefix\":\"/draft/\",\"kind\":\"streaming\",\"timeout-ms\":14000,\"slo-ms\":{OBJECTIVE_MS},\"priority\":1,\"service\":\"llm\",\"max-attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gap-target-ms\":300}}],\"services\":[{{\"name\":\"llm\",\"health-path\":\"/healthz\",\"max-conns\":370,\"proto\":\"h1\",\"tls\":false}}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
    )
}
