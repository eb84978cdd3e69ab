//! TWICE: a sound replica falls silent for a second or so in the middle of a stream.

use std::fs;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::daemon::Daemon;
use crate::engine;
use crate::store::Store;
use crate::wire;

/// The silence: "a second or so"; the project's own soak goes up to 1.4 s.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Event of a stream at which its replica falls silent, once.
const SILENT_AFTER: u64 = 8;
const EVENTS: u64 = 24;
const PAUSE: Duration = Duration::from_millis(250);
/// Streams, one after the other.
const STREAMS: usize = 6;
/// For how long the replica before may work on a request that goes on elsewhere.
const ALLOWED: Duration = Duration::from_millis(400);

/// The work of one replica on one request.
struct Work {
    id: String,
    replica: String,
    from: Instant,
    to: Instant,
    first: u64,
    last: u64,
}

/// A replica: it goes on with its work while it is silent, and neither reads nor writes.
struct Replica {
    id: String,
    silent_until: Mutex<Instant>,
    has_been_silent: Arc<Mutex<Vec<String>>>,
    has_trouble: bool,
    works: Arc<Mutex<Vec<Work>>>,
}

impl Replica {
    fn wait_while_silent(&self) {
        loop {
            let until = *self.silent_until.lock().unwrap();
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            thread::sleep(left);
        }
    }

    fn serve(&self, mut stream: BufReader<TcpStream>) {
        while let Ok(Some(request)) = wire::read(&mut stream) {
            self.wait_while_silent();
            let own = [("Instance-Id", self.id.as_str())];
            if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
                let _ = stream.get_mut().write_all(&wire::answer(421, &own, b""));
                continue;
            }
            let Some(id) = request.header("request-id").map(str::to_owned) else {
                let _ = stream.get_mut().write_all(&wire::answer(404, &own, b""));
                continue;
            };
            let after = request.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
            let from = Instant::now();
            let (is_complete, last) = self.stream(stream.get_mut(), &id, after);
            self.works.lock().unwrap().push(Work {
                id,
                replica: self.id.clone(),
                from,
                to: Instant::now(),
                first: after + 1,
                last,
            });
            if !is_complete {
                return;
            }
        }
    }

    /// Makes the events of a stream; returns whether it is complete, and the last event.
    fn stream(&self, stream: &mut TcpStream, id: &str, after: u64) -> (bool, u64) {
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return (false, after);
        }
        let mut made = after;
        while made < EVENTS {
            thread::sleep(PAUSE);
            let first = made + 1;
            made += 1;
            let begun = Instant::now();
            self.wait_while_silent();
            // Events that were made during the silence.
            made = EVENTS.min(made + (begun.elapsed().as_millis() / PAUSE.as_millis()) as u64);
            // In one write; the next one fails if the connection was closed.
            let events: String = (first..=made)
                .map(|number| {
                    let event = format!("id: {number}\ndata: event {number}\n\n");
                    format!("{:x}\r\n{event}\r\n", event.len())
                })
                .collect();
            if stream.write_all(events.as_bytes()).is_err() {
                return (false, made);
            }
            if made >= SILENT_AFTER && after == 0 && self.has_trouble {
                let mut silent = self.has_been_silent.lock().unwrap();
                if !silent.iter().any(|other| other == id) {
                    silent.push(id.to_owned());
                    *self.silent_until.lock().unwrap() = Instant::now() + SILENCE;
                }
            }
        }
        (stream.write_all(b"0\r\n\r\n").is_ok(), made)
    }
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    store.put("op", "config", &config());
    let works: Arc<Mutex<Vec<Work>>> = Arc::default();
    let has_been_silent: Arc<Mutex<Vec<String>>> = Arc::default();
    let replicas: Vec<(String, SocketAddr)> = (1..=3)
        .map(|number| {
            let id = format!("i-{number}");
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let replica = Arc::new(Replica {
                id: id.clone(),
                silent_until: Mutex::new(Instant::now()),
                has_been_silent: Arc::clone(&has_been_silent),
                has_trouble,
                works: Arc::clone(&works),
            });
            wire::serve(listener, move |stream| replica.serve(stream));
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
    let daemons: Vec<Daemon> = (0..3)
        .map(|number| Daemon::start(folder, number, "here", store.address, 7_380, ""))
        .collect();
    if !daemons.iter().all(Daemon::wait_until_ready) {
        eprintln!("the daemons did not get ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    let started = Instant::now();
    let mut answers = Vec::new();
    for number in 0..STREAMS {
        let id = format!("s{number}");
        let events = read_stream(daemons[number % 3].callers, &id);
        answers.push((id, events));
        thread::sleep(Duration::from_secs(1));
    }
    judge(folder, started, &answers, &works.lock().unwrap())
}

/// Sends a generation; returns the ids of its events, or why it broke off.
fn read_stream(front: SocketAddr, id: &str) -> Result<usize, String> {
    let mut stream = wire::connect(front, Duration::from_secs(4)).map_err(|error| error.to_string())?;
    let headers = [
        ("Host", "shop.example"),
        ("Request-Id", id),
        ("Model", "m"),
        ("Token-Counts", "1460,40"),
        ("Prompt-Prefix", "5c1e07a2:800,e4402b7d:660"),
        ("Deadline-Ms", "14000"),
    ];
    let answer = wire::call(&mut stream, "POST /draft/x", &headers, b"prompt");
    let answer = answer.map_err(|error| error.to_string())?;
    if answer.status() != 200 {
        return Err(format!("status {}", answer.status()));
    }
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    Ok(text.lines().filter(|line| line.starts_with("id: ")).count())
}

fn judge(folder: &Path, started: Instant, answers: &[(String, Result<usize, String>)], works: &[Work]) -> i32 {
    let seconds = |at: Instant| at.saturating_duration_since(started).as_secs_f64();
    let mut record = String::new();
    let mut broken = 0;
    for (id, answer) in answers {
        let mut own: Vec<&Work> = works.iter().filter(|work| work.id == *id).collect();
        own.sort_by_key(|work| work.from);
        for pair in own.windows(2) {
            if pair[0].to.saturating_duration_since(pair[1].from) > ALLOWED {
                broken += 1;
            }
        }
        record += &format!("{id}: {answer:?}\n");
        for work in own {
            record += &format!(
                "    {} works from {:.3} to {:.3} s, events {} to {}\n",
                work.replica,
                seconds(work.from),
                seconds(work.to),
                work.first,
                work.last
            );
        }
    }
    let first = format!("{broken} of {} streams went on elsewhere while the replica before worked on them for over 400 ms", answers.len());
    fs::write(folder.join("record.txt"), format!("{first}\n\n{record}")).unwrap();
    println!("{first}");
    i32::from(broken > 0)
}

fn beat(store: &Store, replicas: &[(String, SocketAddr)], beats: u64) {
    for (id, address) in replicas {
        store.put("servers", id, &engine::entry("llm", *address, "v1", beats));
    }
}

fn config() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"draft\",\"host\":\"shop.example\",\"prefix\":\"/draft/\",\"kind\":\"streaming\",\"timeout-ms\":14000,\"slo-ms\":900,\"priority\":1,\"service\":\"llm\",\"max-attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gap-target-ms\":300}],\"services\":[{\"name\":\"llm\",\"health-path\":\"/healthz\",\"max-conns\":370,\"proto\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}".to_owned()
}
