//! ORDER: a machine that stood still while a stream began at another software version than the one that
//! it was first sent to.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::daemon;
use crate::daemon::Daemon;
use crate::store::Store;
use crate::wire;

const CLIENTS: usize = 300;
/// Streams that have to begin at another version than the one that they were first sent to.
const LEAST_MOVED: usize = 12;
/// When a machine that gets none of the requests is frozen, and when it wakes.
const FREEZE_AT: f64 = 1.0;
const THAW_AT: f64 = 5.0;
/// When the first stream is sent, and the time between two.
const SEND_AT: f64 = 1.15;
const SEND_GAP: f64 = 0.0016;
/// When one replica of four crashes, and when another one of its version is there.
const CRASH_AT: f64 = 3.0;
const BACK_AT: f64 = 5.0;
/// When connections of clients are reset, and the share of those at the one machine of three that took
/// the requests; `reset_conns` of the site has a share of 0.35 and 0.55 of the connections there.
const BREAK_AT: f64 = 7.0;
const BREAK_SHARE: f64 = 0.55;
/// Time until a replica has read a prompt, within the objective.
const PREFILL: Duration = Duration::from_millis(1_900);
const PAUSE: Duration = Duration::from_millis(250);
const EVENTS: u64 = 44;
const OBJECTIVE_MS: u64 = 2_000;
/// Clients give a stream up after the longest of 2 s, 4 times the objective and 8 times its pause.
const GAP: f64 = 8.0;
const DEADLINE: f64 = 20.0;
const MAX_ANSWERS: usize = 5;
const PAUSE_AFTER_NO_ANSWER: f64 = 0.4;
/// Time after which the entry of a replica that is silent is removed: three heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A replica with one software version, named by the data of its events.
struct Replica {
    id: String,
    version: &'static str,
    address: SocketAddr,
    connections: Mutex<Vec<TcpStream>>,
    is_down: AtomicBool,
}

/// A request that reached a replica.
struct Arrival {
    at: Instant,
    id: String,
    replica: String,
    version: &'static str,
    after: u64,
}

type Arrivals = Arc<Mutex<Vec<Arrival>>>;

impl Replica {
    fn start(id: &str, version: &'static str, arrivals: &Arrivals) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let replica = Arc::new(Self {
            id: id.to_owned(),
            version,
            address: listener.local_addr().unwrap(),
            connections: Mutex::default(),
            is_down: AtomicBool::new(false),
        });
        let (own, arrivals) = (Arc::clone(&replica), Arc::clone(arrivals));
        thread::spawn(move || {
            while !own.is_down.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                own.connections.lock().unwrap().extend(stream.try_clone());
                let (own, arrivals) = (Arc::clone(&own), Arc::clone(&arrivals));
                thread::spawn(move || own.serve(BufReader::new(stream), &arrivals));
            }
        });
        replica
    }

    /// Ends like a process that is killed: its connections and its listener are closed.
    fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: BufReader<TcpStream>, arrivals: &Arrivals) {
        while let Ok(Some(request)) = wire::read(&mut stream) {
            let own = [("Instance-Id", self.id.as_str())];
            if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
                let _ = stream.get_mut().write_all(&wire::answer(421, &own, b""));
                continue;
            }
            let Some(id) = request.header("request-id") else {
                let _ = stream.get_mut().write_all(&wire::answer(404, &own, b""));
                continue;
            };
            if request.header("stage").is_some() {
                let _ = stream.get_mut().write_all(&wire::answer(421, &own, b""));
                continue;
            }
            let after = request.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
            arrivals.lock().unwrap().push(Arrival {
                at: Instant::now(),
                id: id.to_owned(),
                replica: self.id.clone(),
                version: self.version,
                after,
            });
            if self.stream(stream.get_mut(), id, after).is_err() {
                return;
            }
        }
    }

    fn stream(&self, stream: &mut TcpStream, id: &str, after: u64) -> std::io::Result<()> {
        thread::sleep(PREFILL);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in after + 1..=EVENTS {
            let event = format!("id: {number}\ndata: {}\n\n", self.version);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes())?;
            thread::sleep(PAUSE);
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

/// One client attempt.
struct Try {
    id: String,
    stream: usize,
    at: f64,
    machine: usize,
    status: u16,
    /// Events by version, and the last one.
    events: [u64; 2],
    last: u64,
}

struct Shared {
    started: Instant,
    fronts: Vec<SocketAddr>,
    tries: Mutex<Vec<Try>>,
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    store.put("op", "config", &config());
    let arrivals: Arrivals = Arc::default();
    let start = |id: &str, version| Replica::start(id, version, &arrivals);
    let all = [start("i-1", "v1"), start("i-2", "v1"), start("i-3", "v2"), start("i-4", "v2")];
    let crashing = Arc::clone(&all[0]);
    let replicas = Arc::new(Mutex::new(all.to_vec()));
    beat(&store, &replicas, 1);
    let heart = (store.clone(), Arc::clone(&replicas));
    thread::spawn(move || {
        for beats in 2.. {
            thread::sleep(HEARTBEAT);
            beat(&heart.0, &heart.1, beats);
        }
    });
    let daemons: Vec<Daemon> = (0..3)
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
        tries: Mutex::default(),
    });
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let own = Arc::clone(&shared);
            thread::spawn(move || client(&own, number))
        })
        .collect();
    shared.sleep_until(FREEZE_AT);
    if has_trouble {
        daemons[1].signal(daemon::SIGSTOP);
    }
    shared.sleep_until(CRASH_AT);
    crashing.crash();
    shared.sleep_until(THAW_AT.min(BACK_AT));
    if has_trouble {
        daemons[1].signal(daemon::SIGCONT);
    }
    replicas.lock().unwrap().push(start("i-5", "v1"));
    shared.sleep_until(CRASH_AT + 3.0 * HEARTBEAT.as_secs_f64());
    replicas.lock().unwrap().retain(|replica| replica.id != crashing.id);
    store.remove("servers", &crashing.id);
    for client in clients {
        let _ = client.join();
    }
    judge(folder, &shared, &arrivals.lock().unwrap())
}

