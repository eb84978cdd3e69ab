//! Stand-in for a replica of an application.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::wire;
use crate::wire::Message;

/// A request that a replica ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub replica: String,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Starts the replica `id`, which runs each request for `work` and then answers; returns its address.
pub fn start(id: &str, work: Duration, runs: &Runs) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (id, runs) = (id.to_owned(), Arc::clone(runs));
    wire::serve(listener, move |stream| serve(stream, &id, work, &runs));
    address
}

fn serve(mut stream: BufReader<TcpStream>, id: &str, work: Duration, runs: &Runs) {
    while let Ok(Some(request)) = wire::read(&mut stream) {
        let bytes = answer(&request, id, work, runs);
        if stream.get_mut().write_all(&bytes).is_err() {
            return;
        }
    }
}

fn answer(request: &Message, id: &str, work: Duration, runs: &Runs) -> Vec<u8> {
    let own = [("Instance-Id", id)];
    if request.header("expect-instance").is_some_and(|expected| expected != id) {
        return wire::answer(421, &own, b"");
    }
    match request.target() {
        "/healthz" => return wire::answer(200, &own, b""),
        target if target.starts_with("/api/") => return wire::answer(404, &[], b""),
        _ => {}
    }
    let Some(request_id) = request.header("request-id") else {
        return wire::answer(400, &[("Not-Run", "1")], b"");
    };
    let run = Run { at: Instant::now(), id: request_id.to_owned(), replica: id.to_owned() };
    runs.lock().unwrap().push(run);
    thread::sleep(work);
    let headers = [("Request-Id", request_id), ("Response-Seal", "seal"), ("Keep-Alive", "timeout=10")];
    wire::answer(200, &headers, b"done")
}

/// The entry of a replica in the store.
pub fn entry(service: &str, address: SocketAddr, slots: u32, beats: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"here\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":{beats}}}"
    )
}
