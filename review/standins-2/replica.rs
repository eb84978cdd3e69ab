//! A replica as a process: it runs each request once and prints it. It obeys the pages: it checks the expected
//! instance, echoes the id, seals its answers and waits for nothing else.
//!
//! The path of a request says how it answers: `/..../plain` at once with a length; `/..../unframed` and
//! `/..../events` in parts over a time, without a length, ending with the connection; `/..../stream` as a chunked
//! stream of events, from `Last-Event-Id` on.

use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Message;
use crate::http::Reader;
use crate::json;
use crate::json::Value;

/// Parts of an answer without a length.
pub const PARTS: usize = 30;
/// Pause before each of them.
pub const PAUSE: Duration = Duration::from_millis(60);
/// Reservations and handles given out so far.
static HOLDS: AtomicU64 = AtomicU64::new(1);
/// Events of a stream, and the pause before each of them.
pub const EVENTS: usize = 50;
const EVENT_PAUSE: Duration = Duration::from_millis(200);
/// `stage-switch-s`.
const STAGE_SWITCH: Duration = Duration::from_secs(6);
/// Orders accepted so far.
static ORDERS: AtomicU64 = AtomicU64::new(0);
/// Time that a plain call takes.
const WORK: Duration = Duration::from_millis(30);

/// Part `index` of the answer to `request`.
pub fn part(request: &str, path: &str, index: usize) -> String {
    if path.ends_with("/events") {
        return format!("id: {}\ndata: {request} piece {index}\n\n", index + 1);
    }
    format!("{request} line {index} of {PARTS}\n")
}

/// The whole body of the answer to `request`.
pub fn whole(request: &str, path: &str) -> String {
    if path.ends_with("/plain") {
        return format!("the answer to {request}\n");
    }
    (0..PARTS).map(|index| part(request, path, index)).collect()
}

/// Runs the process.
pub fn run(args: &[&str]) -> i32 {
    let [name, service, stage] = args else {
        return 2;
    };
    let (name, service) = (name.to_string(), service.to_string());
    let stage = Arc::new(Mutex::new(stage.to_string()));
    let Ok(listener) = TcpListener::bind("127.0.0.1:0") else {
        return 2;
    };
    let Ok(address) = listener.local_addr() else {
        return 2;
    };
    print_line(&address.to_string());
    http::serve(listener, move |stream| {
        connection(stream, &name, &service, &stage)
    });
    loop {
        thread::park();
    }
}

fn print_line(line: &str) {
    let mut output = std::io::stdout().lock();
    let _ = writeln!(output, "{line}");
    let _ = output.flush();
}

fn lock(stage: &Mutex<String>) -> std::sync::MutexGuard<'_, String> {
    stage
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Changes the stage as ordered; it has none while it changes.
fn change_stage(request: &Message, stage: &Arc<Mutex<String>>) {
    let body = json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Value::Null);
    let to = body.get("stage").text().to_owned();
    print_line(&format!("order {to}"));
    ORDERS.fetch_add(1, Ordering::Relaxed);
    *lock(stage) = "changing".to_owned();
    let stage = Arc::clone(stage);
    thread::spawn(move || {
        thread::sleep(STAGE_SWITCH);
        *lock(&stage) = to.clone();
        print_line(&format!("stage {to}"));
    });
}

