//! Callers, who send one request after another and note what they are told.

use std::io::ErrorKind;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::common::caller::Caller;
use crate::common::http::Message;
use crate::customer::Customer;
use crate::customer::TOKENS;
use crate::ledger::Kind;
use crate::ledger::Told;
use crate::world::DAEMONS;
use crate::world::FATAL;
use crate::world::World;

/// How long a caller waits for the end of an answer.
const PATIENCE: Duration = Duration::from_secs(3);
/// Replicas that may end under one request.
const ENDS: usize = 3;
/// Sends of it that may reach replicas after that: a daemon that was killed takes with it what it alone had seen.
const MAX_SENDS: usize = 3;
/// Times that it is sent to bring about what is to be seen.
const MAX_ASKS: usize = 10;
/// Seconds that no other refusal tells a caller to stay away.
const LONG_S: f64 = 3_600.0;
/// Time in which all daemons know that a replica ended: the row of one that ends is removed after 1.3 s.
const KNOWN: Duration = Duration::from_secs(3);
/// Log lines that are shown of a daemon that does not serve.
const LAST_LINES: usize = 12;
/// Bytes that are shown of what nobody asked for.
const SHOWN_BYTES: usize = 200;
/// Requests of each kind that have to be served at each daemon in the end.
const LAST_ROUND: usize = 5;

/// Sends requests until the run ends.
pub fn run(world: &World, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut number = 0;
    let mut open: [Option<Caller>; DAEMONS] = Default::default();
    while !world.ended() {
        let kind = kind(rng.random_range(0..4));
        let seat = rng.random_range(0..DAEMONS);
        let customer = Customer::of(number);
        let id = customer.id(&format!("{seed}-{number}"));
        ask(world, seat, kind, customer, &id, &mut open[seat]);
        number += 1;
        thread::sleep(Duration::from_millis(rng.random_range(1..30)));
    }
}

/// Sends the request under which replicas end, each attempt with an id of its own, until the run ends.
pub fn run_fatal(world: &World, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    while !world.ended() {
        ask_fatal(
            world,
            rng.random_range(0..DAEMONS),
            &Customer::Free.id(&rng.random::<u64>().to_string()),
        );
        thread::sleep(Duration::from_millis(rng.random_range(50..800)));
    }
}

/// Whether the request under which replicas end reaches none any more, wherever it comes, but for a few sends:
/// three have ended, or were silent for a second while at work, and the daemons were in touch for some seconds.
///
/// # Errors
/// How many it reached.
pub fn is_quarantined(world: &World) -> Result<(), String> {
    for _ in 0..MAX_ASKS {
        if world.ledger.ends() >= ENDS || is_refused_for_long(&ask_fatal(world, 0, &new_id())) {
            break;
        }
        thread::sleep(KNOWN);
    }
    let before = world.ledger.sends();
    for seat in (0..DAEMONS).cycle().take(DAEMONS * LAST_ROUND) {
        ask_fatal(world, seat, &new_id());
    }
    match world.ledger.sends() - before {
        0..=MAX_SENDS => Ok(()),
        sends => Err(format!(
            "a request under which {} replicas ended reached {sends} more; the daemons' lines of it:\n    {}",
            world.ledger.ends(),
            told_of_ends(world).join("\n    ")
        )),
    }
}

/// What the daemons logged of replicas that ended while at work.
fn told_of_ends(world: &World) -> Vec<String> {
    let kinds = ["suspect", "quarantine", "inquiry"].map(|kind| format!("\"kind\":\"{kind}\""));
    let lines = world.seats.iter().flat_map(|seat| {
        let daemon = seat.daemon.lock().unwrap();
        kinds
            .iter()
            .flat_map(|kind| daemon.logged(kind))
            .collect::<Vec<_>>()
    });
    lines.collect()
}

fn new_id() -> String {
    Customer::Free.id(&format!("fatal-{}", rand::random::<u64>()))
}

/// Whether the caller is told to stay away, as long as only a quarantined request is.
fn is_refused_for_long(told: &Message) -> bool {
    let seconds = told.header("retry-after").and_then(|s| s.parse().ok());
    told.status() == 503 && seconds.is_some_and(|seconds: f64| seconds > LONG_S)
}

fn ask_fatal(world: &World, seat: usize, id: &str) -> Message {
    let limit = PATIENCE.as_millis().to_string();
    let headers = [
        ("Request-Id", id),
        ("Deadline-Ms", &limit),
        ("Token-Counts", TOKENS),
        ("X-Api-Key", Customer::Free.key()),
    ];
    let address = world.seats[seat].callers;
    match Caller::new(address) {
        Ok(mut caller) => caller.send_and_read(&format!("POST {FATAL}"), &headers, b""),
        Err(_) => Message::default(),
    }
}

