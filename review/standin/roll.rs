//! LOST: callers take their streams up again while the machines are stopped and started in turn.

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

use crate::daemon;
use crate::daemon::Daemon;
use crate::replica::Runs;
use crate::store::Store;
use crate::wire;

const MACHINES: usize = 9;
const CLIENTS: usize = 90;
const EVENTS: u64 = 100;
const PAUSE: Duration = Duration::from_millis(250);
/// When the first machine is stopped, or all clients' connections break without the trouble.
const BREAK_AT: f64 = 3.0;
/// Pause between two machines, as in the list of troubles of the site.
const GAP_BETWEEN_STOPS: f64 = 1.0;
/// The short delay after which the platform starts a process again that has ended.
const RESTART: f64 = 0.5;
/// The bound `contact-ms`.
const CONTACT: f64 = 3.0;
/// Clients give a stream up after the longest of 2 s, 4 times the objective and 8 times its pause.
const OBJECTIVE_MS: u64 = 2_000;
const GAP: f64 = 8.0;
const DEADLINE: f64 = 30.0;
/// Answers after which a client gives its stream up.
const MAX_ANSWERS: usize = 7;
/// When new streams are sent; most machines are in touch again then.
const NEW_AT: f64 = 19.5;

/// One client attempt.
struct Try {
    id: String,
    at: f64,
    front: usize,
    status: u16,
    events: u64,
    cause: String,
}

