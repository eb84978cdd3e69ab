//! Stand-in for a decode replica that streams numbered events.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::replica::Run;
use crate::replica::Runs;
use crate::wire;

/// Events of a stream and the pause before each.
pub const EVENTS: u64 = 44;
pub const PAUSE: Duration = Duration::from_millis(250);

/// Starts the replica `id`; returns its address.
pub fn start(id: &str, runs: &Runs) -> SocketAddr {
    start_with(id, runs, EVENTS, PAUSE)
}

/// The same for streams of `events`, with `pause` before each.
pub fn start_with(id: &str, runs: &Runs, events: u64, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (id, runs) = (id.to_owned(), Arc::clone(runs));
    wire::serve(listener, move |stream| serve(stream, &id, &runs, events, pause));
    address
}

fn serve(mut stream: BufReader<TcpStream>, id: &str, runs: &Runs, events: u64, pause: Duration) {
    while let Ok(Some(request)) = wire::read(&mut stream) {
        let own = [("Instance-Id", id)];
        if request.header("expect-instance").is_some_and(|expected| expected != id) {
            let _ = stream.get_mut().write_all(&wire::answer(421, &own, b""));
            continue;
        }
        let Some(request_id) = request.header("request-id") else {
            let _ = stream.get_mut().write_all(&wire::answer(404, &own, b""));
            continue;
        };
        if request.header("stage").is_some() {
            let _ = stream.get_mut().write_all(&wire::answer(421, &own, b""));
            continue;
        }
        let after = request.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
        let run = Run { at: Instant::now(), id: request_id.to_owned(), replica: id.to_owned() };
        runs.lock().unwrap().push(run);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.get_mut().write_all(head.as_bytes()).is_err() {
            return;
        }
        for number in after + 1..=events {
            thread::sleep(pause);
            let event = format!("id: {number}\ndata: event {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            // The run ends when its connection is closed.
            if stream.get_mut().write_all(chunk.as_bytes()).is_err() {
                return;
            }
        }
        if stream.get_mut().write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

/// The entry of a decode replica in the store.
pub fn entry(service: &str, address: SocketAddr, version: &str, beats: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"here\",\"version\":\"{version}\",\"slots\":64,\"state\":\"ready\",\"stage\":\"decode\",\"cold-left-ms\":0,\"seq\":{beats}}}"
    )
}
