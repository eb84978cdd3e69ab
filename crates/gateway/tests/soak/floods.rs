//! Bytes without end that are no answer, from replicas, and no request, from callers.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::callers;
use crate::cluster::Cluster;
use crate::cluster::DAEMONS;
use crate::cluster::Instance;
use crate::common::caller::Caller;
use crate::common::http;
use crate::common::http::Message;
use crate::common::replica::Action;
use crate::common::replica::chunk;
use crate::common::replica::signed_answer;
use crate::common::replica::stream_head;
use crate::customer::Customer;
use crate::history::Kind;
use crate::script;

/// Longest time in which the readiness of a daemon is answered.
const READINESS_BOUND: Duration = Duration::from_secs(1);
/// Memory of a daemon in MB, as on the smallest machines.
pub const MEMORY_MB: u64 = 110;
/// Peak memory of a daemon in KiB.
const MAX_MEMORY_KIB: u64 = MEMORY_MB * 1_000_000 / 1024;
/// Interval at which readiness and memory are measured.
const INTERVAL: Duration = Duration::from_millis(100);
/// Fraction of the answers to ordinary requests and of those to control calls that are floods.
const FRACTION: f64 = 0.01;
/// Part of the ids of requests that all replicas answer with floods; the number of the flood follows.
const FLOOD_ID: &str = "-flood-";
/// Pause after each few bytes of a slow flood.
const SLOW_PAUSE: Duration = Duration::from_millis(20);
/// Pieces in a chunk of a fast flood.
const FAST_PIECES: usize = 1_000;
/// Events of a stream before a flood.
const EVENTS_BEFORE: u64 = 3;
/// Most requests of one burst.
const MAX_REQUESTS: usize = 24;
/// Connections of one flood of a caller, and how long it goes on at most.
const CALLER_CONNECTIONS: usize = 4;
const CALLER_TIME: Duration = Duration::from_secs(1);
/// Most bytes without a whole event that a caller of a stream may get.
pub const MAX_EXTRA_BYTES: usize = 1024 * 1024;

/// Bytes that a replica sends without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flood {
    /// Heads of interim answers.
    InterimHeads,
    /// A field of a head.
    HeadField,
    /// Digits of a chunk size.
    ChunkSize,
    /// The body of a signed answer.
    Body,
    /// The body of a signed answer that says that the request failed.
    ErrorBody,
    /// A line of a stream.
    Line,
    /// Comments of a stream.
    Comments,
    /// Fields of an event that does not end.
    Fields,
    /// Bytes behind a whole answer.
    LateBytes,
}

/// Floods of calls, and of streams.
const CALL_FLOODS: [Flood; 6] = [
    Flood::InterimHeads,
    Flood::HeadField,
    Flood::ChunkSize,
    Flood::Body,
    Flood::ErrorBody,
    Flood::LateBytes,
];
const STREAM_FLOODS: [Flood; 6] = [
    Flood::InterimHeads,
    Flood::HeadField,
    Flood::ChunkSize,
    Flood::Line,
    Flood::Comments,
    Flood::Fields,
];

/// Observations of one run.
#[derive(Debug, Default)]
pub struct Floods {
    /// Floods that replicas began, and those that callers began.
    begun: AtomicUsize,
    sent: AtomicUsize,
    /// Daemons whose readiness was answered too late, and after what time.
    late: Mutex<Vec<(usize, Duration)>>,
    /// Longest time in which the readiness of a daemon that was not disturbed was answered.
    longest: Mutex<Duration>,
    /// Highest peak of memory of a daemon in KiB.
    peak_kib: Mutex<u64>,
}

/// The flood that a replica of `stage` sends in place of `action`, its answer to `request`; `draw` decides for requests
/// that do not ask for one.
pub fn replace(
    action: Action,
    (stage, version): (&str, &str),
    request: &Message,
    draw: Option<f64>,
) -> Action {
    let floods: &[Flood] = match stage {
        "decode" => &STREAM_FLOODS,
        _ => &CALL_FLOODS,
    };
    let id = request.header("request-id").unwrap_or_default();
    let asked = id
        .split_once(FLOOD_ID)
        .and_then(|(_, rest)| rest.split('-').next()?.parse::<usize>().ok());
    let drawn = draw
        .filter(|draw| *draw < FRACTION)
        .map(|draw| (draw / FRACTION * (2 * floods.len()) as f64) as usize);
    let Some(number) = asked.or(drawn) else {
        return action;
    };
    let is_slow = number / floods.len() % 2 == 1;
    let pause = if is_slow { SLOW_PAUSE } else { Duration::ZERO };
    let pieces = if is_slow { 1 } else { FAST_PIECES };
    let flood = floods[number % floods.len()];
    let (first, repeated) = pour(flood, pieces, &action, request, version);
    Action::SendWithoutEnd(first, repeated, pause)
}