struct Shared {
    started: Instant,
    has_trouble: bool,
    fronts: Vec<SocketAddr>,
    directories: Vec<SocketAddr>,
    /// When each machine was told to stop, and when it was started again.
    stopped: Mutex<Vec<f64>>,
    restarted: Mutex<Vec<f64>>,
    tries: Mutex<Vec<Try>>,
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    store.put("op", "config", &config());
    let runs: Runs = Arc::default();
    let replicas: Vec<(String, SocketAddr)> = (1..=3)
        .map(|number| {
            let id = format!("i-{number}");
            let address = crate::engine::start_with(&id, &runs, EVENTS, PAUSE);
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
    let daemons: Vec<Daemon> = (0..MACHINES as u32)
        .map(|number| Daemon::start(folder, number, "here", store.address, 7_380, ""))
        .collect();
    if !daemons.iter().all(Daemon::wait_until_ready) {
        eprintln!("the daemons did not get ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    let shared = Arc::new(Shared {
        started: Instant::now(),
        has_trouble,
        fronts: daemons.iter().map(|daemon| daemon.callers).collect(),
        directories: daemons.iter().map(|daemon| daemon.directory).collect(),
        stopped: Mutex::new(vec![-CONTACT; MACHINES]),
        restarted: Mutex::new(vec![-CONTACT; MACHINES]),
        tries: Mutex::default(),
    });
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let own = Arc::clone(&shared);
        clients.push(thread::spawn(move || resuming_client(&own, number)));
        let own = Arc::clone(&shared);
        clients.push(thread::spawn(move || new_client(&own, number)));
    }
    let stops: Vec<_> = daemons
        .into_iter()
        .enumerate()
        .map(|(number, daemon)| {
            let own = Arc::clone(&shared);
            thread::spawn(move || stop_and_start(&own, number, daemon))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    for stop in stops {
        let _ = stop.join();
    }
    judge(folder, &shared)
}

/// Stops a machine in its turn, and starts it again when its process has ended.
fn stop_and_start(shared: &Shared, number: usize, mut daemon: Daemon) {
    shared.sleep_until(BREAK_AT + number as f64 * GAP_BETWEEN_STOPS);
    if !shared.has_trouble {
        shared.sleep_until(DEADLINE);
        return;
    }
    shared.stopped.lock().unwrap()[number] = shared.now();
    daemon.signal(daemon::SIGTERM);
    let killed_at = shared.now() + 8.0;
    while !daemon.has_exited() && shared.now() < killed_at {
        thread::sleep(Duration::from_millis(10));
    }
    daemon.restart(Duration::from_secs_f64(RESTART));
    shared.restarted.lock().unwrap()[number] = shared.now();
    shared.sleep_until(DEADLINE);
}

impl Shared {
    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    fn sleep_until(&self, at: f64) {
        thread::sleep(Duration::from_secs_f64((at - self.now()).max(0.0)));
    }

    /// A machine that a directory names.
    fn resolve(&self, number: usize) -> Option<usize> {
        (0..self.directories.len()).find_map(|offset| {
            let directory = self.directories[(number + offset) % self.directories.len()];
            let mut stream = wire::connect(directory, Duration::from_secs(1)).ok()?;
            let path = "GET /api/resolve?name=shop.example&region=r&zone=here";
            let answer = wire::call(&mut stream, path, &[("Host", "x")], b"").ok()?;
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let named: Vec<usize> = (0..self.fronts.len())
                .filter(|front| text.contains(&format!("\"{}\"", self.fronts[*front])))
                .collect();
            (answer.status() == 200 && !named.is_empty()).then(|| named[number % named.len()])
        })
    }

    /// Sends a generation; returns the last event, whether the stream is complete, and after what time
    /// the client may come back if it was answered.
    fn attempt(&self, id: &str, front: usize, begun: &str, last: u64, until: f64) -> (u64, bool, Option<f64>) {
        let mut tried = Try {
            id: id.to_owned(),
            at: self.now(),
            front,
            status: 0,
            events: 0,
            cause: String::new(),
        };
        let (mut events, mut wait) = (last, None);
        let result = self.stream(begun, until, &mut tried, &mut events, &mut wait);
        let is_complete = matches!(&result, Ok(true));
        if let Err(error) = result {
            tried.cause = error.to_string();
        }
        self.tries.lock().unwrap().push(tried);
        (events, is_complete, wait)
    }

    fn stream(
        &self,
        begun: &str,
        until: f64,
        tried: &mut Try,
        events: &mut u64,
        wait: &mut Option<f64>,
    ) -> std::io::Result<bool> {
        let mut stream = wire::connect(self.fronts[tried.front], Duration::from_secs_f64(GAP))?;
        let left = ((until - self.now()) * 1_000.0).max(1.0) as u64;
        let mut head = format!(
            "POST /draft/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 6\r\nRequest-Id: {}\r\nModel: m\r\nToken-Counts: 1460,{EVENTS}\r\nPrompt-Prefix: 5c1e07a2:800,e4402b7d:660\r\nDeadline-Ms: {left}\r\n",
            tried.id
        );
        if !begun.is_empty() {
            head += &format!("Last-Event-Id: {events}\r\nResumes: {begun}\r\n");
        }
        stream.get_mut().write_all((head + "\r\nprompt").as_bytes())?;
        let mut line = String::new();
        stream.read_line(&mut line)?;
        tried.status = line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        *wait = Some(0.2);
        loop {
            line.clear();
            if stream.read_line(&mut line)? == 0 || line.trim().is_empty() {
                break;
            }
            if let Some(seconds) = line.to_ascii_lowercase().strip_prefix("retry-after:") {
                *wait = seconds.trim().parse().ok();
            }
        }
        if tried.status != 200 {
            let mut text = String::new();
            let _ = stream.read_line(&mut text);
            tried.cause = text.trim().to_owned();
            return Ok(false);
        }
        loop {
            if !self.has_trouble && begun.is_empty() && tried.id.starts_with('o') && self.now() >= BREAK_AT {
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
                if tried.id.starts_with('n') && tried.events == 8 {
                    // A new stream only has to begin.
                    return Ok(true);
                }
            }
            if line == "0\r\n" {
                return Ok(*events == EVENTS);
            }
        }
    }
}

/// Begins a stream before the first stop and takes it up again after its connection broke.
fn resuming_client(shared: &Shared, number: usize) {
    let begun_at = 0.5 + number as f64 * 0.01;
    shared.sleep_until(begun_at);
    let begun = format!("o{number}");
    let until = begun_at + DEADLINE;
    let (mut last, mut is_complete, _) = shared.attempt(&begun, number % MACHINES, "", 0, until);
    let mut last_event_at = shared.now();
    let (mut answers, mut count) = (0, 0);
    while !is_complete && last > 0 && answers < MAX_ANSWERS && shared.now() < last_event_at + GAP {
        let Some(front) = shared.resolve(number) else {
            thread::sleep(Duration::from_millis(400));
            continue;
        };
        count += 1;
        let id = format!("o{number}-{count}");
        let (events, complete, wait) = shared.attempt(&id, front, &begun, last, until);
        if events > last {
            last_event_at = shared.now();
        }
        (last, is_complete) = (events, complete);
        answers += usize::from(wait.is_some());
        thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.4)));
    }
}