/// Whether all daemons serve every kind of request again within `limit`.
///
/// # Errors
/// What is not served.
pub fn recovers(world: &World, limit: Duration) -> Result<(), String> {
    let end = Instant::now() + limit;
    for seat in 0..DAEMONS {
        for number in 0..4 {
            let mut served = 0;
            let mut tries = 0;
            while served < LAST_ROUND {
                let id = Customer::Free.id(&format!("last-{seat}-{number}-{tries}"));
                let told = ask(world, seat, kind(number), Customer::Free, &id, &mut None);
                served += usize::from(told.status() == 200);
                tries += 1;
                if Instant::now() > end {
                    let daemon = world.seats[seat].daemon.lock().unwrap();
                    let lines = daemon.logged("").into_iter().rev().take(LAST_LINES);
                    let lines: Vec<String> = lines.collect();
                    return Err(format!(
                        "daemon {seat} does not serve {:?} ({} times) but answers `{}`; last lines, newest first:\n    {}",
                        kind(number),
                        tries,
                        told.line,
                        lines.join("\n    ")
                    ));
                }
            }
        }
    }
    Ok(())
}

const fn kind(number: usize) -> Kind {
    match number {
        0 => Kind::Once,
        1 => Kind::Draft,
        2 => Kind::Resumable,
        _ => Kind::Idempotent,
    }
}

/// Sends a request on the `open` connection, if the daemon keeps it, and keeps the one that it used.
fn ask(
    world: &World,
    seat: usize,
    kind: Kind,
    customer: Customer,
    id: &str,
    open: &mut Option<Caller>,
) -> Message {
    let line = match kind {
        Kind::Once => "POST /book/1",
        Kind::Draft => "POST /draft/1",
        Kind::Idempotent => "GET /read/1",
        Kind::Resumable => "POST /resume/1",
    };
    let address = world.seats[seat].callers;
    let begun = Instant::now();
    let limit = PATIENCE.as_millis().to_string();
    let headers = [
        ("Request-Id", id),
        ("Deadline-Ms", &limit),
        ("Token-Counts", TOKENS),
        ("X-Api-Key", customer.key()),
    ];
    let kept = open.take().filter(|caller| is_open(world, seat, caller));
    let told = match kept.map_or_else(|| Caller::new(address), Ok) {
        Ok(mut caller) => {
            let told = caller.send_and_read(line, &headers, b"");
            *open = keeps(&told).then_some(caller);
            told
        }
        Err(_) => Message::default(),
    };
    let seen = Told {
        kind,
        status: told.status(),
        whole: told.complete,
        body: String::from_utf8_lossy(&told.body).into_owned(),
        took: (begun.elapsed(), PATIENCE),
        disturbed: world.seats[seat].disturbed_since(begun),
    };
    world.ledger.told(id, seen);
    told
}

/// Whether the connection can be used after this answer.
fn keeps(told: &Message) -> bool {
    let closes = told.header("connection") == Some("close");
    told.status() != 0 && told.complete && !closes
}

/// What became of a connection on which no answer is due.
#[derive(Debug, PartialEq, Eq)]
pub enum Idle {
    /// It can be used.
    Open,
    /// The daemon closed it.
    Closed,
    /// Bytes that nobody asked for.
    Unasked(String),
}

impl Idle {
    /// Looks at the connection of `caller`.
    pub fn look(caller: &Caller) -> Self {
        let socket = &caller.socket;
        let mut bytes = [0; SHOWN_BYTES];
        let peeked = socket
            .set_nonblocking(true)
            .and_then(|()| socket.peek(&mut bytes));
        let restored = socket.set_nonblocking(false);
        match peeked {
            Ok(count @ 1..) => Self::Unasked(String::from_utf8_lossy(&bytes[..count]).into_owned()),
            Err(error) if error.kind() == ErrorKind::WouldBlock && restored.is_ok() => Self::Open,
            _ => Self::Closed,
        }
    }
}

/// Whether the connection to the daemon at `seat` can be used again.
fn is_open(world: &World, seat: usize, caller: &Caller) -> bool {
    match Idle::look(caller) {
        Idle::Open => true,
        Idle::Closed => false,
        Idle::Unasked(text) => {
            let what = format!("daemon {seat} sent `{text}`, which nobody asked for");
            world.ledger.mixed(&what);
            false
        }
    }
}