impl Shared {
    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    fn sleep_until(&self, at: f64) {
        thread::sleep(Duration::from_secs_f64((at - self.now()).max(0.0)));
    }
}

impl Try {
    /// Sends the request and reads its events, until the client's connection breaks if `breaks`;
    /// returns for how long the client is to wait before it comes back.
    fn read(&mut self, shared: &Shared, begun: &str, until: f64, breaks: bool) -> std::io::Result<f64> {
        let mut stream = wire::connect(shared.fronts[self.machine], Duration::from_secs_f64(GAP))?;
        let left = ((until - shared.now()) * 1_000.0).max(1.0) as u64;
        let mut head = format!(
            "POST /draft/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 6\r\nRequest-Id: {}\r\nModel: m\r\nToken-Counts: 1460,{EVENTS}\r\nPrompt-Prefix: 5c1e07a2:800,e4402b7d:660\r\nDeadline-Ms: {left}\r\n",
            self.id
        );
        if !begun.is_empty() {
            head += &format!("Last-Event-Id: {}\r\nResumes: {begun}\r\n", self.last);
        }
        stream.get_mut().write_all((head + "\r\nprompt").as_bytes())?;
        let mut wait = PAUSE_AFTER_NO_ANSWER;
        let mut line = String::new();
        stream.read_line(&mut line)?;
        self.status = line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        loop {
            line.clear();
            if stream.read_line(&mut line)? == 0 || line.trim().is_empty() {
                break;
            }
            if let Some(seconds) = line.to_ascii_lowercase().strip_prefix("retry-after:") {
                wait = seconds.trim().parse().unwrap_or(1.0);
            }
        }
        if self.status != 200 {
            return Ok(wait);
        }
        loop {
            if breaks && shared.now() >= BREAK_AT {
                return Ok(0.0);
            }
            line.clear();
            if stream.read_line(&mut line)? == 0 || line == "0\r\n" {
                return Ok(wait);
            }
            if let Some(number) = line.strip_prefix("id: ") {
                self.last = number.trim().parse().map_err(std::io::Error::other)?;
            }
            match line.trim() {
                "data: v1" => self.events[0] += 1,
                "data: v2" => self.events[1] += 1,
                _ => {}
            }
        }
    }
}