fn connection(stream: TcpStream, name: &str, service: &str, stage: &Arc<Mutex<String>>) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = Reader::new(stream);
    while let Ok(Some(request)) = reader.request() {
        if !serve(&mut writer, &request, name, service, stage) {
            let _ = writer.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}

/// Answers one request; `false` if the connection ends with the answer.
fn serve(
    writer: &mut TcpStream,
    request: &Message,
    name: &str,
    service: &str,
    shared_stage: &Arc<Mutex<String>>,
) -> bool {
    let stage = lock(shared_stage).clone();
    let expected = request.header("expect-instance");
    if expected.is_some_and(|expected| expected != name) {
        let headers = format!("Instance-Id: {name}\r\n");
        return http::answer(writer, "421 Misdirected Request", &headers, b"").is_ok();
    }
    let own = format!("Instance-Id: {name}\r\nContent-Type: application/json\r\n");
    match request.path() {
        "/api/report" => {
            let is_busy = stage == "changing";
            let stage = if stage == "prefill" {
                "prefill"
            } else {
                "decode"
            };
            let orders = ORDERS.load(Ordering::Relaxed);
            let report = format!(
                "{{\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":{is_busy},\"seq\":{orders},\"queue-len\":0,\"in-flight\":1,\"kv-used\":0,\"kv-total\":90000,\"kv-handles\":0}}"
            );
            return http::answer(writer, "200 OK", &own, report.as_bytes()).is_ok();
        }
        "/healthz" => return http::answer(writer, "200 OK", &own, b"").is_ok(),
        "/api/hold-take" => {
            let hold = format!(
                "{{\"hold\":\"h{}\"}}",
                HOLDS.fetch_add(1, Ordering::Relaxed)
            );
            return http::answer(writer, "200 OK", &own, hold.as_bytes()).is_ok();
        }
        "/api/order" => {
            change_stage(request, shared_stage);
            return http::answer(writer, "202 Accepted", &own, b"").is_ok();
        }
        path if path.starts_with("/api/hold-drop/") || path.starts_with("/api/kv-handle/") => {
            return http::answer(writer, "200 OK", &own, b"").is_ok();
        }
        path if path.starts_with("/api/") => {
            return http::answer(writer, "404 Not Found", "", b"").is_ok();
        }
        _ => {}
    }
    let Some(id) = request.header("request-id") else {
        return http::answer(writer, "400 Bad Request", "Not-Run: 1\r\n", b"").is_ok();
    };
    let is_prefill = request.header("stage") == Some("prefill");
    if is_prefill != (stage == "prefill") || stage == "changing" {
        let headers = format!("Instance-Id: {name}\r\nNot-Run: 1\r\n");
        return http::answer(writer, "421 Misdirected Request", &headers, b"").is_ok();
    }
    if is_prefill {
        print_line(&format!("prefill {id}"));
        let headers = format!("{own}Request-Id: {id}\r\n");
        let handle = format!(
            "{{\"kv-handle\":\"k{}\",\"tokens\":5000,\"version\":1}}",
            HOLDS.fetch_add(1, Ordering::Relaxed)
        );
        return http::answer(writer, "200 OK", &headers, handle.as_bytes()).is_ok();
    }
    print_line(&format!("run {id} {} {}", request.word(0), request.word(1)));
    let seal = format!(
        "Request-Id: {id}\r\nResponse-Seal: seal.{name}.{service}\r\nServer-Load: 1,0,64\r\n"
    );
    let path = request.path();
    if path.ends_with("/plain") {
        thread::sleep(WORK);
        let sent = http::answer(writer, "200 OK", &seal, whole(id, path).as_bytes());
        print_line(&format!("end {id}"));
        return sent.is_ok();
    }
    if path.ends_with("/stream") {
        let last = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok());
        let head = format!(
            "HTTP/1.1 200 OK\r\n{seal}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut sent = writer.write_all(head.as_bytes());
        for index in last.unwrap_or(0)..EVENTS {
            thread::sleep(EVENT_PAUSE);
            let event = format!("id: {}\ndata: piece {index}\n\n", index + 1);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            sent = sent.and_then(|()| writer.write_all(chunk.as_bytes()));
        }
        sent = sent.and_then(|()| writer.write_all(b"0\r\n\r\n"));
        print_line(&format!("end {id} {}", sent.is_ok()));
        return sent.is_ok();
    }
    let kind = if path.ends_with("/events") {
        "text/event-stream"
    } else {
        "text/plain"
    };
    let head =
        format!("HTTP/1.1 200 OK\r\n{seal}Content-Type: {kind}\r\nConnection: close\r\n\r\n");
    let mut sent = writer.write_all(head.as_bytes());
    for index in 0..PARTS {
        thread::sleep(PAUSE);
        sent = sent.and_then(|()| writer.write_all(part(id, path, index).as_bytes()));
    }
    print_line(&format!("end {id} {}", sent.is_ok()));
    false
}