/// Begins a stream once most machines are in touch again.
fn new_client(shared: &Shared, number: usize) {
    let at = NEW_AT + number as f64 * 0.02;
    shared.sleep_until(at);
    shared.attempt(&format!("n{number}"), number % MACHINES, "", 0, at + DEADLINE);
}

fn judge(folder: &Path, shared: &Shared) -> i32 {
    let mut tries = shared.tries.lock().unwrap();
    tries.sort_by(|a, b| a.at.total_cmp(&b.at));
    let (stopped, restarted) = (shared.stopped.lock().unwrap(), shared.restarted.lock().unwrap());
    // A machine is in touch if for all of `contact-ms` before it ran, and was neither told to stop nor started.
    let is_in_touch = |front: usize, at: f64| {
        let calm = |event: f64| event > at || event + CONTACT <= at;
        let is_down = stopped[front] < at && at < restarted[front];
        calm(stopped[front]) && calm(restarted[front]) && !(is_down && shared.has_trouble && stopped[front] > 0.0)
    };
    let mut resumed: Vec<(&str, bool)> = Vec::new();
    let taken_up = tries.iter().filter(|tried| tried.id.contains('-') && is_in_touch(tried.front, tried.at));
    for tried in taken_up {
        let stream = tried.id.split('-').next().unwrap_or_default();
        match resumed.iter_mut().find(|(id, _)| *id == stream) {
            Some((_, goes_on)) => *goes_on |= tried.events > 0,
            None => resumed.push((stream, tried.events > 0)),
        }
    }
    let new: Vec<&Try> = tries.iter().filter(|tried| tried.id.starts_with('n')).collect();
    let new: Vec<&Try> = new.into_iter().filter(|tried| is_in_touch(tried.front, tried.at)).collect();
    let went_on = resumed.iter().filter(|(_, goes_on)| *goes_on).count();
    let begun = new.iter().filter(|tried| tried.events > 0).count();
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    let first = format!(
        "streams taken up again at machines in touch: {}, of which {went_on} go on; new streams there: {}, of which {begun} begin",
        resumed.len(),
        new.len()
    );
    let mut record = format!("{first}\n\nmachines told to stop at {stopped:.2?} s, started again at {restarted:.2?} s\n\nsecond  attempt  machine  status  events  cause\n");
    for tried in tries.iter() {
        record += &format!("{:6.2}  {}  {}  {}  {}  {}\n", tried.at, tried.id, tried.front, tried.status, tried.events, tried.cause);
    }
    fs::write(folder.join("record.txt"), record).unwrap();
    println!("{first}");
    if resumed.len() < 12 || new.is_empty() {
        return 2;
    }
    i32::from(share(went_on, resumed.len()) < 0.5 * share(begun, new.len()))
}

fn beat(store: &Store, replicas: &[(String, SocketAddr)], beats: u64) {
    for (id, address) in replicas {
        store.put("servers", id, &crate::engine::entry("llm", *address, "v1", beats));
    }
}

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"draft\",\"host\":\"shop.example\",\"prefix\":\"/draft/\",\"kind\":\"streaming\",\"timeout-ms\":30000,\"slo-ms\":{OBJECTIVE_MS},\"priority\":1,\"service\":\"llm\",\"max-attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gap-target-ms\":300}}],\"services\":[{{\"name\":\"llm\",\"health-path\":\"/healthz\",\"max-conns\":370,\"proto\":\"h1\",\"tls\":false}}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
    )
}