/// Begins a stream at the first machine and takes it up at the others once its connection has broken.
fn client(shared: &Shared, number: usize) {
    let at = SEND_AT + number as f64 * SEND_GAP;
    shared.sleep_until(at);
    let until = at + DEADLINE;
    let begun = format!("o{number}");
    // Spread evenly over the clients.
    let breaks = (number as f64 * BREAK_SHARE).fract() < BREAK_SHARE;
    let mut last = 0;
    for count in 0..=MAX_ANSWERS {
        let is_first = count == 0;
        let mut attempt = Try {
            id: if is_first { begun.clone() } else { format!("{begun}-{count}") },
            stream: number,
            at: shared.now(),
            machine: if is_first { 0 } else { 1 + (number + count) % 2 },
            status: 0,
            events: [0; 2],
            last,
        };
        let resumes = if is_first { "" } else { &begun };
        let wait = attempt.read(shared, resumes, until, is_first && breaks);
        last = attempt.last;
        let has_events = attempt.events != [0; 2];
        shared.tries.lock().unwrap().push(attempt);
        let is_over = if is_first { !has_events || !breaks } else { has_events };
        if is_over || last == EVENTS {
            return;
        }
        let wait = wait.unwrap_or(PAUSE_AFTER_NO_ANSWER);
        thread::sleep(Duration::from_secs_f64(wait));
    }
}

fn judge(folder: &Path, shared: &Shared, arrivals: &[Arrival]) -> i32 {
    let tries = shared.tries.lock().unwrap();
    let (mut mixed, mut moved, mut resumed) = (0, 0, 0);
    let mut record = String::new();
    for number in 0..CLIENTS {
        let own: Vec<&Try> = tries.iter().filter(|tried| tried.stream == number).collect();
        let events = |version: usize| own.iter().map(|tried| tried.events[version]).sum::<u64>();
        let id = format!("o{number}");
        let first: Vec<&Arrival> = arrivals.iter().filter(|arrival| arrival.id == id).collect();
        let is_moved = first.len() == 2
            && first[0].version != first[1].version
            && own.iter().any(|tried| tried.id == id && tried.last > 0);
        let is_mixed = events(0) > 0 && events(1) > 0;
        moved += usize::from(is_moved);
        mixed += usize::from(is_mixed);
        resumed += usize::from(own.iter().any(|tried| tried.id != id && tried.events != [0; 2]));
        record += &format!("{id}:{}\n", if is_mixed { " events of two versions" } else { "" });
        for tried in own {
            record += &format!(
                "    {:6.2} s  {} at edge-{}: {}, events of v1 {}, of v2 {}, last {}\n",
                tried.at, tried.id, tried.machine, tried.status, tried.events[0], tried.events[1], tried.last
            );
            for arrival in arrivals.iter().filter(|arrival| arrival.id == tried.id) {
                let at = arrival.at.saturating_duration_since(shared.started).as_secs_f64();
                record += &format!(
                    "        {at:6.2} s  reaches {} ({}) after event {}\n",
                    arrival.replica, arrival.version, arrival.after
                );
            }
        }
    }
    let first = format!(
        "{mixed} of {CLIENTS} streams hold events of two versions; {moved} began at another version than they were first sent to; {resumed} went on at another machine"
    );
    fs::write(folder.join("record.txt"), format!("{first}\n\n{record}")).unwrap();
    println!("{first}");
    if moved < LEAST_MOVED || resumed < CLIENTS / 4 {
        return 2;
    }
    i32::from(mixed > 2)
}

fn beat(store: &Store, replicas: &Mutex<Vec<Arc<Replica>>>, beats: u64) {
    for replica in replicas.lock().unwrap().iter() {
        if !replica.is_down.load(Ordering::SeqCst) {
            let entry = format!(
                "{{\"service\":\"llm\",\"addr\":\"{}\",\"zone\":\"here\",\"version\":\"{}\",\"slots\":120,\"state\":\"ready\",\"stage\":\"decode\",\"cold-left-ms\":0,\"seq\":{beats}}}",
                replica.address, replica.version
            );
            store.put("servers", &replica.id, &entry);
        }
    }
}

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"draft\",\"host\":\"shop.example\",\"prefix\":\"/draft/\",\"kind\":\"streaming\",\"timeout-ms\":20000,\"slo-ms\":{OBJECTIVE_MS},\"priority\":1,\"service\":\"llm\",\"max-attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gap-target-ms\":300}}],\"services\":[{{\"name\":\"llm\",\"health-path\":\"/healthz\",\"max-conns\":370,\"proto\":\"h1\",\"tls\":false}}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
    )
}