/// What is sent in place of `action` or, if the flood follows a whole answer, behind it: once, and then without end.
/// A chunk of the flood holds that many `pieces`.
fn pour(
    flood: Flood,
    pieces: usize,
    action: &Action,
    request: &Message,
    version: &str,
) -> (Vec<u8>, Vec<u8>) {
    let id = request.header("request-id").unwrap_or_default();
    let last_event: u64 = request
        .header("last-event-id")
        .map_or(0, |id| id.parse().unwrap());
    let numbers = last_event + 1..=last_event + EVENTS_BEFORE;
    let events = numbers.map(|number| script::event(number, id, version));
    let stream = [stream_head(request), events.collect::<Vec<_>>().concat()].concat();
    match flood {
        Flood::InterimHeads => (Vec::new(), b"HTTP/1.1 100 Continue\r\n\r\n".to_vec()),
        Flood::HeadField => (b"HTTP/1.1 200 OK\r\nx: ".to_vec(), b"a".to_vec()),
        Flood::ChunkSize => (stream, b"0".to_vec()),
        Flood::Body => (stream_head(request), chunk(&b"x".repeat(pieces))),
        Flood::ErrorBody => {
            let head = String::from_utf8_lossy(&stream_head(request)).replacen("200", "500", 1);
            (head.into_bytes(), chunk(&b"x".repeat(pieces)))
        }
        Flood::Line => (stream, chunk(&b"x".repeat(pieces))),
        Flood::Comments => (stream, chunk(&b": c\n\n".repeat(pieces))),
        Flood::Fields => (stream, chunk(&b"data: t\n".repeat(pieces))),
        Flood::LateBytes => (whole_answer(action, request), b"x".to_vec()),
    }
}

/// The bytes of `action`, or of another answer if it sends none or not all.
fn whole_answer(action: &Action, request: &Message) -> Vec<u8> {
    match action {
        Action::Send(bytes) => bytes.clone(),
        Action::SendSlowly(parts, _) => parts.concat(),
        _ => {
            let id = request.header("request-id").unwrap_or_default();
            signed_answer(request, 200, id.as_bytes())
        }
    }
}

/// Whether the answer of `action` is broken off by its flood: bytes behind a whole answer break nothing off.
pub fn breaks_off(action: &Action) -> bool {
    let is_whole = |first: &Vec<u8>| String::from_utf8_lossy(first).contains("content-length: ");
    matches!(action, Action::SendWithoutEnd(first, ..) if !is_whole(first))
}

impl Floods {
    /// Counts a flood of a replica.
    pub fn record(&self, action: &Action) {
        let is_flood = matches!(action, Action::SendWithoutEnd(..));
        self.begun
            .fetch_add(usize::from(is_flood), Ordering::SeqCst);
    }

    /// Numbers for the summary.
    pub fn summary(&self) -> String {
        format!(
            "{} floods of replicas, {} of callers, readiness answered within {:?}, peak memory {} KiB",
            self.begun.load(Ordering::SeqCst),
            self.sent.load(Ordering::SeqCst),
            self.longest.lock().unwrap(),
            self.peak_kib.lock().unwrap(),
        )
    }

    /// Messages about daemons that answered late or took too much memory.
    pub fn violations(&self) -> Vec<String> {
        let late = self.late.lock().unwrap();
        let worst = late.iter().max_by_key(|(_, elapsed)| *elapsed);
        let late = worst.map(|(daemon, elapsed)| {
            let count = late.len();
            format!(
                "READY: daemon {daemon} answered after {elapsed:?}, {count} late answers in all"
            )
        });
        let peak = *self.peak_kib.lock().unwrap();
        let memory = (peak > MAX_MEMORY_KIB)
            .then(|| format!("MEMORY: a daemon took {peak} KiB of {MAX_MEMORY_KIB}"));
        late.into_iter().chain(memory).collect()
    }

