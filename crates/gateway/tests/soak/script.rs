//! Random behaviour of scripted replicas.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

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
use crate::common::replica::stream_head_without_length;
use crate::history::History;
use crate::history::STREAM_EVENTS;

/// Fraction of the answers that are sent twice.
const SECOND_ANSWER_FRACTION: f64 = 0.1;
/// Longest delay in ms of a second answer that does not wait for the next request.
const MAX_SECOND_ANSWER_DELAY_MS: f64 = 50.0;
/// Fraction of the answers that have an unknown request id.
const UNKNOWN_ID_FRACTION: f64 = 0.02;
/// Request id that no request has.
const UNKNOWN_ID: &str = "nobody";
/// Software versions that serve side by side; each replacement of a replica may bring another one.
const VERSIONS: [&str; 2] = ["v1", "v1.1"];
/// Fraction of the streams that are sent in chunks.
const CHUNKED_FRACTION: f64 = 0.9;
/// Part of the ids of requests that check whether daemons serve again.
const RECOVERY_ID: &str = "-last-";
/// Draw above which a stream is long enough for daemons to measure the pace of its replica.
const LONG_FRACTION: f64 = 0.85;
/// Pause before each event of a stream.
const PAUSE: Duration = Duration::from_millis(5);
/// Pause before each event of a long stream.
const LONG_PAUSE: Duration = Duration::from_millis(26);
/// Time for which a replica with an odd number is slow, and then as fast as usual.
const SPELL: Duration = Duration::from_millis(700);
/// Percentage of its usual time that a replica takes, and says so.
const USUAL: u32 = 100;
/// Percentage of its usual time that a slow replica takes, and says so.
const SLOW: u32 = 250;
/// A draw at which a replica behaves correctly.
const NO_FAULT: f64 = 1.0;

/// Random numbers that decide the behaviour of one replica.
pub struct RandomSource {
    rng: Mutex<(Pcg64Mcg, Pcg64Mcg)>,
    fault_free: bool,
}

impl RandomSource {
    /// Creates a source from `seed`; if `fault_free`, it always draws `NO_FAULT`.
    pub fn new(seed: u64, fault_free: bool) -> Self {
        let rngs = (
            Pcg64Mcg::seed_from_u64(seed),
            Pcg64Mcg::seed_from_u64(seed.wrapping_mul(31).wrapping_add(7)),
        );
        Self {
            rng: Mutex::new(rngs),
            fault_free,
        }
    }

    /// Draws two numbers between 0 and 1.
    pub fn draw(&self) -> (f64, f64) {
        if self.fault_free {
            return (NO_FAULT, NO_FAULT);
        }
        let mut rng = self.rng.lock().unwrap();
        (rng.0.random(), rng.1.random())
    }
}

/// Decides whether and how a request is answered a second time.
pub fn second_answer((draw, timing_draw): (f64, f64)) -> Option<SecondAnswer> {
    let wait = Duration::from_millis(
        1 + (draw / SECOND_ANSWER_FRACTION * (MAX_SECOND_ANSWER_DELAY_MS - 1.0)) as u64,
    );
    let (wait, parts) = match timing_draw {
        timing_draw if timing_draw < 0.5 => (None, 1),
        timing_draw if timing_draw < 0.8 => (Some(wait), 1),
        _ => (Some(wait), 2),
    };
    (draw < SECOND_ANSWER_FRACTION).then_some(SecondAnswer { delay: wait, parts })
}

/// Handle of the KV cache of the request `id`.
pub fn cache_handle(id: &str) -> String {
    format!("k-{id}")
}

/// Chooses how a replica handles `request`; `malformed_draw` decides whether its answer is malformed.
pub fn choose_action(
    history: &History,
    (stage, version): (&str, &str),
    request: &Message,
    (draw, malformed_draw): (f64, f64),
) -> Action {
    if let Some(action) = answer_control_call(request) {
        return action;
    }
    let action = match stage {
        "prefill" => return maybe_replace_id(prefill(request, draw), malformed_draw),
        _ if draw < 0.06 => {
            return maybe_replace_id(Action::Send(not_run_answer(request)), malformed_draw);
        }
        "decode" => generate(request, version, draw, malformed_draw),
        _ => answer_call(request, draw, malformed_draw),
    };
    history.record_run(request_id(request));
    maybe_replace_id(action, malformed_draw)
}

