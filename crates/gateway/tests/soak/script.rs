//! What replicas do, by chance.

use std::sync::Mutex;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use crate::common::http::Message;
use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::SecondAnswer;
use crate::common::replica::chunk;
use crate::common::replica::not_run_answer;
use crate::common::replica::signed_answer;
use crate::common::replica::stream_head;
use crate::ledger::EVENTS;
use crate::ledger::Ledger;

/// Part of the answers that come twice.
const DOUBLED: f64 = 0.1;
/// Longest time in ms after which a second answer comes by itself.
const MAX_LATE_MS: f64 = 50.0;
/// Part of the answers that bear the id of no request.
const STRAY: f64 = 0.02;
/// Id of no request.
const NOBODY: &str = "nobody";
/// A draw at which a replica serves as it should.
const NO_FAULT: f64 = 1.0;

/// The draws of one replica.
pub struct Chance {
    rng: Mutex<(Pcg64Mcg, Pcg64Mcg)>,
    calm: bool,
}

impl Chance {
    /// Draws by `seed`; nothing goes wrong if `calm`.
    pub fn new(seed: u64, calm: bool) -> Self {
        let rngs = (
            Pcg64Mcg::seed_from_u64(seed),
            Pcg64Mcg::seed_from_u64(seed.wrapping_mul(31).wrapping_add(7)),
        );
        Self {
            rng: Mutex::new(rngs),
            calm,
        }
    }

    /// Two numbers from 0 to 1.
    pub fn draw(&self) -> (f64, f64) {
        if self.calm {
            return (NO_FAULT, NO_FAULT);
        }
        let mut rng = self.rng.lock().unwrap();
        (rng.0.random(), rng.1.random())
    }
}

/// How the second answer to a request comes, if there is one.
pub fn second((draw, way): (f64, f64)) -> Option<SecondAnswer> {
    let wait = Duration::from_millis(1 + (draw / DOUBLED * (MAX_LATE_MS - 1.0)) as u64);
    let (wait, parts) = match way {
        way if way < 0.5 => (None, 1),
        way if way < 0.8 => (Some(wait), 1),
        _ => (Some(wait), 2),
    };
    (draw < DOUBLED).then_some(SecondAnswer { delay: wait, parts })
}

/// Name of the KV cache of the request `id`.
pub fn handle(id: &str) -> String {
    format!("k-{id}")
}

/// What a replica does with `request`; `odd` draws answers that are no proper ones.
pub fn serve(ledger: &Ledger, stage: &str, request: &Message, (draw, odd): (f64, f64)) -> Action {
    if let Some(act) = own_call(request) {
        return act;
    }
    let act = match stage {
        "prefill" => return stray(read(request, draw), odd),
        _ if draw < 0.06 => return stray(Action::Send(not_run_answer(request)), odd),
        "decode" => generate(request, draw),
        _ => call(request, draw, odd),
    };
    ledger.ran(id(request));
    stray(act, odd)
}

/// The answer to a call of the platform's own, which names no request.
fn own_call(request: &Message) -> Option<Action> {
    match request.path() {
        "/api/order" => Some(Action::Send(answer(202, &[], b""))),
        "/api/kv-move" => Some(Action::Send(answer(404, &[], b""))),
        path if path.starts_with("/api/") => Some(Action::Send(answer(200, &[], b""))),
        _ => None,
    }
}

fn id(request: &Message) -> &str {
    request.header("request-id").unwrap_or_default()
}

/// Reads a prompt.
fn read(request: &Message, draw: f64) -> Action {
    let told = json!({"kv-handle": handle(id(request)), "tokens": 1, "version": 1}).to_string();
    let bytes = answer(200, &[("request-id", id(request))], told.as_bytes());
    match draw {
        d if d < 0.05 => Action::Send(not_run_answer(request)),
        d if d < 0.08 => Action::SendAndClose(Vec::new()),
        d if d < 0.10 => Action::SendAndClose(bytes[..bytes.len() - 1].to_vec()),
        d if d < 0.12 => Action::Send(answer(421, &[("request-id", id(request))], b"")),
        _ => Action::Send(bytes),
    }
}

/// Streams the events of a generation.
fn generate(request: &Message, draw: f64) -> Action {
    let last: u64 = request
        .header("last-event-id")
        .map_or(0, |id| id.parse().unwrap());
    let broken = draw < 0.12 && last + 5 < EVENTS;
    let end = if broken { last + 5 } else { EVENTS };
    let mut parts = vec![stream_head(request)];
    parts.extend((last + 1..=end).map(|number| event(number, id(request))));
    if broken {
        return Action::SendAndClose(parts.concat());
    }
    parts.push(chunk(b""));
    Action::SendSlowly(parts, Duration::from_millis(5))
}

/// Answers a call.
fn call(request: &Message, draw: f64, odd: f64) -> Action {
    let slow = Duration::from_millis((draw * 100.0) as u64);
    let bytes = signed_answer(request, 200, id(request).as_bytes());
    match draw {
        d if d < 0.08 => Action::SendAndClose(Vec::new()),
        d if d < 0.10 => Action::SendAndClose(bytes[..40].to_vec()),
        d if d < 0.16 => Action::Send(signed_answer(request, 500, b"failure")),
        _ if odd > 0.96 && odd < 0.98 => Action::SendAndClose(bytes[..bytes.len() - 1].to_vec()),
        _ if odd > 0.98 && odd < 1.0 => Action::SendAndClose(without_length(&bytes)),
        _ => Action::SendSlowly(vec![bytes], slow),
    }
}

/// The same answer, whose end is that of its connection.
fn without_length(answer: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(answer);
    let lines = text.split_inclusive("\r\n");
    let kept = lines.filter(|line| !line.starts_with("content-length"));
    kept.collect::<String>().into_bytes()
}

/// The same answer with the id of no request, by chance.
fn stray(act: Action, odd: f64) -> Action {
    match act {
        Action::Send(bytes) if odd < STRAY => Action::Send(renamed(&bytes)),
        Action::SendSlowly(mut parts, pause) if odd < STRAY => {
            parts[0] = renamed(&parts[0]);
            Action::SendSlowly(parts, pause)
        }
        act => act,
    }
}

fn renamed(answer: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(answer);
    let lines = text.split_inclusive("\r\n");
    let lines = lines.map(|line| match line {
        line if line.starts_with("request-id: ") => format!("request-id: {NOBODY}\r\n"),
        line => line.to_owned(),
    });
    lines.collect::<String>().into_bytes()
}

/// One event of the stream of the request `id`, as one chunk.
fn event(number: u64, id: &str) -> Vec<u8> {
    chunk(format!("id: {number}\ndata: {id}\n\n").as_bytes())
}