    /// Measures readiness and memory of the daemon `number` until the callers that keep connections idle are stopped.
    pub fn watch(&self, cluster: &Cluster, number: usize) {
        let instance = &cluster.instances[number];
        while !cluster.idle_callers_stopped() {
            let Some(readiness) = self.measure_memory(instance) else {
                thread::sleep(INTERVAL);
                continue;
            };
            let start = Instant::now();
            let is_answered = is_answered(readiness);
            let elapsed = start.elapsed();
            let is_excused = instance.is_stopping() || instance.was_disturbed_since(start);
            if !is_excused {
                let mut longest = self.longest.lock().unwrap();
                *longest = elapsed.max(*longest);
            }
            if !is_excused && (elapsed > READINESS_BOUND || !is_answered) {
                self.late.lock().unwrap().push((number, elapsed));
            }
            thread::sleep(INTERVAL);
        }
    }

    /// Reads the peak memory of its process; returns the address of its readiness. `None` while it is paused or replaced.
    fn measure_memory(&self, instance: &Instance) -> Option<SocketAddr> {
        let daemon = instance.daemon.try_lock().ok()?;
        let status =
            fs::read_to_string(format!("/proc/{}/status", daemon.pid().as_raw_pid())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib: Option<u64> = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        let mut peak = self.peak_kib.lock().unwrap();
        *peak = kib.unwrap_or_default().max(*peak);
        Some(daemon.readiness_address())
    }
}

/// Whether the readiness at `address` is answered, by whatever status.
fn is_answered(address: SocketAddr) -> bool {
    let answer = |mut caller: Caller| caller.send_and_read("GET /api/readyz", &[], b"");
    Caller::new(address).is_ok_and(|caller| answer(caller).status() != 0)
}

/// Starts bursts of requests that are answered with floods, and floods of callers, until `end`. They have draws of their
/// own, so that a seed keeps the other faults that it had.
pub fn start(cluster: &Cluster, seed: u64, end: Instant) -> JoinHandle<()> {
    let cluster = cluster.clone();
    thread::spawn(move || run(&cluster, seed ^ 0xf100d, end))
}

fn run(cluster: &Cluster, seed: u64, end: Instant) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut running = Vec::new();
    cluster.set_flooding(true);
    for burst in 0.. {
        thread::sleep(Duration::from_millis(rng.random_range(200..1_500)));
        if Instant::now() > end {
            break;
        }
        let instance = rng.random_range(0..DAEMONS);
        let kind = [Some(Kind::Idempotent), Some(Kind::Resumable), None][rng.random_range(0..3)];
        let flood = rng.random_range(0..2 * CALL_FLOODS.len());
        let count = rng.random_range(4..=MAX_REQUESTS);
        let Some(kind) = kind else {
            for _ in 0..CALLER_CONNECTIONS {
                let cluster = cluster.clone();
                running.push(thread::spawn(move || {
                    pour_as_caller(&cluster, instance, flood);
                }));
            }
            continue;
        };
        for number in 0..count {
            let cluster = cluster.clone();
            let id = format!("{seed}{FLOOD_ID}{flood}-{burst}-{number}");
            running.push(thread::spawn(move || {
                let (customer, id) = (Customer::Unlimited, Customer::Unlimited.id(&id));
                callers::send_request(&cluster, instance, kind, customer, &id, &mut None);
            }));
        }
    }
    cluster.set_flooding(false);
    for thread in running {
        thread.join().unwrap();
    }
}

/// Sends a head or a chunk size without end, until the daemon closes the connection or `CALLER_TIME` has passed.
fn pour_as_caller(cluster: &Cluster, instance: usize, number: usize) {
    let Ok(mut caller) = Caller::new(cluster.instances[instance].callers) else {
        return;
    };
    cluster.floods.sent.fetch_add(1, Ordering::SeqCst);
    let key = Customer::Unlimited.key();
    let id = Customer::Unlimited.id(&format!("pour-{}", rand::random::<u64>()));
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nhost: shop.example\r\nrequest-id: {id}\r\nx-api-key: {key}\r\n"
    );
    let (first, repeated) = match number % 2 {
        0 => (format!("{head}transfer-encoding: chunked\r\n\r\n"), "0"),
        _ => (format!("{head}x: "), "a"),
    };
    let end = Instant::now() + CALLER_TIME;
    let repeated = repeated.repeat(64 * 1024);
    let _ = caller.socket.set_write_timeout(Some(CALLER_TIME));
    let mut is_open = http::send(&mut caller.socket, first.as_bytes());
    while is_open && Instant::now() < end {
        is_open = caller.socket.write_all(repeated.as_bytes()).is_ok();
    }
}