/// Adds a header line to the answer of `Send`, `SendAndClose`, `SendSlowly` and `SendWithoutEnd`; other actions stay
/// unchanged.
pub fn add_header(action: Action, line: &str) -> Action {
    let insert = |answer: &[u8]| {
        let text = String::from_utf8_lossy(answer);
        let line = format!("\r\n{line}\r\n");
        text.replacen("\r\n", &line, 1).into_bytes()
    };
    match action {
        Action::Send(bytes) => Action::Send(insert(&bytes)),
        Action::SendAndClose(bytes) => Action::SendAndClose(insert(&bytes)),
        Action::SendSlowly(mut parts, pause) => {
            parts[0] = insert(&parts[0]);
            Action::SendSlowly(parts, pause)
        }
        Action::SendWithoutEnd(first, repeated, pause) => {
            Action::SendWithoutEnd(insert(&first), repeated, pause)
        }
        action => action,
    }
}

/// Percentage of its usual time that the replica with this number takes, `elapsed` after its start.
pub fn slowdown(number: u64, elapsed: Duration) -> u32 {
    let spell = elapsed.as_millis() / SPELL.as_millis() + u128::from(number / 2);
    if number % 2 == 1 && spell.is_multiple_of(2) {
        SLOW
    } else {
        USUAL
    }
}

/// The load that a replica names in its answers.
fn load(slowdown: u32) -> String {
    format!("1,0,8,{slowdown}")
}

/// Lets an answer take `slowdown` percent of its time and say so.
pub fn slow_down(action: Action, slowdown: u32) -> Action {
    let line = format!("server-load: {}", load(slowdown));
    match add_header(without_load(action), &line) {
        Action::SendSlowly(parts, pause) => Action::SendSlowly(parts, pause * slowdown / USUAL),
        action => action,
    }
}

/// Removes the load from an answer that is sent whole.
fn without_load(action: Action) -> Action {
    match action {
        Action::Send(bytes) => Action::Send(without_header(&bytes, "server-load")),
        Action::SendAndClose(bytes) => Action::SendAndClose(without_header(&bytes, "server-load")),
        Action::SendSlowly(mut parts, pause) => {
            parts[0] = without_header(&parts[0], "server-load");
            Action::SendSlowly(parts, pause)
        }
        action => action,
    }
}

/// Answers reservations at the replica with this number, which started at `started`, with its load.
pub fn reservations(number: u64, started: Instant) -> impl Fn(&Message) -> Option<Vec<u8>> {
    let count = AtomicU64::new(0);
    move |call| {
        if call.path() != "/api/hold-take" {
            return None;
        }
        let hold = count.fetch_add(1, Ordering::SeqCst) + 1;
        let body = json!({"hold": format!("h{hold}")}).to_string();
        let load = load(slowdown(number, started.elapsed()));
        Some(answer(200, &[("server-load", &load)], body.as_bytes()))
    }
}

/// Answers a control call of a daemon, which has no request id.
fn answer_control_call(request: &Message) -> Option<Action> {
    match request.path() {
        "/api/order" => Some(Action::Send(answer(202, &[], b""))),
        "/api/kv-move" => Some(Action::Send(answer(404, &[], b""))),
        path if path.starts_with("/api/") => Some(Action::Send(answer(200, &[], b""))),
        _ => None,
    }
}

fn request_id(request: &Message) -> &str {
    request.header("request-id").unwrap_or_default()
}

/// Prefills a prompt.
fn prefill(request: &Message, draw: f64) -> Action {
    let body = json!({"kv-handle": cache_handle(request_id(request)), "tokens": 1, "version": 1})
        .to_string();
    let bytes = answer(200, &[("request-id", request_id(request))], body.as_bytes());
    match draw {
        d if d < 0.05 => Action::Send(not_run_answer(request)),
        d if d < 0.08 => Action::SendAndClose(Vec::new()),
        d if d < 0.10 => Action::SendAndClose(bytes[..bytes.len() - 1].to_vec()),
        d if d < 0.12 => Action::Send(answer(421, &[("request-id", request_id(request))], b"")),
        _ => Action::Send(bytes),
    }
}

