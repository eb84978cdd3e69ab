//! A replica as a process: it runs each request once and prints it. It obeys the pages: it checks the expected
//! instance, echoes the id, seals its answers and waits for nothing else.
//!
//! The path of a request says how it answers: `/..../plain` at once with a length; `/..../unframed` and
//! `/..../events` in parts over a time, without a length, ending with the connection.

use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Message;
use crate::http::Reader;

/// Parts of an answer without a length.
pub const PARTS: usize = 30;
/// Pause before each of them.
pub const PAUSE: Duration = Duration::from_millis(60);
/// Reservations and handles given out so far.
static HOLDS: AtomicU64 = AtomicU64::new(1);
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
    let (name, service, stage) = (name.to_string(), service.to_string(), stage.to_string());
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

fn connection(stream: TcpStream, name: &str, service: &str, stage: &str) {
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
    stage: &str,
) -> bool {
    let expected = request.header("expect-instance");
    if expected.is_some_and(|expected| expected != name) {
        let headers = format!("Instance-Id: {name}\r\n");
        return http::answer(writer, "421 Misdirected Request", &headers, b"").is_ok();
    }
    let own = format!("Instance-Id: {name}\r\nContent-Type: application/json\r\n");
    match request.path() {
        "/api/report" => {
            let stage = if stage.is_empty() { "decode" } else { stage };
            let report = format!(
                "{{\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"seq\":0,\"queue-len\":0,\"in-flight\":1,\"kv-used\":0,\"kv-total\":90000,\"kv-handles\":0}}"
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
    if is_prefill != (stage == "prefill") {
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