/// Streams the events of a generation, which name the software version that wrote them. Some streams have neither a
/// length nor chunks, and are cut within an event.
fn generate(request: &Message, version: &str, draw: f64, malformed_draw: f64) -> Action {
    let last_id: u64 = request
        .header("last-event-id")
        .map_or(0, |id| id.parse().unwrap());
    let is_cut = draw < 0.12 && last_id + 5 < STREAM_EVENTS;
    let end = if is_cut { last_id + 5 } else { STREAM_EVENTS };
    let numbers = last_id + 1..=end;
    if malformed_draw > CHUNKED_FRACTION && malformed_draw < NO_FAULT {
        let events = numbers.map(|number| event_text(number, request_id(request), version));
        let mut bytes = [
            stream_head_without_length(request),
            events.collect::<String>().into(),
        ]
        .concat();
        if is_cut {
            bytes.truncate(bytes.len() - 3);
        }
        return Action::SendAndClose(bytes);
    }
    let mut parts = vec![stream_head(request)];
    parts.extend(numbers.map(|number| event(number, request_id(request), version)));
    if is_cut {
        return Action::SendAndClose(parts.concat());
    }
    parts.push(chunk(b""));
    // The time for recovery is that of daemons, not of streams that take long by this script.
    let is_recovery = request_id(request).contains(RECOVERY_ID);
    let is_long = draw > LONG_FRACTION && draw < NO_FAULT && !is_recovery;
    let pause = if is_long { LONG_PAUSE } else { PAUSE };
    Action::SendSlowly(parts, pause)
}

/// Answers a call.
fn answer_call(request: &Message, draw: f64, malformed_draw: f64) -> Action {
    let delay = Duration::from_millis((draw * 100.0) as u64);
    let bytes = signed_answer(request, 200, request_id(request).as_bytes());
    match draw {
        d if d < 0.08 => Action::SendAndClose(Vec::new()),
        d if d < 0.10 => Action::SendAndClose(bytes[..40].to_vec()),
        d if d < 0.16 => Action::Send(signed_answer(request, 500, b"failure")),
        _ if malformed_draw > 0.96 && malformed_draw < 0.98 => {
            Action::SendAndClose(bytes[..bytes.len() - 1].to_vec())
        }
        _ if malformed_draw > 0.98 && malformed_draw < 1.0 => {
            Action::SendAndClose(without_header(&bytes, "content-length"))
        }
        _ => Action::SendSlowly(vec![bytes], delay),
    }
}

/// Removes the header `name` of `answer`; without its length, the answer ends with the connection.
fn without_header(answer: &[u8], name: &str) -> Vec<u8> {
    let text = String::from_utf8_lossy(answer);
    let lines = text.split_inclusive("\r\n");
    let kept = lines.filter(|line| !line.starts_with(name));
    kept.collect::<String>().into_bytes()
}

/// Replaces the request id of a fraction of the answers with `UNKNOWN_ID`.
fn maybe_replace_id(action: Action, malformed_draw: f64) -> Action {
    match action {
        Action::Send(bytes) if malformed_draw < UNKNOWN_ID_FRACTION => {
            Action::Send(with_unknown_id(&bytes))
        }
        Action::SendSlowly(mut parts, pause) if malformed_draw < UNKNOWN_ID_FRACTION => {
            parts[0] = with_unknown_id(&parts[0]);
            Action::SendSlowly(parts, pause)
        }
        action => action,
    }
}

fn with_unknown_id(answer: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(answer);
    let lines = text.split_inclusive("\r\n");
    let lines = lines.map(|line| match line {
        line if line.starts_with("request-id: ") => format!("request-id: {UNKNOWN_ID}\r\n"),
        line => line.to_owned(),
    });
    lines.collect::<String>().into_bytes()
}

/// Software version of the model replica with this number.
pub fn version(number: u64) -> &'static str {
    VERSIONS[number as usize / 2 % VERSIONS.len()]
}

/// One event of the stream of the request `id`.
fn event_text(number: u64, id: &str, version: &str) -> String {
    format!("id: {number}\ndata: {id} {version}\n\n")
}

/// Encodes one event of the stream of the request `id` as a chunk.
pub fn event(number: u64, id: &str, version: &str) -> Vec<u8> {
    chunk(event_text(number, id, version).as_bytes())
}
